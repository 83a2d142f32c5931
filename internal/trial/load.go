package trial

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// load is the sessions at work.
type load struct {
	clk       *clock.Clock
	addresses []string
	driver    *Driver
	history   *History
	acks      *ackLog
	think     clock.Millis
}

// run keeps n sessions at work until ctx ends; every second one carries a token, and every second pair only reads.
func (l *load) run(ctx context.Context, n int, seed uint64) {
	var wg sync.WaitGroup
	for i := range n {
		r := &session{
			n:       i,
			load:    l,
			rnd:     rand.New(rand.NewPCG(seed, uint64(i))),
			carries: i%2 == 1,
			reader:  i%4 >= 2,
		}
		wg.Go(func() { r.work(ctx) })
	}
	wg.Wait()
}
