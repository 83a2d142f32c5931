package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	standin "github.com/cactusfork/cactusfork/internal/standin/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const testKey platform.Key = "groups/precios db-1"

func setUp(t *testing.T, cfg standin.Config) (context.Context, *standin.Server, *platform.Store) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	srv, err := standin.Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return ctx, srv, platform.Dial(platform.Config{URL: srv.URL()}, clock.System())
}

func TestConditionalUpdates(t *testing.T) {
	ctx, _, s := setUp(t, standin.Config{})
	first, err := s.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name      string
		ifVersion platform.Version
		want      error
	}{
		{"exists already", 0, platform.ErrConflict},
		{"current version", first, nil},
		{"old version", first, platform.ErrConflict},
		{"future version", first + 9, platform.ErrConflict},
	}
	for _, tt := range tests {
		if _, err := s.Put(ctx, testKey, []byte("two"), tt.ifVersion); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
	got, err := s.Get(ctx, testKey)
	want := platform.Object{Key: testKey, Version: first + 1, Value: []byte("two")}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if _, err := s.Get(ctx, "absent"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v, want %v", err, platform.ErrNotFound)
	}
	if _, err := s.Put(ctx, "absent", nil, 1); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("got %v, want %v", err, platform.ErrConflict)
	}
}

func TestSizeLimits(t *testing.T) {
	ctx, srv, s := setUp(t, standin.Config{})
	largest := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes)
	if _, err := s.Put(ctx, "largest", largest, 0); err != nil {
		t.Errorf("got %v, want no error for the largest value", err)
	}
	if _, err := s.Put(ctx, "larger", append(largest, 'x'), 0); !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, platform.ErrTooLarge)
	}
	limited := platform.Dial(platform.Config{URL: srv.URL(), MaxResponse: 1000}, clock.System())
	if _, err := limited.Get(ctx, "largest"); !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, platform.ErrTooLarge)
	}
}

func TestListAndWatch(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, srv, s := setUp(t, standin.Config{Clock: &clk.Clock, WatchWait: 50})
	for _, k := range []platform.Key{"a/1", "a/2", "b/1"} {
		if _, err := s.Put(ctx, k, []byte("v"), 0); err != nil {
			t.Fatal(err)
		}
	}
	objects, from, err := s.List(ctx, "a/")
	if err != nil || len(objects) != 2 || from != 3 {
		t.Fatalf("got %v at %d, %v, want 2 objects at 3", objects, from, err)
	}
	type watchResult struct {
		objects []platform.Object
		version platform.Version
		err     error
	}
	results := make(chan watchResult, 1)
	watch := func() {
		before := srv.Calls().Watches
		go func() {
			o, v, err := s.Watch(ctx, "a/", from)
			results <- watchResult{o, v, err}
		}()
		for srv.Calls().Watches == before && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	watch()
	if _, err := s.Put(ctx, "b/1", []byte("w"), 3); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("w"), 1); err != nil {
		t.Fatal(err)
	}
	got := <-results
	want := []platform.Object{{Key: "a/1", Version: 5, Value: []byte("w")}}
	if got.err != nil || got.version != 5 || !reflect.DeepEqual(got.objects, want) {
		t.Errorf("got %+v, want %+v at 5", got, want)
	}
	from = got.version
	watch()
	got, blocked := watchResult{}, true
	for blocked {
		clk.Advance(50)
		select {
		case got = <-results:
			blocked = false
		default:
		}
	}
	if got.err != nil || got.version != 5 || len(got.objects) != 0 {
		t.Errorf("got %+v, want nothing at 5", got)
	}
}

func TestUnavailable(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*standin.Server)
	}{
		{"down", func(s *standin.Server) { s.SetDown(true) }},
		{"slow", func(s *standin.Server) { s.SetDelay(clock.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stopped := clock.NewManual(0)
			ctx, srv, defaultStore := setUp(t, standin.Config{Clock: &stopped.Clock})
			s := platform.Dial(platform.Config{URL: srv.URL(), Timeout: 20, WatchTimeout: 20}, clock.System())
			tt.fault(srv)
			_, getErr := s.Get(ctx, testKey)
			_, putErr := s.Put(ctx, testKey, []byte("v"), 0)
			_, _, listErr := s.List(ctx, "")
			_, _, watchErr := s.Watch(ctx, "", 0)
			_, vmsErr := s.VMs(ctx)
			for i, err := range []error{getErr, putErr, listErr, watchErr, vmsErr} {
				if !errors.Is(err, platform.ErrUnavailable) {
					t.Errorf("call %d: got %v, want %v", i, err, platform.ErrUnavailable)
				}
			}
			srv.SetDown(false)
			srv.SetDelay(0)
			if _, err := defaultStore.Get(ctx, testKey); !errors.Is(err, platform.ErrNotFound) {
				t.Errorf("got %v, want no effect of the failed update", err)
			}
		})
	}
}

func TestDownEndsBlockedWatch(t *testing.T) {
	ctx, srv, s := setUp(t, standin.Config{})
	done := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(ctx, "", 0)
		done <- err
	}()
	for srv.Calls().Watches == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	srv.SetDown(true)
	if err := <-done; !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v, want %v", err, platform.ErrUnavailable)
	}
}

func TestPutWithReadBack(t *testing.T) {
	tests := []struct {
		name          string
		lostResponses int
		before        string // value written by another client before
		want          error
		wantPuts      uint64
	}{
		{"response received", 0, "", nil, 1},
		{"response lost", 1, "", nil, 1},
		{"conflict", 0, "other", platform.ErrConflict, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, srv, s := setUp(t, standin.Config{})
			if tt.before != "" {
				if _, err := s.Put(ctx, testKey, []byte(tt.before), 0); err != nil {
					t.Fatal(err)
				}
			}
			var calls platform.Calls
			srv.DropResponses(tt.lostResponses)
			v, err := platform.PutWithReadBack(ctx, platform.CountCalls(s, &calls), testKey, []byte("v"), 0)
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if got := calls.Puts.Load(); got != tt.wantPuts {
				t.Errorf("got %d updates, want %d", got, tt.wantPuts)
			}
			if o, _ := s.Get(ctx, testKey); err == nil && o.Version != v {
				t.Errorf("got version %d, want %d", v, o.Version)
			}
		})
	}
}

// TestPutWithReadBackRaces fails an update with ErrUnavailable and runs a concurrent change before the object is read back.
func TestPutWithReadBackRaces(t *testing.T) {
	const ownValue, otherValue = "mine", "other"
	tests := []struct {
		name       string
		concurrent func(ctx context.Context, s *platform.Store)
		want       error
		wantValue  string
	}{
		{"never arrived", func(context.Context, *platform.Store) {}, nil, ownValue},
		{"arrived late", func(ctx context.Context, s *platform.Store) { s.Put(ctx, testKey, []byte(ownValue), 0) }, nil, ownValue},
		{"another client was first", func(ctx context.Context, s *platform.Store) { s.Put(ctx, testKey, []byte(otherValue), 0) }, platform.ErrConflict, otherValue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, _, s := setUp(t, standin.Config{})
			flaky, first := *s, true
			flaky.Put = func(ctx context.Context, k platform.Key, v []byte, ifVersion platform.Version) (platform.Version, error) {
				if !first {
					return s.Put(ctx, k, v, ifVersion)
				}
				first = false
				tt.concurrent(ctx, s)
				return 0, platform.ErrUnavailable
			}
			if _, err := platform.PutWithReadBack(ctx, &flaky, testKey, []byte(ownValue), 0); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if o, _ := s.Get(ctx, testKey); string(o.Value) != tt.wantValue {
				t.Errorf("got %q, want %q", o.Value, tt.wantValue)
			}
		})
	}
}

func TestPutWithReadBackOutcomeUnknown(t *testing.T) {
	ctx, srv, s := setUp(t, standin.Config{})
	srv.SetDown(true)
	_, err := platform.PutWithReadBack(ctx, s, testKey, []byte("v"), 0)
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v, want %v", err, platform.ErrUnavailable)
	}
}

func TestInvalidResponses(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		body        string
		unavailable bool
	}{
		{"invalid JSON", http.StatusOK, "{", true},
		{"server error", http.StatusBadGateway, "", true},
		{"redirect", http.StatusFound, "", false},
		{"client error", http.StatusBadRequest, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				w.Write([]byte(tt.body))
			}))
			defer srv.Close()
			s := platform.Dial(platform.Config{URL: srv.URL}, clock.System())
			_, err := s.Put(t.Context(), testKey, nil, 0)
			if got := errors.Is(err, platform.ErrUnavailable); err == nil || got != tt.unavailable {
				t.Errorf("got %v, want ErrUnavailable %v", err, tt.unavailable)
			}
		})
	}
}
