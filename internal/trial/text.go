package trial

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// line is one line of the text report.
type line struct {
	name  string
	value string
}

// Write writes the report as text, one figure per line.
func (r *Report) Write(w io.Writer) error {
	for _, l := range r.lines() {
		if _, err := fmt.Fprintf(w, "%-24s %s\n", l.name, l.value); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (r *Report) lines() []line {
	return []line{
		{"fault", string(r.Fault)},
		{"policy", string(r.Policy)},
		{"length", fmt.Sprintf("%g s, seed %d", r.Seconds, r.Seed)},
		{"reads", fmt.Sprintf("%d, median %d ms, p95 %d ms", r.Reads, r.ReadMedian, r.Read95)},
		{"replica reads", fmt.Sprintf("%d, %.1f %%; with a stated age %.1f %%", r.ReplicaReads, 100*r.ReplicaReadShare, 100*r.AgedReplicaShare)},
		{"writes acknowledged", fmt.Sprintf("%d, median %d ms, p95 %d ms", r.WritesAcked, r.WriteMedian, r.Write95)},
		{"writes lost", fmt.Sprint(r.WritesLost)},
		{"writes doubled", fmt.Sprint(r.WritesDoubled)},
		{"stale session reads", fmt.Sprint(r.StaleSessionReads)},
		{"over-age reads", fmt.Sprint(r.OverAgeReads)},
		{"refused yet run", fmt.Sprint(r.RefusedYetRun)},
		{"mixed answers", fmt.Sprint(r.MixedAnswers)},
		{"unknown outcomes", fmt.Sprint(r.UnknownOutcomes)},
		{"refused, failed", fmt.Sprintf("%d, %d%s", r.Refused, r.Failed, r.errorText())},
		{"failover gap", r.gapText()},
		{"requests sent/asked", fmt.Sprintf("%d/%d", r.RequestsSent, r.RequestsAsked)},
		{"changes of primary", fmt.Sprint(r.Changes)},
		{"platform calls", fmt.Sprint(r.PlatformCalls)},
		{"score agroprecios", fmt.Sprintf("%.1f of 100", r.AgropreciosScore)},
		{"score caltanissetta", fmt.Sprintf("%.1f of 100", r.CaltanissettaScore)},
	}
}

// errorText formats the counts of Errors, sorted by key, in parentheses; it returns an empty string without errors.
func (r *Report) errorText() string {
	var all []string
	for code, n := range r.Errors {
		all = append(all, fmt.Sprintf("%s: %d", code, n))
	}
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	return " (" + strings.Join(all, ", ") + ")"
}

func (r *Report) gapText() string {
	if r.FailoverGap == nil {
		return "no primary failed, or no write came after"
	}
	text := fmt.Sprintf("%d ms", *r.FailoverGap)
	if p := r.Parts; p != nil {
		steps := []struct {
			name string
			at   clock.Millis
		}{{"suspected", p.Suspected}, {"fenced", p.Fenced}, {"recorded", p.Recorded}, {"promoted", p.Promoted}, {"first write", p.FirstWrite}}
		for _, s := range steps {
			text += fmt.Sprintf(", %s %d", s.name, s.at)
		}
	}
	return text
}
