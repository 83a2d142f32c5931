package trial

import (
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// zeroScoreGap is the failover gap at which the score of the gap reaches 0, in milliseconds.
	zeroScoreGap clock.Millis = 9000
	// readWeight and writeWeight are the weights that Agroprecios gives to requests.
	readWeight, writeWeight = 1, 2
	// Each of the following is the share of one figure in a user's score; the shares of a score add up to 100.
	agropreciosGapShare, agropreciosServedShare, agropreciosReplicaShare = 60, 20, 20
	caltanissettaGapShare, caltanissettaReplicaShare                     = 70, 30
)

// Report is the result of a trial, in the form that --report json prints. Reads, WritesAcked and the latencies count acknowledged
// requests; shares are between 0 and 1, scores between 0 and 100.
type Report struct {
	Fault            Fault        `json:"fault"`
	Policy           entry.Policy `json:"policy"`
	Seed             uint64       `json:"seed"`
	Seconds          float64      `json:"seconds"` // length of the load
	Reads            int          `json:"reads"`
	ReplicaReads     int          `json:"replica-reads"`
	ReplicaReadShare float64      `json:"replica-read-share"`
	WritesAcked      int          `json:"writes-acknowledged"`
	// AgedReplicaShare is the share of reads with a maximum age that replicas served.
	AgedReplicaShare float64      `json:"aged-replica-share"`
	ReadMedian       clock.Millis `json:"read-median-ms"`
	Read95           clock.Millis `json:"read-p95-ms"`
	// Errors counts errors by kind of request and SQLSTATE, such as write-08007; the code cut is an error of the connection.
	Errors map[string]int `json:"errors"`
	Losses
	// UnknownOutcomes and Refused count writes; Failed also counts every read that was not acknowledged.
	UnknownOutcomes int `json:"unknown-outcomes"`
	Refused         int `json:"refused"`
	Failed          int `json:"failed"`
	// FailoverGap and Parts are nil for a fault that leaves the primary in place; FailoverGap is also nil if no write succeeded
	// after the fault.
	FailoverGap *clock.Millis `json:"failover-gap-ms"`
	Parts       *Parts        `json:"failover-parts-ms"`
	// RequestsAsked counts the requests that the daemons got from sessions, RequestsSent those that they sent to targets.
	RequestsAsked                   int64        `json:"requests-asked"`
	RequestsSent                    int64        `json:"requests-sent"`
	PlatformCalls                   uint64       `json:"platform-calls"`
	WriteMedian                     clock.Millis `json:"write-median-ms"`
	Write95                         clock.Millis `json:"write-p95-ms"`
	Changes                         int          `json:"primary-changes"` // number of promotions
	AgropreciosScore                float64      `json:"score-agroprecios"`
	CaltanissettaScore              float64      `json:"score-caltanissetta"`
	maxAgeReads, maxAgeReplicaReads int64        // reads with a maximum age: all of them, those served by replicas
}

// primaryFails reports whether the fault affects the primary, so that a failover gap is measured.
func (f Fault) primaryFails() bool {
	return f == PrimaryCrash || f == PrimaryCut || f == PrimaryPause || f == PrimarySideCut
}

// failoverGap returns the time from the start of the fault to the first acknowledgement of a write that began after the injection
// was complete, or nil if there is no such write.
func failoverGap(h *History, fault faultTimes) *clock.Millis {
	var shortest *clock.Millis
	for i := range h.Writes {
		w := &h.Writes[i]
		if w.Outcome != Acknowledged || w.Began <= fault.complete {
			continue
		}
		elapsed := w.Finished - fault.began
		if shortest == nil || elapsed < *shortest {
			shortest = &elapsed
		}
	}
	return shortest
}

// addHistory counts the outcomes, errors and latencies that the sessions saw.
func (r *Report) addHistory(h *History) {
	r.Errors = make(map[string]int)
	for i := range h.Writes {
		if c := h.Writes[i].Code; c != "" {
			r.Errors["write-"+c]++
		}
		switch h.Writes[i].Outcome {
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
		if h.Reads[i].Outcome == Acknowledged {
			r.Reads++
		} else {
			r.Failed++
		}
	}
	r.computeLatencies(h)
}

// addEvents adds the counts in the events of one daemon.
func (r *Report) addEvents(events []event.Event) {
	defer r.computeShares()
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case event.Counted:
			r.ReplicaReads += int(e.Counts.ReplicaReads)
			if e.Request == "bulletin.lookup" {
				r.maxAgeReads += e.Counts.Served
				r.maxAgeReplicaReads += e.Counts.ReplicaReads
			}
			r.RequestsAsked += e.Counts.Asked
			r.RequestsSent += e.Counts.Sent
		case event.Promoted:
			r.Changes++
		}
	}
}

func (r *Report) computeShares() {
	if r.Reads > 0 {
		r.ReplicaReadShare = float64(r.ReplicaReads) / float64(r.Reads)
	}
	if r.maxAgeReads > 0 {
		r.AgedReplicaShare = float64(r.maxAgeReplicaReads) / float64(r.maxAgeReads)
	}
}

// computeScores weights the figures by the priorities of the two users Agroprecios and Caltanissetta.
func (r *Report) computeScores(h *History) {
	gapScore := 1.0
	if r.Fault.primaryFails() {
		gapScore = 0
		if r.FailoverGap != nil {
			gapScore = max(0, 1-float64(*r.FailoverGap)/float64(zeroScoreGap))
		}
	}
	served := servedShare(h)
	r.AgropreciosScore = agropreciosGapShare*gapScore + agropreciosServedShare*served + agropreciosReplicaShare*r.ReplicaReadShare
	r.CaltanissettaScore = caltanissettaGapShare*gapScore + caltanissettaReplicaShare*r.ReplicaReadShare
}

// servedShare returns the share of acknowledged requests, weighted by readWeight and writeWeight, or 0 without requests.
func servedShare(h *History) float64 {
	total, served := 0, 0
	for i := range h.Writes {
		total += writeWeight
		if h.Writes[i].Outcome == Acknowledged {
			served += writeWeight
		}
	}
	for i := range h.Reads {
		total += readWeight
		if h.Reads[i].Outcome == Acknowledged {
			served += readWeight
		}
	}
	if total == 0 {
		return 0
	}
	return float64(served) / float64(total)
}
