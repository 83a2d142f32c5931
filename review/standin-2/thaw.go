package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// thawCase: commits are acknowledged once a replica has received them. The primary is partitioned from two of four daemons, twice, and
// the daemon that has changed the primary is frozen as one of its RESUMEs is on its way.
func thawCase(p *play) error {
	svc := &service{name: "svc1", record: p.record, store: p.store, slots: 5, maxConn: 33, work: 5 * time.Millisecond, lag: 8 * time.Millisecond, sync: 1}
	var cut atomic.Value // the member that is partitioned from front-0 and front-1
	cut.Store("")
	var owners sync.Map // of a connection, whether one of these two owns it
	svc.cutFrom = func(m *member, c net.Conn) bool {
		if cut.Load() != m.id {
			return false
		}
		owned, ok := owners.Load(c)
		if !ok {
			owned = p.fleet.daemons[0].owns(c) || p.fleet.daemons[1].owns(c)
			owners.Store(c, owned)
		}
		return owned.(bool)
	}
	setCut := func(id string) {
		p.record.add("member partitioned from front-0 and front-1: %q", id)
		cut.Store(id)
	}
	var mu sync.Mutex
	acked := make(map[string]bool)
	var frozen *daemon
	stopped, again := make(chan struct{}), make(chan struct{})
	svc.order = func(m *member, verb string) <-chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if verb != "RESUME" || m.id != "m-1" || frozen == nil {
			return nil
		}
		select {
		case <-stopped:
		default:
			p.fleet.signal(frozen, syscall.SIGSTOP)
			time.Sleep(20 * time.Millisecond) // it stands still before the answer arrives
			close(stopped)
		}
		return nil
	}
	svc.promoted = func(old, next *member) {
		mu.Lock()
		defer mu.Unlock()
		held := make(map[string]bool)
		for _, e := range next.log {
			held[e.id] = true
		}
		for _, e := range old.log {
			if acked[e.id] && !held[e.id] {
				p.record.breaks("commit %s was acknowledged to its client and is not in the log of %s, which is promoted", e.id, next.id)
			}
		}
	}
	calls := 0
	p.store.promote = func(_, id string) int {
		status := svc.promote(id)
		mu.Lock()
		defer mu.Unlock()
		if status == http.StatusOK {
			if calls++; calls == 2 {
				close(again)
			}
		}
		return status
	}
	p.store.promoter = func(holder string) {
		mu.Lock()
		defer mu.Unlock()
		for _, d := range p.fleet.daemons {
			if d.name == holder && frozen == nil {
				frozen = d
			}
		}
	}
	p.store.set("config", "main", config(1, "svc1", 1))
	for i := range 3 {
		if _, err := svc.add(fmt.Sprintf("m-%d", i), i == 0); err != nil {
			return err
		}
	}
	go svc.replicate()
	for i := range 4 {
		if _, err := p.fleet.start(fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i+1)); err != nil {
			return err
		}
	}
	if err := p.fleet.awaitReady(); err != nil {
		return err
	}
	writer, err := open(p.record, p.fleet.daemons[2].front, "dbstrong", "writer")
	if err != nil {
		return err
	}
	write := func() {
		id, answer, err := writer.query("WRITE i1 v"+fmt.Sprint(serial.Load()), 3*time.Second)
		if err == nil && len(answer) > 0 && strings.HasPrefix(answer[0], "COMPLETE") {
			mu.Lock()
			acked[id] = true
			mu.Unlock()
		}
	}
	for range 40 { // the daemons record which members may hold commits
		write()
		time.Sleep(200 * time.Millisecond)
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, d := range p.fleet.daemons[:2] {
		readers(p.record, d.front, "dbstrong", "reader-"+d.name, 4, 50*time.Millisecond, stop)
	}
	time.Sleep(1500 * time.Millisecond)
	if !p.trouble {
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			write()
		}
		return nil
	}
	setCut("m-0")
	if err := await(stopped, 7*time.Second); err != nil {
		return err
	}
	stoppedAt := time.Now()
	setCut("m-1")
	if err := await(again, 3800*time.Millisecond); err != nil {
		p.fleet.signal(frozen, syscall.SIGCONT)
		return err
	}
	p.fleet.signal(frozen, syscall.SIGCONT)
	p.record.add("frozen for %d ms", time.Since(stoppedAt).Milliseconds())
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		write()
	}
	setCut("")
	time.Sleep(2 * time.Second)
	return nil
}

// await waits for an event of a case.
func await(event <-chan struct{}, limit time.Duration) error {
	select {
	case <-event:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("an event of the case did not come within %v", limit)
	}
}
