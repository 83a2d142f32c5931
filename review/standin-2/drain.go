package main

import (
	"fmt"
	"syscall"
	"time"
)

// Bounds of the deployment's sheet.
const (
	drainBound = 7 * time.Second
	contact    = 4 * time.Second
)

// drainPlay is a service of a primary and two replicas, of which one leaves while a new one replaces it.
type drainPlay struct {
	svc     *service
	leaving *member
	// calmAt is from when all daemons are in touch.
	calmAt time.Duration
	stop   chan struct{}
}

// startDrain starts the service, three daemons and their clients. The clients use about four fifths of the members' slots.
func startDrain(p *play) (*drainPlay, error) {
	d := &drainPlay{stop: make(chan struct{})}
	d.svc = &service{name: "svc1", record: p.record, store: p.store, slots: 5, maxConn: 33, work: 50 * time.Millisecond, lag: 8 * time.Millisecond}
	d.svc.arrived = func(m *member, id string, first bool) {
		m.svc.mu.Lock()
		at := m.drainingAt
		m.svc.mu.Unlock()
		now := p.record.now()
		if first && at > 0 && now > at+drainBound && now > d.calmAt {
			p.record.breaks("%s reached %s %d ms after the store had accepted that it leaves", id, m.id, (now - at).Milliseconds())
		}
	}
	p.store.promote = func(_, id string) int { return d.svc.promote(id) }
	p.store.set("config", "main", config(1, "svc1", 0))
	for i := range 3 {
		if _, err := d.svc.add(fmt.Sprintf("m-%d", i), i == 0); err != nil {
			return nil, err
		}
	}
	go d.svc.replicate()
	d.leaving = d.svc.members[2]
	for i := range 3 {
		if _, err := p.fleet.start(fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i+1)); err != nil {
			return nil, err
		}
	}
	if err := p.fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the daemons know each other
	for _, f := range p.fleet.daemons {
		readers(p.record, f.front, "dbold", "reader-"+f.name, 24, 220*time.Millisecond, d.stop)
		writers(p.record, f.front, "dbstrong", "writer-"+f.name, 1, 400*time.Millisecond, d.stop)
	}
	time.Sleep(2 * time.Second)
	return d, nil
}

// freezeCase: a daemon is frozen for 2.9 s while the store accepts that a member leaves.
func freezeCase(p *play) error {
	d, err := startDrain(p)
	if err != nil {
		return err
	}
	defer close(d.stop)
	if _, err := d.svc.add("m-3", false); err != nil {
		return err
	}
	time.Sleep(900 * time.Millisecond)
	frozen := p.fleet.daemons[1]
	if p.trouble {
		p.fleet.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(50 * time.Millisecond)
	d.leaving.drain()
	time.Sleep(2850 * time.Millisecond)
	if p.trouble {
		p.fleet.signal(frozen, syscall.SIGCONT)
		d.calmAt = p.record.now() + contact
	}
	time.Sleep(9 * time.Second)
	d.leaving.stop()
	time.Sleep(500 * time.Millisecond)
	return nil
}

// returnCase: a member that leaves is partitioned from the store, so that its entry lapses and comes back.
func returnCase(p *play) error {
	d, err := startDrain(p)
	if err != nil {
		return err
	}
	defer close(d.stop)
	if _, err := d.svc.add("m-3", false); err != nil {
		return err
	}
	time.Sleep(time.Second)
	d.leaving.drain()
	time.Sleep(1150 * time.Millisecond)
	if p.trouble {
		d.leaving.setCut(true)
	}
	time.Sleep(5 * time.Second)
	if p.trouble {
		d.leaving.setCut(false)
	}
	time.Sleep(5850 * time.Millisecond)
	d.leaving.stop()
	time.Sleep(500 * time.Millisecond)
	return nil
}
