package trial

import "strings"

// Row is one quote of the group's final state.
type Row struct {
	ID  string
	Lot string
}

// Losses counts violations of the daemons' guarantees; all counts are 0 if the guarantees hold.
type Losses struct {
	// WritesLost counts acknowledged writes that the final state lacks.
	WritesLost int `json:"writes-lost"`
	// WritesDoubled counts writes that ran more than once.
	WritesDoubled int `json:"writes-doubled"`
	// StaleSessionReads counts reads that lack an earlier acknowledged write of their session.
	StaleSessionReads int `json:"stale-session-reads"`
	// RefusedYetRun counts writes that ran although the session got a refusal or an error.
	RefusedYetRun int `json:"refused-yet-run"`
	// MixedAnswers counts reads whose reply belongs to another request.
	MixedAnswers int `json:"mixed-answers"`
	// OverAgeReads counts reads that lack a write older than their maximum age.
	OverAgeReads int `json:"over-age-reads"`
}

// Check compares the outcomes that the sessions saw with the final state.
func Check(h *History, final []Row) Losses {
	var l Losses
	runs := countRuns(final)
	for i := range h.Writes {
		l.checkWrite(&h.Writes[i], runs[h.Writes[i].Tag])
	}
	for i := range h.Reads {
		r := &h.Reads[i]
		if r.Mixed {
			l.MixedAnswers++
		}
		if r.Outcome == Acknowledged && len(r.Missing) > 0 {
			l.StaleSessionReads++
		}
		if r.Outcome == Acknowledged && len(r.Overdue) > 0 {
			l.OverAgeReads++
		}
	}
	return l
}

func (l *Losses) checkWrite(w *WriteRecord, runs int) {
	switch {
	case runs > 1:
		l.WritesDoubled++
	case w.Outcome == Acknowledged && runs == 0:
		l.WritesLost++
	case (w.Outcome == NotRun || w.Outcome == Failed) && runs > 0:
		l.RefusedYetRun++
	}
}

// countRuns counts how often each tag occurs in the rows.
func countRuns(rows []Row) map[Tag]int {
	runs := make(map[Tag]int)
	for _, r := range rows {
		for _, t := range tagsOf(r.Lot) {
			runs[t]++
		}
	}
	return runs
}

// tagsOf splits the value of the column lot, to which each write appends its tag.
func tagsOf(lot string) []Tag {
	var out []Tag
	for t := range strings.SplitSeq(lot, "|") {
		if t != "" {
			out = append(out, Tag(t))
		}
	}
	return out
}
