package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// countEvery is the time between two Counted events of a request.
const countEvery = 5 * clock.Second

// requestKey names what counts are kept for.
type requestKey struct {
	service service.Name
	request service.RequestName
	kind    service.Kind
}

// meter counts what became of requests.
type meter struct {
	registry metrics.Registry
	report   func(e event.Event)
	mu       sync.Mutex
	counts   map[requestKey]*event.Counts
	terms    map[group.ID]position.Term
}

func newMeter(report func(e event.Event)) *meter {
	return &meter{
		registry: metrics.NewRegistry(),
		report:   report,
		counts:   make(map[requestKey]*event.Counts),
		terms:    make(map[group.ID]position.Term),
	}
}

// take counts the outcome of one request.
func (m *meter) take(o caller.Outcome) {
	m.mark(o)
	m.mu.Lock()
	c := m.of(o)
	c.Asked++
	switch o.Result {
	case caller.Acknowledged:
		c.Served++
		if o.Replica && o.Kind == service.Read {
			c.ReplicaReads++
		}
	case caller.Refused:
		c.Refused++
	case caller.Unknown:
		c.Unknown++
	}
	m.mu.Unlock()
	m.tell(o)
}

func (m *meter) of(o caller.Outcome) *event.Counts {
	key := requestKey{service: o.Service, request: o.Request, kind: o.Kind}
	c := m.counts[key]
	if c == nil {
		c = &event.Counts{Kind: string(o.Kind), Weight: o.Weight}
		m.counts[key] = c
	}
	return c
}

// sent counts one exchange that went to a target.
func (m *meter) sent(o caller.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(o).Sent++
}

func (m *meter) mark(o caller.Outcome) {
	name := fmt.Sprintf("requests.%s.%s.%s", o.Service, o.Request, resultNames[o.Result])
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(1028, 0.015) }
	h := m.registry.GetOrRegister("latency-ms."+string(o.Kind), func() metrics.Histogram { return metrics.NewHistogram(sample()) })
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(int64(o.Finished - o.Arrived))
	}
}

// resultNames name the results as metrics show them.
var resultNames = map[caller.Result]string{
	caller.Acknowledged: "acknowledged",
	caller.Refused:      "refused",
	caller.Unknown:      "unknown",
	caller.Lost:         "lost",
}

// tell puts refusals and unknown outcomes on the time line.
func (m *meter) tell(o caller.Outcome) {
	e := event.Event{Service: string(o.Service), Request: string(o.Request), Target: string(o.Target), Code: o.Code, Session: sessionOf(o)}
	switch o.Result {
	case caller.Refused:
		e.Kind = event.Refused
	case caller.Unknown:
		e.Kind = event.UnknownOutcome
	default:
		return
	}
	m.report(e)
}

// sessionOf names a session by its application, or else by its connection to this daemon.
func sessionOf(o caller.Outcome) string {
	if o.Application != "" {
		return o.Application
	}
	return "connection-" + strconv.FormatUint(uint64(o.Connection), 10)
}

// wrote notes the first write that this daemon saw acknowledged in a term.
func (m *meter) wrote(id group.ID, t group.TargetID, term position.Term) {
	m.mu.Lock()
	first := m.terms[id] < term
	if first {
		m.terms[id] = term
	}
	m.mu.Unlock()
	if first {
		m.report(event.Event{Kind: event.FirstWrite, Group: string(id), Target: string(t), Term: term})
	}
}

// count writes the counts to the time line until ctx ends, and once more then.
func (d *Daemon) count(ctx context.Context) {
	for d.p.Clock.Sleep(ctx, countEvery) == nil {
		d.meter.flush()
	}
	d.meter.flush()
}

func (m *meter) flush() {
	m.mu.Lock()
	all := m.counts
	m.counts = make(map[requestKey]*event.Counts)
	m.mu.Unlock()
	for key, c := range all {
		m.report(event.Event{Kind: event.Counted, Service: string(key.service), Request: string(key.request), Counts: c})
	}
}

// metrics writes the registry as "name value" lines.
func (d *Daemon) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(d.meter.registry, w)
}
