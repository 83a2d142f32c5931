package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// counter counts the operations of clients and those that were served.
type counter struct {
	rec          *record
	fleet        []*process
	sent, served atomic.Int64
}

func (k *counter) reset() {
	k.sent.Store(0)
	k.served.Store(0)
}

// share returns how many of 100 operations were served.
func (k *counter) share() int64 { return min(100, 100*k.served.Load()/max(1, k.sent.Load())) }

// work sends single reads and writes, each in a session of its own and to the next daemon, until stop is closed.
func (k *counter) work(n int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		p := k.fleet[(n+i)%len(k.fleet)]
		text := fmt.Sprintf("READ x%d", n)
		if i%2 == 0 {
			text = fmt.Sprintf("WRITE x%d %d", n, i)
		}
		k.sent.Add(1)
		c, answer := connect(p.caller, "main", fmt.Sprintf("c%d-%d", n, i))
		if c != nil {
			answer = c.query(text)
			c.close()
		}
		if strings.Contains(answer, "COMPLETE") {
			k.served.Add(1)
		}
		k.rec.write("client c%d-%d at %s: %s -> %s", n, i, p.name, text, answer)
	}
}
