package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// duty is the platform's call that promotes a member, for all services.
type duty struct {
	services map[string]*service
	rec      *record

	mu sync.Mutex
	// begin is when calls began to be late. total and late count the calls since then.
	begin       time.Time
	total, late int
}

func newDuty(rec *record, services ...*service) *duty {
	d := &duty{services: map[string]*service{}, rec: rec}
	for _, s := range services {
		d.services[s.name] = s
	}
	return d
}

// open begins a time of lateFor in which calls may be late.
func (d *duty) open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begin, d.total, d.late = time.Now(), 0, 0
}

// closeTime ends that time and says how many calls were late.
func (d *duty) closeTime() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.say("platform: %d of the %d calls of that time were late", d.late, d.total)
}

func (d *duty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	fence, err := strconv.ParseUint(r.Header.Get("X-Cactusfork-Fencing-Token"), 10, 64)
	if r.URL.Path != "/promotion" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || d.services[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s, holder := d.services[body.Service], r.Header.Get("X-Cactusfork-Lock-Holder")
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	isLate := late != nil && late(body.Id, func() { s.carryOut(body.Id, holder, fence) })
	d.mu.Lock()
	if time.Since(d.begin) < lateFor {
		d.total++
		if isLate {
			d.late++
		}
	}
	d.mu.Unlock()
	if isLate {
		d.rec.say("platform: promotion of %s by %s, fence %d, is left unanswered", body.Id, holder, fence)
		<-r.Context().Done()
		return
	}
	w.WriteHeader(s.carryOut(body.Id, holder, fence))
}
