package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	drainTime = 7 * time.Second
	// lateExit is how long behind DrainMs a leaving member ends; the page has "a little longer (at times many seconds)".
	lateExit = time.Second
	// handOverRounds is how often the primary is replaced at most, and handOverCalm the pause behind each.
	handOverRounds = 4
	// handOverOthers is the number of other services, whose primaries are replaced at the same time and whose promotions are answered at once.
	handOverOthers = 8
	handOverCalm   = 14 * time.Second
	// handOverLate is how late the second promotion is carried out, slowTimes how many times as late as usual a replica receives commits for
	// slowTime.
	handOverLate = 2 * time.Second
	slowTimes    = 60
	slowTime     = 6500 * time.Millisecond
)

var errNoReplica = errors.New("the service has no replica")

// handOver replaces the primary of a service with SyncReplicas as planned, while one replica falls behind and the platform leaves promotions
// unanswered and carries them out late.
func handOver(dir string, trouble bool, rec *record) (bool, error) {
	st := newStore()
	st.answerTime = storeAnswer
	services, stopServices, err := startServices(st, rec, 1+handOverOthers)
	defer stopServices()
	if err != nil {
		return false, err
	}
	svc, calls := services[0], newDuty(rec, services...)
	duty := httpServer(calls)
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
	for round := 1; round <= handOverRounds && k.lostCommits() == 0; round++ {
		calls.open()
		time.AfterFunc(lateFor, calls.closeTime)
		var others sync.WaitGroup
		for _, o := range services[1:] {
			others.Go(func() {
				if err := replacePrimary(o, fmt.Sprintf("%s-%d", o.name, 2+round), false, rec); err != nil {
					rec.say("%s: %v", o.name, err)
				}
			})
		}
		err := replacePrimary(svc, fmt.Sprintf("i-%d", 2+round), trouble, rec)
		others.Wait()
		if err != nil {
			return false, err
		}
		k.rest(handOverCalm)
	}
	close(stop)
	clients.Wait()
	return k.report(), nil
}

// replacePrimary replaces the primary as planned: it drains and ends, and a new member takes over its address and its log.
func replacePrimary(svc *service, id string, trouble bool, rec *record) error {
	svc.mu.Lock()
	primary := svc.leader()
	if primary == nil || primary.gone {
		svc.mu.Unlock()
		return errNoPrimary
	}
	var slow *member
	for _, m := range svc.members {
		if m != primary && !m.gone && (slow == nil || m.id < slow.id) {
			slow = m
		}
	}
	if slow == nil {
		svc.mu.Unlock()
		return errNoReplica
	}
	primary.draining = true
	if trouble {
		svc.late = latePromotions(handOverLate, func(first, id string) bool { return first != "" && id != first })
		slow.slow = slowTimes
		time.AfterFunc(slowTime, func() {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			slow.slow = 1
		})
		rec.say("%s receives %d times as late for %v", slow.id, slowTimes, slowTime)
	}
	svc.mu.Unlock()
	rec.say("planned: the primary %s reports that it drains", primary.id)
	primary.register()
	time.Sleep(drainTime + lateExit)
	address := primary.l.Addr().String()
	primary.end()
	svc.mu.Lock()
	log, term := primary.log, primary.term
	svc.mu.Unlock()
	if _, err := svc.add(id, primary.zone, address, false, term, log); err != nil {
		return err
	}
	rec.say("planned: %s has ended, %s runs at its address with its log", primary.id, id)
	return nil
}
