package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// ledger notes which commits were acknowledged to clients, and which of them a promoted member lacks. The mu of the service guards it.
type ledger struct {
	svc   *service
	acked map[string]bool
	lost  map[string]bool
	// resting keeps the clients from writing.
	resting atomic.Bool
}

func newLedger(svc *service) *ledger {
	k := &ledger{svc: svc, acked: map[string]bool{}, lost: map[string]bool{}}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.promoted = func(m *member) {
		has := map[string]bool{}
		for _, c := range m.log {
			has[c.id] = true
		}
		for id := range k.acked {
			if !has[id] && !k.lost[id] {
				k.lost[id] = true
				svc.rec.write("commit %s was acknowledged and is not in the log of %s, which is promoted", id, m.id)
			}
		}
	}
	return k
}

func (k *ledger) lostCommits() int {
	k.svc.mu.Lock()
	defer k.svc.mu.Unlock()
	return len(k.lost)
}

// report tells what was found and reports whether a commit was lost.
func (k *ledger) report() bool {
	k.svc.mu.Lock()
	defer k.svc.mu.Unlock()
	k.svc.rec.say("%d commits acknowledged, %d of them not in the log of a member that was promoted later", len(k.acked), len(k.lost))
	return len(k.lost) > 0
}

// writeSteadily writes in one session after the other until stop is closed, and notes what was acknowledged.
func (k *ledger) writeSteadily(p *process, n int, stop chan struct{}) {
	for i := 0; ; i++ {
		for k.resting.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		c, _ := connect(p.caller, "main", fmt.Sprintf("c%d-%d", n, i))
		for ok := c != nil; ok; {
			answer := c.query(fmt.Sprintf("WRITE x%d %d", n, i))
			id := fmt.Sprintf("%s-%d", c.name, c.n)
			k.svc.rec.write("client %s at %s: WRITE -> %s", id, p.name, answer)
			if strings.HasPrefix(answer, "COMPLETE") {
				k.svc.mu.Lock()
				k.acked[id] = true
				k.svc.mu.Unlock()
			}
			select {
			case <-stop:
				c.close()
				return
			default:
			}
			ok = strings.Contains(answer, "READY I") && !k.resting.Load()
		}
		if c != nil {
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// rest is a pause in whose second half the clients do not write for a while.
func (k *ledger) rest(pause time.Duration) {
	const parts, rests, last = 9, 3, 1
	time.Sleep(pause * (parts - rests - last) / parts)
	k.resting.Store(true)
	time.Sleep(pause * rests / parts)
	k.resting.Store(false)
	time.Sleep(pause * last / parts)
}
