package mirror

import (
	"context"
	"slices"
	"sync"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxDeletions is how many deleted objects a cache remembers. A reader that missed more gets all objects.
const maxDeletions = 256

// Result is the outcome of a read: all objects under a prefix, or the changes after a version.
type Result struct {
	Objects []platform.Object
	// Version is the version up to which the result includes all changes.
	Version platform.Version
	// Full is true when Objects are all that exist.
	Full bool
	// Mirrored is true when another daemon gave the result.
	Mirrored bool
	// Age is how long before the request the platform was last asked, in milliseconds. It is negative when the platform was asked after the request.
	Age clock.Millis
}

// Cache holds the objects under one prefix as they were last read; the zero value is empty.
type Cache struct {
	mu      sync.Mutex
	objects map[platform.Key]platform.Object
	// deleted holds the latest deletions, each with the version of the read that reported it.
	deleted []platform.Object
	// version is the version up to which all changes are known, by a read requested at syncedAt.
	version platform.Version
	// completeFrom is the version after which every change can be returned by itself.
	completeFrom platform.Version
	syncedAt     clock.Millis
	// changed is closed at the next change; nil while no reader waits.
	changed chan struct{}
}

// Apply stores the result of a read that was requested from the platform at requestedAt.
func (c *Cache) Apply(r *Result, requestedAt clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version > r.Version {
		return // another source was newer
	}
	if r.Full && c.objects == nil {
		c.objects = make(map[platform.Key]platform.Object, len(r.Objects))
		c.completeFrom = r.Version
	}
	if r.Full {
		c.deleteMissing(r)
	}
	for _, o := range r.Objects {
		c.put(o, r.Version)
	}
	c.syncedAt = max(c.syncedAt, requestedAt)
	if r.Version > c.version {
		c.version = r.Version
		if c.changed != nil {
			close(c.changed)
			c.changed = nil
		}
	}
}

// deleteMissing records the deletion of objects that a full list lacks.
func (c *Cache) deleteMissing(r *Result) {
	present := make(map[platform.Key]bool, len(r.Objects))
	for _, o := range r.Objects {
		present[o.Key] = true
	}
	for k := range c.objects {
		if !present[k] {
			c.put(platform.Object{Key: k, Deleted: true}, r.Version)
		}
	}
}

func (c *Cache) put(o platform.Object, version platform.Version) {
	if !o.Deleted {
		c.objects[o.Key] = o
		// A reader that got both changes could not tell which came last.
		c.deleted = slices.DeleteFunc(c.deleted, func(d platform.Object) bool { return d.Key == o.Key })
		return
	}
	delete(c.objects, o.Key)
	o.Version = version
	c.deleted = append(c.deleted, o)
	if n := len(c.deleted) - maxDeletions; n > 0 {
		c.completeFrom = c.deleted[n-1].Version
		c.deleted = append(c.deleted[:0], c.deleted[n:]...)
	}
}

// Read returns the changes after version from, or all objects when from is 0, of an older era or older than the remembered deletions. It waits until the deadline for a change, and reports false while nothing was read yet.
func (c *Cache) Read(ctx context.Context, clk *clock.Clock, from platform.Version, deadline clock.Millis) (Result, bool) {
	requestedAt := clk.Now()
	for {
		r, changed, ok := c.read(from, requestedAt)
		remaining := deadline - clk.Now()
		if !ok || changed == nil || remaining <= 0 {
			return r, ok
		}
		select {
		case <-changed:
		case <-clk.After(remaining):
			r, _, ok = c.read(from, requestedAt)
			return r, ok
		case <-ctx.Done():
			return r, ok
		}
	}
}

// read returns a result, and a channel to wait on when there are no changes.
func (c *Cache) read(from platform.Version, requestedAt clock.Millis) (Result, chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The store may have lost objects of an older era that this cache never held, so their deletion is not remembered.
	full := from == 0 || from < c.completeFrom || from.Era() < c.version.Era()
	r := Result{Version: max(c.version, from), Full: full, Age: requestedAt - c.syncedAt}
	if c.version == 0 {
		return r, nil, false
	}
	if from >= c.version {
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		return r, c.changed, true
	}
	for _, o := range c.objects {
		if r.Full || o.Version > from {
			r.Objects = append(r.Objects, o)
		}
	}
	for _, o := range c.deleted {
		if !r.Full && o.Version > from {
			r.Objects = append(r.Objects, o)
		}
	}
	return r, nil, true
}
