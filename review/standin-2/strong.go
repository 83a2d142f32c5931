package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// strongPlay holds when reads of one service were sent and commits acknowledged.
type strongPlay struct {
	record *record

	mu sync.Mutex
	// sentAt is when the first byte of each read was sent, and ackedBefore the last place in the log that was acknowledged before.
	sentAt      map[string]time.Duration
	ackedBefore map[string]int
	// place is the place in the log of each commit, and acked the last one that was acknowledged.
	place map[string]int
	acked int
	// reads counts the reads that ran, and atReplicas those at replicas.
	reads, atReplicas int
}

func (s *strongPlay) sendRead(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ackedBefore[id], s.sentAt[id] = s.acked, s.record.now()
}

func (s *strongPlay) committed(id string, place int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place[id] = place
}

func (s *strongPlay) ack(id string, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if completed {
		s.acked = max(s.acked, s.place[id])
	}
}

// read checks a read that a member has run on a log of that many entries.
func (s *strongPlay) read(m *member, id string, entries int) {
	m.svc.mu.Lock()
	primary := m.primary
	m.svc.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if !primary {
		s.atReplicas++
	}
	if before, ok := s.ackedBefore[id]; ok && entries < before {
		s.record.breaks("read %s, sent at %.6f s, ran at %s on %d entries, though commit %d was acknowledged before", id, s.sentAt[id].Seconds(), m.id, entries, before)
	}
}

// clientDelay is how long a message takes between a client and a daemon with TROUBLE=0, as on the sheet of the deployment.
const clientDelay = time.Millisecond

// strongCase: clients read on routes of type primary while others write. Nothing is disturbed. With TROUBLE=0, messages take 1 ms
// between clients and daemons.
func strongCase(p *play) error {
	const services = 3
	promoters := make(map[string]*service)
	p.store.promote = func(svc, id string) int { return promoters[svc].promote(id) }
	cfg := config(1, "svc0", 0)
	var plays []*strongPlay
	for k := range services {
		name := fmt.Sprintf("svc%d", k)
		s := &strongPlay{record: p.record, sentAt: make(map[string]time.Duration), ackedBefore: make(map[string]int), place: make(map[string]int)}
		svc := &service{name: name, record: p.record, store: p.store, slots: 5, maxConn: 33, work: 11 * time.Millisecond, lag: 8 * time.Millisecond}
		svc.read, svc.committed = s.read, s.committed
		promoters[name], plays = svc, append(plays, s)
		if k > 0 {
			more := config(1, name, 0)
			route := more["Routes"].([]any)[0].(map[string]any)
			route["Name"], route["Host"] = "r-"+name, "dbstrong"+name
			cfg["Routes"] = append(cfg["Routes"].([]any), route)
			cfg["Services"] = append(cfg["Services"].([]any), more["Services"].([]any)[0])
		}
		for i := range 3 {
			if _, err := svc.add(fmt.Sprintf("m-%d%d", k, i), i == 0); err != nil {
				return err
			}
		}
		go svc.replicate()
	}
	p.store.set("config", "main", cfg)
	for i := range 2 {
		if _, err := p.fleet.start(fmt.Sprintf("front-%d", i), "z1"); err != nil {
			return err
		}
	}
	if err := p.fleet.awaitReady(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	end := time.Now().Add(90 * time.Second)
	var wg sync.WaitGroup
	run := func(d *daemon, database, name, text string, pause time.Duration, set func(c *session)) {
		wg.Go(func() {
			var c *session
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
				if c == nil {
					var err error
					if c, err = open(p.record, d.front, database, name); err != nil {
						continue
					}
					if !p.trouble {
						c.delay = clientDelay
					}
					set(c)
				}
				if _, _, err := c.query(fmt.Sprintf("%s i%d v%d", text, rand.IntN(50), serial.Load()), 3*time.Second); err != nil {
					_ = c.c.Close()
					c = nil
				}
			}
		})
	}
	for k, s := range plays {
		database := "dbstrong"
		if k > 0 {
			database += fmt.Sprintf("svc%d", k)
		}
		for i := range 40 {
			run(p.fleet.daemons[0], database, fmt.Sprintf("reader-%d%02d", k, i), "READ", 30*time.Millisecond, func(c *session) { c.sent = s.sendRead })
		}
		for i := range 8 {
			run(p.fleet.daemons[1], database, fmt.Sprintf("writer-%d%02d", k, i), "WRITE", 60*time.Millisecond, func(c *session) { c.answered = s.ack })
		}
	}
	wg.Wait()
	for _, s := range plays {
		fmt.Printf("%d reads, %d at replicas, %d commits acknowledged\n", s.reads, s.atReplicas, s.acked)
	}
	return nil
}
