package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
)

const settleAttempts = 3 // of an update whose outcome stays unknown

// PutSettled updates an object like Put and finds out what became of an update without an answer.
//
// It fails with ErrConflict when the object holds another value, also one that replaced this one, and with ErrUnavailable when the outcome is still unknown.
func PutSettled(ctx context.Context, s *Store, key Key, value []byte, ifVersion Version) (Version, error) {
	version, err := s.Put(ctx, key, value, ifVersion)
	if !errors.Is(err, ErrUnavailable) {
		return version, err
	}
	for range settleAttempts {
		o, getErr := s.Get(ctx, key)
		switch {
		case errors.Is(getErr, ErrNotFound):
			o = Object{}
		case getErr != nil:
			return 0, fmt.Errorf("settle update: %w", getErr)
		}
		if o.Version != ifVersion {
			return settled(o, value)
		}
		// The first update may still be on its way; the same condition lets only one of them through.
		version, err = s.Put(ctx, key, value, ifVersion)
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return 0, err
		}
	}
	return 0, fmt.Errorf("settle update: %w", ErrUnavailable)
}

func settled(o Object, value []byte) (Version, error) {
	if bytes.Equal(o.Value, value) {
		return o.Version, nil
	}
	return 0, fmt.Errorf("settle update of %s: %w", o.Key, ErrConflict)
}
