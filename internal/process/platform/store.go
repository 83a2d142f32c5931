package platform

import (
	"context"
	"errors"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// Key is the path of an object, for example groups/precios-db-1 or services/precios.
type Key string

// Object is a value with the version of its last change.
type Object struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted is true where a watch reports the deletion of the object.
	Deleted bool `json:"deleted,omitempty"`
}

// VM is an entry of the platform's list of machines, which lags behind their actual state.
type VM struct {
	Address    string           `json:"address"`
	DataCentre group.DataCentre `json:"data-centre"`
	Leaving    bool             `json:"leaving"`
}

// Errors that a Store returns; test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the version on which the update is conditional.
	ErrConflict = errors.New("object has changed")
	// ErrUnavailable means that no valid response arrived; an update may or may not have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRefused means that the platform did not execute the call, so that an update has no effect.
	ErrRefused = errors.New("platform refused the call")
	// ErrHistoryGone means that a watch asks for changes that the platform no longer keeps; list the objects again.
	ErrHistoryGone = errors.New("history is gone")
)

// Store holds the calls to the platform's object API; CountCalls counts the calls of each field.
type Store struct {
	// Get reads one object; it fails with ErrNotFound if the object does not exist.
	Get func(ctx context.Context, key Key) (Object, error)
	// Put writes value if the object still has version ifVersion (0: does not exist), and returns the new version.
	Put func(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error)
	// List reads all objects whose key starts with prefix, and the version of the store from which to watch them.
	List func(ctx context.Context, prefix Key) ([]Object, Version, error)
	// Watch waits until an object under prefix has a later version than from. It returns the changed objects and the version from which to watch next, and no objects once the platform's waiting time has passed.
	Watch func(ctx context.Context, prefix Key, from Version) ([]Object, Version, error)
	// VMs reads the list of running and leaving VMs.
	VMs func(ctx context.Context) ([]VM, error)
}
