package mirror

import (
	"context"
	"slices"
	"sync"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// keptDeletions is how many deleted objects a copy remembers; an asker that misses more gets all objects.
const keptDeletions = 256

// Answer is what a read has brought.
type Answer struct {
	Objects []platform.Object
	// Version is that up to which all changes are told.
	Version platform.Version
	// Whole is true when the objects are all there are.
	Whole bool
	// Mirrored is true for the answer of another daemon.
	Mirrored bool
	// Age is how long before the question the platform was asked, in milliseconds; below 0 when it was asked since.
	Age clock.Millis
}

// Copy holds the objects under one prefix as they were last read; the zero value holds none.
type Copy struct {
	mu      sync.Mutex
	objects map[platform.Key]platform.Object
	// deleted has the latest deletions, each with the version by which it was told.
	deleted []platform.Object
	version platform.Version
	// complete is the version past which all changes can be told one by one.
	complete platform.Version
	synced   clock.Millis
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// Take puts in what a read has brought that was asked of the platform at that time.
func (c *Copy) Take(a *Answer, asked clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version > a.Version {
		return // another source was ahead
	}
	if a.Whole && c.objects == nil {
		c.objects = make(map[platform.Key]platform.Object, len(a.Objects))
		c.complete = a.Version
	}
	if a.Whole {
		c.drop(a)
	}
	for _, o := range a.Objects {
		c.put(o, a.Version)
	}
	c.synced = max(c.synced, asked)
	if a.Version > c.version {
		c.version = a.Version
		if c.changed != nil {
			close(c.changed)
			c.changed = nil
		}
	}
}

// drop notes the deletion of what a list of all objects lacks.
func (c *Copy) drop(a *Answer) {
	present := make(map[platform.Key]bool, len(a.Objects))
	for _, o := range a.Objects {
		present[o.Key] = true
	}
	for k := range c.objects {
		if !present[k] {
			c.put(platform.Object{Key: k, Deleted: true}, a.Version)
		}
	}
}

func (c *Copy) put(o platform.Object, at platform.Version) {
	if !o.Deleted {
		c.objects[o.Key] = o
		// An asker that were told both would not know which came last.
		c.deleted = slices.DeleteFunc(c.deleted, func(d platform.Object) bool { return d.Key == o.Key })
		return
	}
	delete(c.objects, o.Key)
	o.Version = at
	c.deleted = append(c.deleted, o)
	if n := len(c.deleted) - keptDeletions; n > 0 {
		c.complete = c.deleted[n-1].Version
		c.deleted = append(c.deleted[:0], c.deleted[n:]...)
	}
}

// Read returns what has changed past from, or all objects when from is 0 or too long ago; it waits until the given time for a change, and reports false while nothing was read yet.
func (c *Copy) Read(ctx context.Context, clk *clock.Clock, from platform.Version, until clock.Millis) (Answer, bool) {
	asked := clk.Now()
	for {
		a, changed, ok := c.read(from, asked)
		left := until - clk.Now()
		if !ok || changed == nil || left <= 0 {
			return a, ok
		}
		select {
		case <-changed:
		case <-clk.After(left):
			a, _, ok = c.read(from, asked)
			return a, ok
		case <-ctx.Done():
			return a, ok
		}
	}
}

// read returns an answer, and what to wait for when it has nothing new.
func (c *Copy) read(from platform.Version, asked clock.Millis) (Answer, chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Answer{Version: max(c.version, from), Whole: from == 0 || from < c.complete, Age: asked - c.synced}
	if c.version == 0 {
		return a, nil, false
	}
	if from >= c.version {
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		return a, c.changed, true
	}
	for _, o := range c.objects {
		if a.Whole || o.Version > from {
			a.Objects = append(a.Objects, o)
		}
	}
	for _, o := range c.deleted {
		if !a.Whole && o.Version > from {
			a.Objects = append(a.Objects, o)
		}
	}
	return a, nil, true
}
