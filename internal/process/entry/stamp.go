package entry

import (
	"net/http"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// stampHeader is the HTTP header that carries the sender's stamp in each message between daemons.
	stampHeader = "Cactusfork-Stamp"
	// maxStampAhead is the longest time by which a peer's stamp may be ahead of the local clock. Stamps further ahead are ignored, so
	// that a peer with a wrong clock cannot move this daemon's stamps forward.
	maxStampAhead = 60 * clock.Second
)

// stampTransport sends this daemon's stamp with each call and observes the stamp of the peer in the response.
type stampTransport struct {
	d    *Daemon
	next http.RoundTripper
}

// RoundTrip sends one request with a stamp.
func (t *stampTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(stampHeader, t.d.deps.Events.Now().String())
	w, err := t.next.RoundTrip(r)
	if err == nil {
		t.d.observeStamp(w.Header)
	}
	return w, err
}

// withStamp returns a handler that observes the stamp of each request and adds this daemon's stamp to the response.
func (d *Daemon) withStamp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.observeStamp(r.Header)
		w.Header().Set(stampHeader, d.deps.Events.Now().String())
		next.ServeHTTP(w, r)
	})
}

// observeStamp advances this daemon's stamps past the one in h. It ignores a stamp that is missing, malformed or too far ahead.
func (d *Daemon) observeStamp(h http.Header) {
	s, err := event.ParseStamp(h.Get(stampHeader))
	if err != nil || s.Millis > d.deps.Clock.Wall()+maxStampAhead {
		return
	}
	d.deps.Events.Observe(s)
}
