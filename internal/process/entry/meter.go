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

// countInterval is the time between two Counted events of the same kind of request.
const countInterval = 5 * clock.Second

// requestKey identifies the requests that are counted together.
type requestKey struct {
	service service.Name
	request service.RequestName
	kind    service.Kind
}

// meter counts requests by outcome, for the metrics and for the time line.
type meter struct {
	registry metrics.Registry
	report   func(e event.Event)
	mu       sync.Mutex
	counts   map[requestKey]*event.Counts
	// terms holds the latest term of each group in which a write was acknowledged.
	terms map[group.ID]position.Term
}

func newMeter(report func(e event.Event)) *meter {
	return &meter{
		registry: metrics.NewRegistry(),
		report:   report,
		counts:   make(map[requestKey]*event.Counts),
		terms:    make(map[group.ID]position.Term),
	}
}

// recordOutcome counts the outcome of one request. It reports a refusal or an unknown outcome to the time line.
func (m *meter) recordOutcome(o caller.Outcome) {
	m.updateMetrics(o)
	m.mu.Lock()
	c := m.countsOf(o)
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
	m.reportFailure(o)
}

// countsOf returns the counts that o belongs to. The caller holds mu.
func (m *meter) countsOf(o caller.Outcome) *event.Counts {
	key := requestKey{service: o.Service, request: o.Request, kind: o.Kind}
	c := m.counts[key]
	if c == nil {
		c = &event.Counts{Kind: string(o.Kind), Weight: o.Weight}
		m.counts[key] = c
	}
	return c
}

// recordSent counts one request that was sent to a target; a retried request counts again.
func (m *meter) recordSent(o caller.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countsOf(o).Sent++
}

// updateMetrics updates the metrics for one outcome.
func (m *meter) updateMetrics(o caller.Outcome) {
	name := fmt.Sprintf("requests.%s.%s.%s", o.Service, o.Request, resultNames[o.Result])
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(1028, 0.015) }
	h := m.registry.GetOrRegister("latency-ms."+string(o.Kind), func() metrics.Histogram { return metrics.NewHistogram(sample()) })
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(int64(o.Finished - o.Arrived))
	}
}

// resultNames holds the last part of the metric name of each result.
var resultNames = map[caller.Result]string{
	caller.Acknowledged: "acknowledged",
	caller.Refused:      "refused",
	caller.Unknown:      "unknown",
	caller.Disconnected: "lost",
}

// reportFailure writes refusals and unknown outcomes to the time line.
func (m *meter) reportFailure(o caller.Outcome) {
	e := event.Event{Service: string(o.Service), Request: string(o.Request), Target: string(o.Target), Code: o.Code, Session: sessionName(o)}
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

// sessionName returns the application name of the session, or the number of its connection to this daemon if it has none.
func sessionName(o caller.Outcome) string {
	if o.Application != "" {
		return o.Application
	}
	return "connection-" + strconv.FormatUint(uint64(o.Connection), 10)
}

// recordWrite records an acknowledged write and reports the first one of each term that this daemon sees.
func (m *meter) recordWrite(id group.ID, t group.TargetID, term position.Term) {
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

// flushCounts writes the counts to the time line at intervals until ctx ends, and once more at the end.
func (d *Daemon) flushCounts(ctx context.Context) {
	for d.deps.Clock.Sleep(ctx, countInterval) == nil {
		d.meter.flush()
	}
	d.meter.flush()
}

// flush writes the counts collected since the last flush to the time line and resets them.
func (m *meter) flush() {
	m.mu.Lock()
	all := m.counts
	m.counts = make(map[requestKey]*event.Counts)
	m.mu.Unlock()
	for key, c := range all {
		m.report(event.Event{Kind: event.Counted, Service: string(key.service), Request: string(key.request), Counts: c})
	}
}

// metrics writes the metrics of the daemon as text.
func (d *Daemon) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(d.meter.registry, w)
}
