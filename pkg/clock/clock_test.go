package clock

import (
	"context"
	"errors"
	"testing"
)

func TestManualFiresDueTimers(t *testing.T) {
	m := NewManual(10)
	early, late := m.After(5), m.After(50)
	m.Advance(5)
	select {
	case <-early:
	default:
		t.Error("got early timer pending, want fired")
	}
	select {
	case <-late:
		t.Error("got late timer fired, want pending")
	default:
	}
	if got, want := m.Now(), Millis(15); got != want {
		t.Errorf("got now %d, want %d", got, want)
	}
}

func TestSleepEndsWithContext(t *testing.T) {
	m := NewManual(0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, want := m.Sleep(ctx, 10), context.Canceled; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
