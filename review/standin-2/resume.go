package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the disruptions.
const (
	// minLate and maxLate bound how long after it was sent an unanswered order is carried out.
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
	// cutTime is how long the primary is partitioned from a daemon.
	cutTime = 6900 * time.Millisecond
)

// resumeCase: commits are acknowledged once a replica has received them. The primary is partitioned from one of two daemons, and three
// orders of that daemon, two PAUSE and one RESUME, get no answer and are carried out late.
func resumeCase(p *play) error {
	svc := &service{name: "svc1", record: p.record, store: p.store, slots: 5, maxConn: 33, work: 5 * time.Millisecond, lag: 8 * time.Millisecond, sync: 1}
	var cut atomic.Bool
	var owners sync.Map // of a connection, whether the daemon that is cut off owns it
	svc.cutFrom = func(m *member, c net.Conn) bool {
		if m.id != "m-0" || !cut.Load() {
			return false
		}
		owned, ok := owners.Load(c)
		if !ok {
			owned = p.fleet.daemons[0].owns(c)
			owners.Store(c, owned)
		}
		return owned.(bool)
	}
	var mu sync.Mutex
	acked := make(map[string]bool)
	promotion := make(chan struct{})
	var called, pauses, resumes int
	svc.order = func(m *member, verb string) <-chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if !cut.Load() {
			return nil
		}
		late := make(chan struct{})
		switch {
		case verb == "PAUSE" && m.id == "m-1":
			if pauses++; pauses > 2 {
				return nil
			}
			time.AfterFunc(maxLate, func() { close(late) })
		case verb == "RESUME" && m.id == "m-2":
			if resumes++; resumes > 1 {
				return nil
			}
			sentAt := time.Now()
			go func() {
				<-promotion
				time.Sleep(max(200*time.Millisecond, minLate-time.Since(sentAt)))
				if time.Since(sentAt) < maxLate {
					close(late)
				}
			}()
		default:
			return nil
		}
		return late
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
	p.store.promote = func(_, id string) int {
		mu.Lock()
		if called++; called == 1 {
			close(promotion)
		}
		mu.Unlock()
		return svc.promote(id)
	}
	p.store.set("config", "main", config(1, "svc1", 1))
	for i := range 3 {
		if _, err := svc.add(fmt.Sprintf("m-%d", i), i == 0); err != nil {
			return err
		}
	}
	go svc.replicate()
	for i := range 2 {
		if _, err := p.fleet.start(fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i+1)); err != nil {
			return err
		}
	}
	if err := p.fleet.awaitReady(); err != nil {
		return err
	}
	writer, err := open(p.record, p.fleet.daemons[1].front, "dbstrong", "writer")
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
	readers(p.record, p.fleet.daemons[0].front, "dbstrong", "reader", 4, 50*time.Millisecond, stop)
	time.Sleep(1500 * time.Millisecond)
	if p.trouble {
		p.record.add("m-0 is partitioned from front-0")
		cut.Store(true)
		time.AfterFunc(cutTime, func() {
			p.record.add("m-0 reaches front-0 again")
			cut.Store(false)
		})
	}
	select {
	case <-promotion:
	case <-time.After(cutTime):
	}
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		write()
	}
	time.Sleep(3 * time.Second)
	return nil
}
