package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Meta struct {
		Name       string
		Revision   uint64
		Finalizers []string `json:",omitempty"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// change is one change of an object.
type change struct {
	kind    string
	Object  object
	Deleted bool
}

// store is a stand-in of the platform's metadata store and of its promotion call. It keeps its whole history.
type store struct {
	address string
	record  *record
	// promote makes a member the primary of its service and returns the status of the response.
	promote func(service, id string) int
	// promoter is called with the holder of each promotion; it may be nil.
	promoter func(holder string)

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// fences holds the highest fencing token of each service.
	fences map[string]uint64
	// holders holds who used the token.
	holders map[string]map[uint64]string
	// sameToken is true once two holders have promoted with one token.
	sameToken bool
}

func newStore(r *record) (*store, error) {
	s := &store{
		record: r, kinds: make(map[string]map[string]object), changed: make(chan struct{}),
		fences: make(map[string]uint64), holders: make(map[string]map[uint64]string), revision: 10,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("POST /promotion", s.promotion)
	go func() { _ = http.Serve(l, mux) }() // it ends with the process
	return s, nil
}

// set writes an object as the operator or a member does, and returns its revision.
func (s *store) set(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, b).Meta.Revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(change{kind: kind, Object: o, Deleted: true})
}

func (s *store) notify(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores an object; s.mu must be held. A spec that changes nothing makes no event.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, ok := s.kinds[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	s.kinds[kind][name] = o
	s.notify(change{kind: kind, Object: o})
	return o
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if from := r.URL.Query().Get("Watch"); from != "" {
		s.watch(w, r, kind, from)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int {
		if a.Meta.Name < b.Meta.Name {
			return -1
		}
		return 1
	})
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, _ := strconv.ParseUint(from, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if !decode(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.kinds[r.PathValue("kind")][o.Meta.Name]; ok {
		answer(w, http.StatusConflict, old)
		return
	}
	answer(w, http.StatusCreated, s.put(r.PathValue("kind"), o.Meta.Name, o.Spec))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if !decode(w, r, &o) {
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{})
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	default:
		answer(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, out)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return false
	}
	return true
}

func (s *store) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	if !decode(w, r, &body) {
		return
	}
	holder := r.Header.Get("X-Cactusfork-Lock-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("X-Cactusfork-Fencing-Token"), 10, 64)
	s.mu.Lock()
	stale := token < s.fences[body.Service]
	if !stale {
		s.fences[body.Service] = token
		if s.holders[body.Service] == nil {
			s.holders[body.Service] = make(map[uint64]string)
		}
		if old := s.holders[body.Service][token]; old != "" && old != holder {
			s.sameToken = true
		}
		s.holders[body.Service][token] = holder
	}
	s.mu.Unlock()
	status := http.StatusConflict
	if !stale {
		if s.promoter != nil {
			s.promoter(holder)
		}
		status = s.promote(body.Service, body.Id)
	}
	s.record.add("promotion of %s by %s, token %d: %d", body.Id, holder, token, status)
	answer(w, status, map[string]any{"status": fmt.Sprint(status)})
}
