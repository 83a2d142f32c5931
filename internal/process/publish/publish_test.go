package publish

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	platformstand "github.com/cactusfork/cactusfork/internal/standin/platform"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func parseService(t *testing.T, weight string) *service.Service {
	t.Helper()
	s, err := service.Parse("s.ini", []byte("[service]\nname = s\ngroup = g\n[request \"r\"]\nkind = read\nweight = "+weight+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func startStore(t *testing.T) (*platformstand.Server, *platform.Store) {
	t.Helper()
	s, err := platformstand.Start(t.Context(), platformstand.Config{})
	if err != nil {
		t.Fatal(err)
	}
	return s, platform.Dial(platform.Config{URL: s.URL()}, clock.System())
}

// prepareAndPublish prepares svc, calls between and then publishes svc.
func prepareAndPublish(ctx context.Context, s *platform.Store, svc *service.Service, between func()) (*Result, error) {
	d, err := Prepare(ctx, s, svc)
	if err != nil {
		return nil, err
	}
	between()
	return d.Publish(ctx, s)
}

// unconditional returns a faulty copy of s whose Put ignores the expected version.
func unconditional(s *platform.Store) *platform.Store {
	broken := *s
	broken.Put = func(ctx context.Context, key platform.Key, value []byte, _ platform.Version) (platform.Version, error) {
		o, err := s.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, err
		}
		return s.Put(ctx, key, value, o.Version)
	}
	return &broken
}

func TestRace(t *testing.T) {
	tests := []struct {
		name   string
		store  func(*platform.Store) *platform.Store
		winner int // the weight that is published in the end
	}{
		{"conditional", func(s *platform.Store) *platform.Store { return s }, 2},
		{"unconditional Put overwrites the other update", unconditional, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := t.Context()
			_, s := startStore(t)
			if _, err := prepareAndPublish(ctx, s, parseService(t, "1"), func() {}); err != nil {
				t.Fatal(err)
			}
			_, err := prepareAndPublish(ctx, tt.store(s), parseService(t, "3"), func() {
				if _, err := prepareAndPublish(ctx, s, parseService(t, "2"), func() {}); err != nil {
					t.Fatal(err)
				}
			})
			o, getErr := s.Get(ctx, KeyOf("s"))
			if getErr != nil {
				t.Fatal(getErr)
			}
			if got := decodeService(o).Requests["r"].Weight; got != tt.winner {
				t.Errorf("got weight %d, want %d", got, tt.winner)
			}
			var c *Conflict
			if isConflict := errors.As(err, &c); isConflict != (tt.winner == 2) {
				t.Fatalf("got %v, want a conflict: %t", err, tt.winner == 2)
			}
			if want := []string{`request "r" weight: 1 -> 2`}; c != nil && !slices.Equal(c.Changes, want) {
				t.Errorf("got %q, want %q", c.Changes, want)
			}
		})
	}
}

func TestLostAnswer(t *testing.T) {
	server, s := startStore(t)
	got, err := prepareAndPublish(t.Context(), s, parseService(t, "1"), func() { server.DropResponses(1) })
	if err != nil || got.Version != 1 {
		t.Fatalf("got %+v, %v, want version 1", got, err)
	}
	if puts := server.Calls().Puts; puts != 1 {
		t.Errorf("got %d updates, want 1", puts)
	}
}

func TestUnchanged(t *testing.T) {
	server, s := startStore(t)
	for _, want := range []bool{false, true} {
		got, err := prepareAndPublish(t.Context(), s, parseService(t, "1"), func() {})
		if err != nil || got.Unchanged != want || got.Version != 1 {
			t.Errorf("got %+v, %v, want unchanged %t at version 1", got, err, want)
		}
	}
	if puts := server.Calls().Puts; puts != 1 {
		t.Errorf("got %d updates, want 1", puts)
	}
}

func TestEditedFrom(t *testing.T) {
	_, s := startStore(t)
	for _, w := range []string{"1", "2"} {
		if _, err := prepareAndPublish(t.Context(), s, parseService(t, w), func() {}); err != nil {
			t.Fatal(err)
		}
	}
	d, err := Prepare(t.Context(), s, parseService(t, "3"))
	if err != nil {
		t.Fatal(err)
	}
	d.EditedFrom(1)
	var c *Conflict
	if _, err := d.Publish(t.Context(), s); !errors.As(err, &c) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if want := []string{`request "r" weight: 3 -> 2`}; c.Against != "your file" || !slices.Equal(c.Changes, want) {
		t.Errorf("got %q against %s, want %q against your file", c.Changes, c.Against, want)
	}
}
