package platform

import (
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
)

// Era counts how often the platform's store was restored from a copy; 0 means that the store does not say. After a restore, the store assigns the revisions behind the copy again.
type Era uint64

// revisionBits is the number of low bits of a Version that hold the revision; the era is above them.
const revisionBits = 44

const (
	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<(63-revisionBits) - 1
)

// Version increases with each change of any object in the platform's store, and with each restore of the store from a copy. 0 means that the object does not exist.
type Version uint64

var errVersionRange = errors.New("revision or era of the store is out of range")

// NewVersion returns the version of a revision that the store assigned in an era. It fails if one of them is out of range.
func NewVersion(era Era, revision uint64) (Version, error) {
	if era > maxEra || revision > maxRevision {
		return 0, fmt.Errorf("%w: revision %d in era %d", errVersionRange, revision, era)
	}
	return Version(uint64(era)<<revisionBits | revision), nil
}

// Era returns the era in which the store assigned the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the number that the store assigned.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// String returns ERA.REVISION, or only the revision when the store does not say its era.
func (v Version) String() string {
	revision := strconv.FormatUint(v.Revision(), 10)
	if v.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(v.Era()), 10) + "." + revision
}

// EraTracker holds the newest era that any call to the store has shown; its zero value knows none. It is safe for concurrent use.
type EraTracker struct {
	// OnRestore is called when an era follows a known one; it may be nil.
	OnRestore func(era, before Era)

	newest atomic.Uint64
}

// Newest returns the newest era shown so far; 0 before the first one.
func (t *EraTracker) Newest() Era { return Era(t.newest.Load()) }

// Observe records the era in a response of the store.
func (t *EraTracker) Observe(era Era) {
	for {
		known := t.Newest()
		if era <= known {
			return
		}
		if t.newest.CompareAndSwap(uint64(known), uint64(era)) {
			if known > 0 && t.OnRestore != nil {
				t.OnRestore(era, known)
			}
			return
		}
	}
}
