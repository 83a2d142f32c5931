package trial

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// load runs concurrent sessions against the daemons.
type load struct {
	clk       *clock.Clock
	addresses []string
	driver    *Driver
	history   *History
	acks      *ackLog
	thinkTime clock.Millis
}

// run runs n sessions until ctx ends and waits for them. Every second session carries a token, and every second pair of sessions
// only reads.
func (l *load) run(ctx context.Context, n int, seed uint64) {
	var wg sync.WaitGroup
	for i := range n {
		s := &session{
			n:            i,
			load:         l,
			rnd:          rand.New(rand.NewPCG(seed, uint64(i))),
			carriesToken: i%2 == 1,
			reader:       i%4 >= 2,
		}
		wg.Go(func() { s.loop(ctx) })
	}
	wg.Wait()
}
