package platform

import (
	"context"
	"sync/atomic"
)

// Calls counts the calls of each kind; a watch is one however long it waits.
type Calls struct {
	Gets    atomic.Uint64
	Puts    atomic.Uint64
	Lists   atomic.Uint64
	Watches atomic.Uint64
	VMs     atomic.Uint64
}

// Total is the number of calls of all kinds.
func (c *Calls) Total() uint64 {
	return c.Gets.Load() + c.Puts.Load() + c.Lists.Load() + c.Watches.Load() + c.VMs.Load()
}

// Counted returns a store that counts the calls it passes on to s.
func Counted(s *Store, c *Calls) *Store {
	return &Store{
		Get: func(ctx context.Context, key Key) (Object, error) {
			c.Gets.Add(1)
			return s.Get(ctx, key)
		},
		Put: func(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error) {
			c.Puts.Add(1)
			return s.Put(ctx, key, value, ifVersion)
		},
		List: func(ctx context.Context, prefix Key) ([]Object, Version, error) {
			c.Lists.Add(1)
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix Key, from Version) ([]Object, Version, error) {
			c.Watches.Add(1)
			return s.Watch(ctx, prefix, from)
		},
		VMs: func(ctx context.Context) ([]VM, error) {
			c.VMs.Add(1)
			return s.VMs(ctx)
		},
	}
}
