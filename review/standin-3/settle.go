package main

import (
	"errors"
	"sync"
	"time"
)

const (
	// shortDown is how long the primary is down.
	shortDown = 2 * time.Second
	// settleLate is how late the promotion of the primary is carried out.
	settleLate = 4 * time.Second
	// maxLate is how late a promotion without an answer is carried out at most; the least is 2 s.
	maxLate = 12 * time.Second
	// lateFor is how long promotions are left unanswered, from the crash on.
	lateFor = 5500 * time.Millisecond
	// settleRounds is how often this is done at most, and settleCalm the pause behind each.
	settleRounds = 5
	// settleOthers is the number of other services, whose primaries crash at the same time and whose promotions are answered at once.
	settleOthers = 8
	settleCalm   = 18 * time.Second
)

// settle crashes the primary of a service with SyncReplicas for a moment, while the platform leaves promotions unanswered and carries them
// out late.
func settle(dir string, trouble bool, rec *record) (bool, error) {
	st := newStore()
	st.answerTime = storeAnswer
	services, stopServices, err := startServices(st, rec, 1+settleOthers)
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
	for n := range 16 {
		clients.Go(func() { k.writeSteadily(fleet[n%len(fleet)], n, stop) })
	}
	time.Sleep(6 * time.Second)
	for round := 1; round <= settleRounds && k.lostCommits() == 0; round++ {
		if trouble {
			calls.open()
			var others sync.WaitGroup
			for _, o := range services[1:] {
				others.Go(func() {
					if err := crashFor(o, shortDown, rec); err != nil {
						rec.say("%s: %v", o.name, err)
					}
				})
			}
			err := crashBriefly(svc, rec)
			others.Wait()
			if err != nil {
				return false, err
			}
			time.AfterFunc(lateFor, calls.closeTime)
		}
		k.rest(settleCalm)
	}
	close(stop)
	clients.Wait()
	return k.report(), nil
}

// crashBriefly crashes the primary for shortDown, with late promotions, and returns when it is back.
func crashBriefly(svc *service, rec *record) error {
	svc.mu.Lock()
	primary := svc.leader()
	if primary != nil {
		svc.late = latePromotions(settleLate, func(_, id string) bool { return id == primary.id })
	}
	svc.mu.Unlock()
	return crashFor(svc, shortDown, rec)
}

// crashFor crashes the primary and returns when it is back with its log.
func crashFor(svc *service, down time.Duration, rec *record) error {
	svc.mu.Lock()
	primary := svc.leader()
	svc.mu.Unlock()
	if primary == nil || primary.gone {
		return errNoPrimary
	}
	rec.say("the primary %s crashes", primary.id)
	primary.crash()
	time.Sleep(down)
	svc.mu.Lock()
	leads, log, term := svc.leader() == primary, primary.log, primary.term
	primary.primary = false
	svc.mu.Unlock()
	if _, err := svc.add(primary.id, primary.zone, primary.l.Addr().String(), leads, term, log); err != nil {
		return err
	}
	rec.say("%s runs again with its log, as primary: %v", primary.id, leads)
	return nil
}

var errNoPrimary = errors.New("the service has no primary")

// latePromotions leaves promotions without an answer for lateFor. The first call is carried out soon behind the first call that contradicts
// it, by the ids of both, and that one some time behind its call. The others are carried out as late as possible.
func latePromotions(second time.Duration, contradicts func(first, id string) bool) func(id string, carryOut func()) bool {
	begin := time.Now()
	var mu sync.Mutex
	var firstID string
	var first func()
	contradicted := false
	return func(id string, carryOut func()) bool {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(begin) > lateFor {
			return false
		}
		switch {
		case first == nil && !contradicts("", id):
			var once sync.Once
			firstID, first = id, func() { once.Do(carryOut) }
			time.AfterFunc(maxLate, first)
		case first != nil && !contradicted && contradicts(firstID, id):
			contradicted = true
			time.AfterFunc(300*time.Millisecond, first)
			time.AfterFunc(second, carryOut)
		default:
			time.AfterFunc(maxLate, carryOut)
		}
		return true
	}
}
