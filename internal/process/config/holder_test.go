package config

import (
	"errors"
	"testing"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func object(key platform.Key, v platform.Version, value string) platform.Object {
	return platform.Object{Key: key, Version: v, Value: []byte(value)}
}

func newTestHolder(deps Dependencies) (*Holder, *clock.Manual) {
	clk := clock.NewManual(0)
	if deps.Jitter == nil {
		deps.Jitter = func() float64 { return 0 }
	}
	return New(Defaults("d1", "dc-1"), &clk.Clock, deps), clk
}

func TestApplyKeepsTheHighestVersion(t *testing.T) {
	invalid := errors.New("invalid")
	validate := func(o platform.Object) error {
		if string(o.Value) == "bad" {
			return invalid
		}
		return nil
	}
	tests := []struct {
		name    string
		apply   []platform.Object
		version platform.Version
		value   string
		counts  Counts
	}{
		{"newer", []platform.Object{object("groups/a", 1, "x"), object("groups/a", 2, "y")}, 2, "y", Counts{}},
		{"older", []platform.Object{object("groups/a", 2, "y"), object("groups/a", 1, "x")}, 2, "y", Counts{Older: 1}},
		{"duplicate", []platform.Object{object("groups/a", 2, "y"), object("groups/a", 2, "y")}, 2, "y", Counts{}},
		{"same version, other value", []platform.Object{object("groups/a", 2, "y"), object("groups/a", 2, "z")}, 2, "y", Counts{Conflicts: 1}},
		{"invalid", []platform.Object{object("groups/a", 1, "x"), object("groups/a", 2, "bad"), object("groups/a", 2, "bad")}, 1, "x", Counts{Invalid: 1}},
		{"valid after invalid", []platform.Object{object("groups/a", 2, "bad"), object("groups/a", 3, "y")}, 3, "y", Counts{Invalid: 1}},
		{"tombstone before older", []platform.Object{object("groups/a", 3, ""), object("groups/a", 2, "y")}, 0, "", Counts{Older: 1}},
		{"key of another kind", []platform.Object{object("other/a", 3, "x")}, 0, "", Counts{}},
	}
	for _, tt := range tests {
		for _, oneByOne := range []bool{false, true} {
			h, _ := newTestHolder(Dependencies{Validate: validate})
			if oneByOne {
				for _, o := range tt.apply {
					h.Apply([]platform.Object{o})
				}
			} else {
				h.Apply(tt.apply)
			}
			got, ok := h.Snapshot().Get("groups/a")
			if ok != (tt.version != 0) || ok && (got.Version != tt.version || string(got.Value) != tt.value) {
				t.Errorf("%s (one by one: %t): got %v %t, want version %d %q", tt.name, oneByOne, got, ok, tt.version, tt.value)
			}
			if c := h.Counts(); c != tt.counts {
				t.Errorf("%s (one by one: %t): counts: got %+v, want %+v", tt.name, oneByOne, c, tt.counts)
			}
		}
	}
}
