package platform

import (
	"errors"
	"testing"
)

func TestVersionsAreOrderedByEraThenRevision(t *testing.T) {
	tests := []struct {
		era      Era
		revision uint64
		want     string
		err      error
	}{
		{0, 0, "0", nil},
		{0, 7, "7", nil},
		{0, maxRevision, "17592186044415", nil},
		{1, 0, "1.0", nil},
		{1, 9, "1.9", nil},
		{2, 3, "2.3", nil},
		{maxEra, maxRevision, "524287.17592186044415", nil},
		{1, maxRevision + 1, "0", errVersionRange},
		{maxEra + 1, 1, "0", errVersionRange},
	}
	before := Version(0)
	for _, tt := range tests {
		v, err := NewVersion(tt.era, tt.revision)
		if v.String() != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("era %d, revision %d: got %s, %v, want %s, %v", tt.era, tt.revision, v, err, tt.want, tt.err)
		}
		if err == nil && (v < before || v.Era() != tt.era || v.Revision() != tt.revision) {
			t.Errorf("era %d, revision %d: got version %d after %d, want a higher one of the same numbers", tt.era, tt.revision, v, before)
		}
		before = v
	}
}

func TestEraTrackerReportsEachRestoreOnce(t *testing.T) {
	var restores []Era
	tracker := EraTracker{OnRestore: func(era, _ Era) { restores = append(restores, era) }}
	for _, era := range []Era{0, 4, 4, 5, 4, 0, 7} {
		tracker.Observe(era)
	}
	if len(restores) != 2 || restores[0] != 5 || restores[1] != 7 || tracker.Newest() != 7 {
		t.Errorf("got restores %v and era %d, want 5, 7 and era 7", restores, tracker.Newest())
	}
}
