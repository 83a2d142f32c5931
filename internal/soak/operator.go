package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	// entriesDatabase is routed in each configuration.
	entriesDatabase = "entries"
	// maxChangeGap bounds the time between two configurations, in milliseconds.
	maxChangeGap = 3000
	// routesKept is how many of the latest configurations have a database of their own.
	routesKept = 20
)

// operator publishes configurations. Each has a database that no earlier one has.
type operator struct {
	s      *soak
	copies *copies

	mu      sync.Mutex
	version int
	ackedAt clock.Millis
}

func newOperator(s *soak) *operator { return &operator{s: s} }

// database is the database that configurations have from version on.
func database(version int) string { return fmt.Sprint("at-", version) }

// newest returns the latest configuration and when the store acknowledged it last.
func (o *operator) newest() (int, clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.ackedAt
}

// change publishes a configuration after a pause, often right behind a disturbance of the store.
func (o *operator) change(ctx context.Context, r *rand.Rand) {
	if o.s.clk.Sleep(ctx, clock.Millis(r.IntN(maxChangeGap))) != nil {
		return
	}
	o.s.storeMu.Lock()
	defer o.s.storeMu.Unlock()
	o.publish()
}

// publish writes the next configuration.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.s.versions.Add(1)
	o.put()
}

// repeat writes the latest configuration again.
func (o *operator) repeat() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put()
}

// put writes the latest configuration; the caller holds o.mu.
func (o *operator) put() {
	databases := []string{entriesDatabase}
	for v := max(1, o.version-routesKept); v <= o.version; v++ {
		databases = append(databases, database(v))
	}
	c := standin.Config(o.version, groupName, databases...)
	standin.SetSyncReplicas(c, o.s.cfg.SyncReplicas)
	o.s.store.SetConfig(c)
	o.ackedAt = o.s.clk.Now()
}
