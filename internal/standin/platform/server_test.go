package platform

import (
	"context"
	"net/http"
	"strings"
	"testing"

	api "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestVMListLags(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	srv, err := Start(ctx, Config{Clock: &clk.Clock})
	if err != nil {
		t.Fatal(err)
	}
	s := api.Dial(api.Config{URL: srv.URL()}, clock.System())
	srv.SetVMs([]api.VM{{Address: "one"}})
	srv.SetVMLag(100)
	srv.SetVMs([]api.VM{{Address: "two", Leaving: true}})
	for _, tt := range []struct {
		advance clock.Millis
		want    string
	}{{0, "one"}, {99, "one"}, {1, "two"}} {
		clk.Advance(tt.advance)
		vms, err := s.VMs(ctx)
		if err != nil || len(vms) != 1 || vms[0].Address != tt.want {
			t.Errorf("at %d: got %v, %v, want %s", clk.Now(), vms, err, tt.want)
		}
	}
	if got, want := srv.Calls(), (Calls{VMs: 3}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestRejectedRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	srv, err := Start(ctx, Config{})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		method, path, body string
		want               int
	}{
		{http.MethodPut, "/objects/a", "unconditional", http.StatusBadRequest},
		{http.MethodPut, "/objects/a", strings.Repeat("x", api.MaxValueBytes+1), http.StatusRequestEntityTooLarge},
		{http.MethodGet, "/watch?from=x", "", http.StatusBadRequest},
		{http.MethodGet, "/objects/a", "", http.StatusNotFound},
		{http.MethodDelete, "/objects/a", "", http.StatusMethodNotAllowed},
	}
	for _, tt := range tests {
		r, err := http.NewRequestWithContext(ctx, tt.method, srv.URL()+tt.path, strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != tt.want {
			t.Errorf("%s %s: got %d, want %d", tt.method, tt.path, res.StatusCode, tt.want)
		}
	}
}
