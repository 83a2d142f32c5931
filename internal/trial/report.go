package trial

import (
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// gapTarget is the failover gap at which the score for it reaches 0, in milliseconds.
	gapTarget clock.Millis = 9000
	// readWeight and writeWeight are how Agroprecios counts requests.
	readWeight, writeWeight = 1, 2
	// gapShare and its companions are the parts of the two scores, which add up to 100.
	agropreciosGap, agropreciosServed, agropreciosReplica = 60, 20, 20
	caltanissettaGap, caltanissettaReplica                = 70, 30
)

// Report is what a trial found, as --report json prints it.
type Report struct {
	Fault            Fault          `json:"fault"`
	Policy           entry.Policy   `json:"policy"`
	Seed             uint64         `json:"seed"`
	Seconds          float64        `json:"seconds"`
	Reads            int            `json:"reads"`
	ReplicaReads     int            `json:"replica-reads"`
	ReplicaReadShare float64        `json:"replica-read-share"`
	WritesAcked      int            `json:"writes-acknowledged"`
	AgedReplicaShare float64        `json:"aged-replica-share"`
	ReadMedian       clock.Millis   `json:"read-median-ms"`
	Read95           clock.Millis   `json:"read-p95-ms"`
	Errors           map[string]int `json:"errors"`
	Losses
	UnknownOutcomes    int           `json:"unknown-outcomes"`
	Refused            int           `json:"refused"`
	Failed             int           `json:"failed"`
	FailoverGap        *clock.Millis `json:"failover-gap-ms"`
	Parts              *Parts        `json:"failover-parts-ms"`
	RequestsAsked      int64         `json:"requests-asked"`
	RequestsSent       int64         `json:"requests-sent"`
	PlatformCalls      uint64        `json:"platform-calls"`
	WriteMedian        clock.Millis  `json:"write-median-ms"`
	Write95            clock.Millis  `json:"write-p95-ms"`
	Changes            int           `json:"primary-changes"`
	AgropreciosScore   float64       `json:"score-agroprecios"`
	CaltanissettaScore float64       `json:"score-caltanissetta"`
	aged, agedReplica  int64
}

// primaryFails tells the faults after which a failover gap is measured.
func (f Fault) primaryFails() bool {
	return f == PrimaryCrash || f == PrimaryCut || f == PrimaryPause || f == PrimarySideCut
}

// gap is the time from the fault to the first acknowledgement of a write that began once the fault was complete; nil when there was none.
func gap(h *History, fault outage) *clock.Millis {
	var best *clock.Millis
	for i := range h.Writes {
		w := &h.Writes[i]
		if w.Fate != Acknowledged || w.Began <= fault.complete {
			continue
		}
		took := w.Finished - fault.began
		if best == nil || took < *best {
			best = &took
		}
	}
	return best
}

// tally fills in what the sessions saw.
func (r *Report) tally(h *History) {
	r.Errors = make(map[string]int)
	for i := range h.Writes {
		if c := h.Writes[i].Code; c != "" {
			r.Errors["write-"+c]++
		}
		switch h.Writes[i].Fate {
		case Acknowledged:
			r.WritesAcked++
		case Unknown:
			r.UnknownOutcomes++
		case NotRun:
			r.Refused++
		case Failed:
			r.Failed++
		}
	}
	for i := range h.Reads {
		if c := h.Reads[i].Code; c != "" {
			r.Errors["read-"+c]++
		}
		if h.Reads[i].Fate == Acknowledged {
			r.Reads++
		} else {
			r.Failed++
		}
	}
	r.latency(h)
}

// count adds what the daemons counted.
func (r *Report) count(events []event.Event) {
	defer r.shares()
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case event.Counted:
			r.ReplicaReads += int(e.Counts.ReplicaReads)
			if e.Request == "bulletin.lookup" {
				r.aged += e.Counts.Served
				r.agedReplica += e.Counts.ReplicaReads
			}
			r.RequestsAsked += e.Counts.Asked
			r.RequestsSent += e.Counts.Sent
		case event.Promoted:
			r.Changes++
		}
	}
}

func (r *Report) shares() {
	if r.Reads > 0 {
		r.ReplicaReadShare = float64(r.ReplicaReads) / float64(r.Reads)
	}
	if r.aged > 0 {
		r.AgedReplicaShare = float64(r.agedReplica) / float64(r.aged)
	}
}

// score weighs the figures as the two users do.
func (r *Report) score(h *History) {
	gapScore := 1.0
	if r.Fault.primaryFails() {
		gapScore = 0
		if r.FailoverGap != nil {
			gapScore = max(0, 1-float64(*r.FailoverGap)/float64(gapTarget))
		}
	}
	served := servedShare(h)
	r.AgropreciosScore = agropreciosGap*gapScore + agropreciosServed*served + agropreciosReplica*r.ReplicaReadShare
	r.CaltanissettaScore = caltanissettaGap*gapScore + caltanissettaReplica*r.ReplicaReadShare
}

// servedShare is the share of requests answered, entries and revisions counting double.
func servedShare(h *History) float64 {
	asked, served := 0, 0
	for i := range h.Writes {
		asked += writeWeight
		if h.Writes[i].Fate == Acknowledged {
			served += writeWeight
		}
	}
	for i := range h.Reads {
		asked += readWeight
		if h.Reads[i].Fate == Acknowledged {
			served += readWeight
		}
	}
	if asked == 0 {
		return 0
	}
	return float64(served) / float64(asked)
}
