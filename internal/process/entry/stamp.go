package entry

import (
	"net/http"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// stampHeader carries the sender's stamp with each message between daemons.
	stampHeader = "Cactusfork-Stamp"
	// maxAhead bounds how far a peer's clock may pull this daemon's stamps forward.
	maxAhead = 60 * clock.Second
)

// stampTransport sends this daemon's stamp with each call and learns the peer's from the answer.
type stampTransport struct {
	d    *Daemon
	next http.RoundTripper
}

// RoundTrip makes one call.
func (t *stampTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(stampHeader, t.d.p.Events.Now().String())
	w, err := t.next.RoundTrip(r)
	if err == nil {
		t.d.observe(w.Header)
	}
	return w, err
}

// stamped learns the stamp of each message and answers with this daemon's.
func (d *Daemon) stamped(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.observe(r.Header)
		w.Header().Set(stampHeader, d.p.Events.Now().String())
		next.ServeHTTP(w, r)
	})
}

// observe passes over stamps that are missing, damaged or too far ahead.
func (d *Daemon) observe(h http.Header) {
	s, err := event.ParseStamp(h.Get(stampHeader))
	if err != nil || s.Millis > d.p.Clock.Wall()+maxAhead {
		return
	}
	d.p.Events.Observe(s)
}
