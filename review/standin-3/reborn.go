package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// downAgain is how long the replica is down, with up to a second more, and primaryDown how long the primary is.
	downAgain   = 500 * time.Millisecond
	primaryDown = 7 * time.Second
	// deafTime is how long the other replica receives nothing.
	deafTime = 6500 * time.Millisecond
	// startTime is how long behind its start, when it accepts connections, the replica writes its entry.
	startTime = 200 * time.Millisecond
	// rounds is how often this is done at most, and calmTime the pause behind each.
	rounds   = 3
	calmTime = 15 * time.Second
	// storeAnswer is how long the store takes for an answer, as the sheet of the site says.
	storeAnswer = 4 * time.Millisecond
)

// reborn crashes the primary and a replica of a service with SyncReplicas at the same time, while the other replica receives nothing. The
// replica starts again under its Id soon and holds nothing of before, the primary comes back with its log 7 s later.
func reborn(dir string, trouble bool, rec *record) (bool, error) {
	st := newStore()
	st.answerTime = storeAnswer
	services, stopServices, err := startServices(st, rec, 1)
	defer stopServices()
	if err != nil {
		return false, err
	}
	svc := services[0]
	duty := httpServer(newDuty(rec, svc))
	defer duty.Close()
	fleet, stopFleet, err := startFleet(dir, st, duty.URL)
	defer stopFleet()
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	k := newLedger(svc)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() { k.writeSteadily(fleet[n%len(fleet)], n, stop) })
	}
	time.Sleep(6 * time.Second)
	for round := 1; round <= rounds; round++ {
		if trouble {
			if err := crashTwo(svc, rec); err != nil {
				return false, err
			}
		}
		k.rest(calmTime)
		if k.lostCommits() > 0 {
			break
		}
	}
	close(stop)
	clients.Wait()
	return k.report(), nil
}

// crashTwo crashes the primary and a replica while the other replica receives nothing, and returns when the primary is back.
func crashTwo(svc *service, rec *record) error {
	svc.mu.Lock()
	var replicas []*member
	for _, m := range svc.members {
		if !m.gone && !m.primary {
			replicas = append(replicas, m)
		}
	}
	primary := svc.leader()
	svc.mu.Unlock()
	if primary == nil || primary.gone || len(replicas) != 2 {
		return fmt.Errorf("the service has no primary with two replicas")
	}
	deaf, again := replicas[0], replicas[1]
	rec.say("%s receives nothing for %v", deaf.id, deafTime)
	deaf.setDeaf(true)
	time.AfterFunc(deafTime, func() { deaf.setDeaf(false) })
	time.Sleep(500 * time.Millisecond)
	rec.say("the primary %s and the replica %s crash", primary.id, again.id)
	primary.crash()
	again.crash()
	down := downAgain + rand.N(time.Second)
	time.Sleep(down)
	if _, err := svc.addLater(again.id, again.zone, again.l.Addr().String(), false, 1, nil, startTime); err != nil {
		return err
	}
	rec.say("%s runs again and holds nothing of before", again.id)
	time.Sleep(primaryDown - down)
	svc.mu.Lock()
	leads, log, term := svc.leader() == primary, primary.log, primary.term
	primary.primary = false
	svc.mu.Unlock()
	if _, err := svc.add(primary.id, primary.zone, primary.l.Addr().String(), leads, term, log); err != nil {
		return err
	}
	rec.say("%s runs again with its log", primary.id)
	return nil
}

// setDeaf keeps the member from receiving, or lets it receive again.
func (m *member) setDeaf(deaf bool) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.deaf = deaf
}
