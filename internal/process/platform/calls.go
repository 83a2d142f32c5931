package platform

import (
	"context"
	"sync/atomic"
)

// Calls counts the calls of each kind. A watch is one call however long it waits.
type Calls struct {
	Gets    atomic.Uint64
	Puts    atomic.Uint64
	Lists   atomic.Uint64
	Watches atomic.Uint64
	VMs     atomic.Uint64
}

// Total returns the number of calls of all kinds.
func (calls *Calls) Total() uint64 {
	return calls.Gets.Load() + calls.Puts.Load() + calls.Lists.Load() + calls.Watches.Load() + calls.VMs.Load()
}

// CountCalls returns a store that passes all calls to s and counts them in calls.
func CountCalls(s *Store, calls *Calls) *Store {
	return &Store{
		Get: func(ctx context.Context, key Key) (Object, error) {
			calls.Gets.Add(1)
			return s.Get(ctx, key)
		},
		Put: func(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error) {
			calls.Puts.Add(1)
			return s.Put(ctx, key, value, ifVersion)
		},
		List: func(ctx context.Context, prefix Key) ([]Object, Version, error) {
			calls.Lists.Add(1)
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix Key, from Version) ([]Object, Version, error) {
			calls.Watches.Add(1)
			return s.Watch(ctx, prefix, from)
		},
		VMs: func(ctx context.Context) ([]VM, error) {
			calls.VMs.Add(1)
			return s.VMs(ctx)
		},
	}
}
