package platform

import (
	"context"
	"errors"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// Key is the path of an object, for example groups/precios-db-1 or services/precios.
type Key string

// Version rises with each change of any object in the platform's store; 0 means the object does not exist.
type Version uint64

// Object is a value with the version of its last change.
type Object struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted is true in what a watch returns for an object that is no more.
	Deleted bool `json:"deleted,omitempty"`
}

// VM is an entry of the platform's list of machines, which lags behind reality.
type VM struct {
	Address    string           `json:"address"`
	DataCentre group.DataCentre `json:"data-centre"`
	Leaving    bool             `json:"leaving"`
}

// Errors that a Store returns, to be tested with errors.Is.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another version than the update was conditional on.
	ErrConflict = errors.New("object has changed")
	// ErrUnavailable means that no answer came; an update may or may not have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRefused means that the platform did nothing, so that an update surely has no effect.
	ErrRefused = errors.New("platform refused the call")
	// ErrHistoryGone means that a watch asks for changes that the platform no longer knows; list again.
	ErrHistoryGone = errors.New("history is gone")
)

// Store is the platform as the daemon sees it; every field is one counted call.
type Store struct {
	// Get reads one object; ErrNotFound when there is none.
	Get func(ctx context.Context, key Key) (Object, error)
	// Put writes value if the object still has version ifVersion (0: does not exist) and returns the new version.
	Put func(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error)
	// List reads all objects whose key starts with prefix, and the store's version at that moment.
	List func(ctx context.Context, prefix Key) ([]Object, Version, error)
	// Watch waits until an object under prefix changes past version from, and returns the changed objects with the version to go on from; it returns none when the platform's waiting time has passed.
	Watch func(ctx context.Context, prefix Key, from Version) ([]Object, Version, error)
	// VMs reads the list of live and leaving VMs.
	VMs func(ctx context.Context) ([]VM, error)
}
