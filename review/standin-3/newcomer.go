package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// outage is how long the store is down. Behind its begin, the new replica starts after newAfter, another replica receives nothing from
	// deafAfter on, and the primary crashes after crashAfter.
	outage     = 4500 * time.Millisecond
	newAfter   = 500 * time.Millisecond
	deafAfter  = 3 * time.Second
	crashAfter = 4 * time.Second
	// newcomerDown is how long the primary is down.
	newcomerDown = 2500 * time.Millisecond
	// newcomerRounds is how often this is done at most, and newcomerCalm the pause behind each.
	newcomerRounds = 4
	newcomerCalm   = 8 * time.Second
)

// newcomer replaces a replica of a service with SyncReplicas as planned, while the store is down. The new one receives commits before the
// daemons can know of it. Another replica receives nothing for a while, and the primary crashes meanwhile.
func newcomer(dir string, trouble bool, rec *record) (bool, error) {
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
	for n := range 24 {
		clients.Go(func() { k.writeSteadily(fleet[n%len(fleet)], n, stop) })
	}
	time.Sleep(4 * time.Second)
	for round := 1; round <= newcomerRounds && k.lostCommits() == 0; round++ {
		if err := replaceInOutage(svc, fmt.Sprintf("i-%d", 2+round), trouble, rec); err != nil {
			return false, err
		}
		k.rest(newcomerCalm)
	}
	close(stop)
	clients.Wait()
	return k.report(), nil
}

// replaceInOutage replaces a replica, and returns when the old one has ended.
func replaceInOutage(svc *service, id string, trouble bool, rec *record) error {
	begin := time.Now()
	svc.mu.Lock()
	primary := svc.leader()
	var replicas []*member
	for _, m := range svc.members {
		if !m.gone && !m.primary {
			replicas = append(replicas, m)
		}
	}
	svc.mu.Unlock()
	if primary == nil || primary.gone || len(replicas) < 2 {
		return errNoPrimary
	}
	old, other := replicas[0], replicas[1]
	if trouble {
		rec.say("the store is down for %v", outage)
		svc.store.down.Store(true)
		time.AfterFunc(outage, func() {
			svc.store.down.Store(false)
			rec.say("the store is back")
		})
	}
	time.Sleep(newAfter)
	svc.mu.Lock()
	log, term := primary.log, primary.term
	svc.mu.Unlock()
	if _, err := svc.add(id, old.zone, "", false, term, log); err != nil {
		return err
	}
	rec.say("planned: %s starts, which is to replace %s", id, old.id)
	time.Sleep(time.Until(begin.Add(deafAfter)))
	if trouble {
		rec.say("%s receives nothing for %v", other.id, deafTime)
		other.setDeaf(true)
		time.AfterFunc(deafTime, func() { other.setDeaf(false) })
	}
	time.Sleep(time.Until(begin.Add(crashAfter)))
	if trouble {
		if err := crashFor(svc, newcomerDown, rec); err != nil {
			return err
		}
	}
	svc.mu.Lock()
	leads := svc.leader() == old
	old.draining = !leads
	svc.mu.Unlock()
	if leads {
		rec.say("%s leads now and stays", old.id)
		return nil
	}
	old.register()
	rec.say("planned: %s reports that it drains", old.id)
	time.Sleep(drainTime + lateExit)
	old.end()
	rec.say("planned: %s has ended", old.id)
	return nil
}
