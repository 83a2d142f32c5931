package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store: objects by kind and name, conditional writes, lists and watches.
type store struct {
	l   net.Listener
	srv *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
}

type meta struct {
	Name       string
	Revision   uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind    string
	Object  object
	Deleted bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{l: l, revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.replace)
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.l.Addr().String() }

// set writes an object whatever its revision, as the operator and the members do.
func (s *store) set(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, body)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.record(kind, o, true)
}

func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	old, ok := s.kinds[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old // a write that changes nothing does not raise the revision
	}
	o := s.record(kind, object{Meta: meta{Name: name, Finalizers: []string{}}, Spec: spec}, false)
	s.kinds[kind][name] = o
	return o
}

func (s *store) record(kind string, o object, deleted bool) object {
	s.revision++
	o.Meta.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Watch") != "" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, after := r.PathValue("kind"), r.URL.Query().Get("after")
	items := []object{}
	for _, n := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if n > after {
			items = append(items, s.kinds[kind][n])
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == r.PathValue("kind") && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.kinds[r.PathValue("kind")][o.Meta.Name]; ok {
		answer(w, http.StatusConflict, old)
		return
	}
	answer(w, http.StatusOK, s.put(r.PathValue("kind"), o.Meta.Name, o.Spec))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Meta.Revision != 0 && old.Meta.Revision != o.Meta.Revision:
		answer(w, http.StatusConflict, old)
	default:
		answer(w, http.StatusOK, s.put(r.PathValue("kind"), r.PathValue("name"), o.Spec))
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}

// duty is the promotion call of the platform. It checks fences and makes the named member lead after promoteMs.
type duty struct {
	l      net.Listener
	record *record
	svc    *service

	mu     sync.Mutex
	fences map[string]uint64
}

func newDuty(svc *service, rec *record) (*duty, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &duty{l: l, svc: svc, record: rec, fences: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", d.promotion)
	go func() { _ = http.Serve(l, mux) }()
	return d, nil
}

func (d *duty) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	fence, err := strconv.ParseUint(r.Header.Get("X-Cactusfork-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Cactusfork-Lock-Holder")
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	status := http.StatusOK
	if fence < d.fences[body.Service] {
		status = http.StatusConflict
	} else {
		d.fences[body.Service] = fence
		status = d.svc.promote(body.Id)
	}
	d.mu.Unlock()
	d.record.add("platform", fmt.Sprintf("promotion of %s by %s under fence %d: %d", body.Id, holder, fence, status))
	w.WriteHeader(status)
}
