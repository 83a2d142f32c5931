package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
)

// readBackAttempts bounds how often PutWithReadBack reads back an update whose outcome is unknown.
const readBackAttempts = 3

// PutWithReadBack updates an object like Put. If the response to the update is lost, it reads the object back and repeats the update as needed.
//
// It fails with ErrConflict when the object holds another value, even one that has replaced this one, and with ErrUnavailable when the outcome is still unknown.
func PutWithReadBack(ctx context.Context, s *Store, key Key, value []byte, ifVersion Version) (Version, error) {
	version, err := s.Put(ctx, key, value, ifVersion)
	if !errors.Is(err, ErrUnavailable) {
		return version, err
	}
	for range readBackAttempts {
		o, getErr := s.Get(ctx, key)
		switch {
		case errors.Is(getErr, ErrNotFound):
			o = Object{}
		case getErr != nil:
			return 0, fmt.Errorf("read back update: %w", getErr)
		}
		if o.Version != ifVersion {
			return compareValue(o, value)
		}
		// The first update may still arrive. As both have the same condition, at most one of them takes effect.
		version, err = s.Put(ctx, key, value, ifVersion)
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return 0, err
		}
	}
	return 0, fmt.Errorf("read back update: %w", ErrUnavailable)
}

// compareValue returns the version of o if o holds value, and fails with ErrConflict otherwise.
func compareValue(o Object, value []byte) (Version, error) {
	if bytes.Equal(o.Value, value) {
		return o.Version, nil
	}
	return 0, fmt.Errorf("read back update of %s: %w", o.Key, ErrConflict)
}
