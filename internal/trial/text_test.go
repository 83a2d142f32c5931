package trial

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestReportAsText(t *testing.T) {
	gap := clock.Millis(69)
	r := &Report{ReplicaReadShare: 0.5, Failed: 3, Errors: map[string]int{"write-08007": 1, "read-cut": 2}, FailoverGap: &gap, Parts: &Parts{Fenced: 38}}
	var w bytes.Buffer
	if err := r.Write(&w); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"50.0 %", "0, 3 (read-cut: 2, write-08007: 1)", "69 ms, suspected 0, fenced 38"} {
		if got := w.String(); !strings.Contains(got, want) {
			t.Errorf("got %s, want it to contain %q", got, want)
		}
	}
}
