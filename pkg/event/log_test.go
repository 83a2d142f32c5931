package event

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestLogOrdersAcrossDaemons(t *testing.T) {
	ahead, behind := clock.NewManual(1000), clock.NewManual(10)
	a := NewLog("a", 4, &ahead.Clock, nil)
	b := NewLog("b", 4, &behind.Clock, nil)
	cause := a.Now()
	b.Observe(cause)
	if effect := b.Now(); !cause.Before(effect) {
		t.Errorf("got effect %v, want it after cause %v", effect, cause)
	}
}

func TestLogKeepsLatestEvents(t *testing.T) {
	m := clock.NewManual(1)
	var w bytes.Buffer
	l := NewLog("a", 2, &m.Clock, &w)
	for _, k := range []Kind{Started, Draining, Stopped} {
		if err := l.Add(Event{Kind: k}); err != nil {
			t.Fatal(err)
		}
	}
	kept := l.Events()
	if got, want := kept[0].Kind, Draining; got != want {
		t.Errorf("got oldest %s, want %s", got, want)
	}
	if !kept[0].At.Before(kept[1].At) {
		t.Errorf("got %v not before %v", kept[0].At, kept[1].At)
	}
	if got, want := strings.Count(w.String(), "\n"), 3; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
}
