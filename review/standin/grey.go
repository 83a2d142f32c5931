package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playGrey: the primary fails a share of its requests for 6.5 s, while its health is good.
func playGrey(s *scene) (bool, error) {
	var grey atomic.Bool
	s.svc.refuse = func(m *member, id, text string) string {
		verb, _, _ := strings.Cut(text, " ")
		switch verb {
		case "SET", "READ", "WRITE", "EXECUTE", "COMMIT", "PREPARE":
			if m.primary && grey.Load() && rand.Float64() < 0.45 {
				return "FAILED"
			}
		}
		return ""
	}
	if s.trouble {
		time.AfterFunc(time.Second, func() {
			s.record.add("disruption", "the primary fails 0.45 of its requests for 6.5 s")
			grey.Store(true)
		})
		time.AfterFunc(7500*time.Millisecond, func() { s.record.add("disruption", "the primary fails no more requests"); grey.Store(false) })
	}
	var wg sync.WaitGroup
	var acked atomic.Int64
	end := time.Now().Add(10 * time.Second)
	for i := range 4 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				c, err := connect(fmt.Sprintf("client-%d", i), s.fleet.daemons[i%len(s.fleet.daemons)].front, dbStrong, s.record)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if completed(c.query(fmt.Sprintf("SET who v%d-%d", i, k), time.Second)) {
					if completed(c.query(fmt.Sprintf("WRITE item-%d-%d data", i, k), 2*time.Second)) {
						acked.Add(1)
					}
				}
				c.close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	_, log := s.svc.logOf()
	twice := 0
	for id, n := range log {
		if n > 1 {
			twice++
			if twice <= 5 {
				s.record.say(fmt.Sprintf("TWICE: write %s took effect %d times", id, n))
			}
		}
	}
	s.record.say(fmt.Sprintf("%d writes acknowledged, %d took effect more than once", acked.Load(), twice))
	return twice > 0, nil
}
