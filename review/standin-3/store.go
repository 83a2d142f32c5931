package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// historyTime is how long the store keeps a change.
const historyTime = 20 * time.Second

// store is a stand-in for the platform's metadata store. It keeps every change for the history that the settings name, and answers a watch
// with all changes of its kind since the revision asked for.
type store struct {
	history time.Duration
	// answerTime is how long an answer takes.
	answerTime time.Duration
	// down is true while the store refuses all calls.
	down atomic.Bool

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	// dropped is the revision up to which the history is gone.
	dropped uint64
	changed chan struct{}
}

type meta struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	at      time.Time
	Object  object
	Deleted bool
}

func newStore() *store {
	return &store{history: historyTime, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) isDown() bool { return s.down.Load() }

// set writes an object whatever its revision, as the operator and the members do.
func (s *store) set(kind, name string, spec any) {
	time.Sleep(s.answerTime)
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, object{Meta: meta{Name: name, Finalizers: []string{}}, Spec: b}, false)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.put(kind, o, true)
	}
}

// put records a change; the caller holds s.mu.
func (s *store) put(kind string, o object, deleted bool) object {
	now := time.Now()
	s.revision++
	o.Meta.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		s.kinds[kind][o.Meta.Name] = o
	}
	s.events = append(s.events, event{kind: kind, at: now, Object: o, Deleted: deleted})
	s.trim(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// trim drops the changes that are older than the history; the caller holds s.mu.
func (s *store) trim(now time.Time) {
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > s.history {
		s.dropped = s.events[n].Object.Meta.Revision
		n++
	}
	s.events = s.events[n:]
}

// door is one address of the store, for one machine.
type door struct {
	s *store
}

func (d *door) start() *httptest.Server { return httptest.NewServer(d) }

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.s.isDown() {
		d.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("Watch") != "":
		d.watch(w, r, kind)
	case r.Method == http.MethodGet:
		status, v := d.s.read(kind, name, r.URL.Query().Get("after"))
		d.answer(w, status, v)
	default:
		var o object
		if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&o) != nil {
			d.answer(w, http.StatusBadRequest, nil)
			return
		}
		status, v := d.s.write(r.Method, kind, name, o)
		d.answer(w, status, v)
	}
}

func (d *door) answer(w http.ResponseWriter, status int, v any) {
	var b []byte
	if v != nil {
		var err error
		if b, err = json.Marshal(v); err != nil {
			panic(err)
		}
	}
	time.Sleep(d.s.answerTime)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) read(kind, name, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	}
	var names []string
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	const page = 500
	more := len(names) > page
	items := []object{}
	for _, n := range names[:min(len(names), page)] {
		items = append(items, s.kinds[kind][n])
	}
	return http.StatusOK, map[string]any{"items": items, "HasMore": more, "StoreRevision": s.revision}
}

func (s *store) write(method, kind, name string, o object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = o.Meta.Name
	}
	old, exists := s.kinds[kind][name]
	o.Meta.Name = name
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPost:
		return http.StatusOK, s.put(kind, o, false)
	case !exists:
		return http.StatusNotFound, nil
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case string(o.Spec) == string(old.Spec):
		return http.StatusOK, old
	}
	return http.StatusOK, s.put(kind, o, method == http.MethodDelete)
}

func (d *door) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for last := false; ; {
		d.s.mu.Lock()
		d.s.trim(time.Now())
		gone, revision, changed := from < d.s.dropped, d.s.revision, d.s.changed
		events := []map[string]any{}
		for _, e := range d.s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, map[string]any{"Object": e.Object, "Deleted": e.Deleted})
			}
		}
		d.s.mu.Unlock()
		if gone {
			d.answer(w, http.StatusGone, nil)
			return
		}
		if last || len(events) > 0 {
			d.answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-time.After(50 * time.Millisecond):
			if d.s.isDown() {
				d.answer(w, http.StatusServiceUnavailable, nil)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
