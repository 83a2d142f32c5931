package trial

import "strings"

// Row is one quote of the group's final state.
type Row struct {
	ID  string
	Lot string
}

// Losses are the faults that a trial counts; all are 0 when the promises hold.
type Losses struct {
	WritesLost        int `json:"writes-lost"`
	WritesDoubled     int `json:"writes-doubled"`
	StaleSessionReads int `json:"stale-session-reads"`
	RefusedYetRun     int `json:"refused-yet-run"`
	MixedAnswers      int `json:"mixed-answers"`
	OverAgeReads      int `json:"over-age-reads"`
}

// Check compares what sessions were told with the final state.
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
		if r.Fate == Acknowledged && len(r.Missing) > 0 {
			l.StaleSessionReads++
		}
		if r.Fate == Acknowledged && len(r.Overdue) > 0 {
			l.OverAgeReads++
		}
	}
	return l
}

func (l *Losses) checkWrite(w *WriteEntry, runs int) {
	switch {
	case runs > 1:
		l.WritesDoubled++
	case w.Fate == Acknowledged && runs == 0:
		l.WritesLost++
	case (w.Fate == NotRun || w.Fate == Failed) && runs > 0:
		l.RefusedYetRun++
	}
}

// countRuns counts how often each write's tag stands in the rows.
func countRuns(rows []Row) map[Tag]int {
	runs := make(map[Tag]int)
	for _, r := range rows {
		for _, t := range tagsOf(r.Lot) {
			runs[t]++
		}
	}
	return runs
}

// tagsOf splits the lot column, to which each write adds its tag.
func tagsOf(lot string) []Tag {
	var out []Tag
	for t := range strings.SplitSeq(lot, "|") {
		if t != "" {
			out = append(out, Tag(t))
		}
	}
	return out
}
