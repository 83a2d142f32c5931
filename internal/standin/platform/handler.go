package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	api "github.com/cactusfork/cactusfork/internal/process/platform"
)

const objectsPath = "/objects/"

type answer struct {
	status int
	etag   api.Version
	body   any
}

type refusal struct {
	Error string `json:"error"`
}

func refuse(status int, text string) answer {
	return answer{status: status, body: refusal{Error: text}}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath+"{key...}", s.counted(func(c *Calls) *uint64 { return &c.Gets }, s.get))
	mux.HandleFunc("PUT "+objectsPath+"{key...}", s.counted(func(c *Calls) *uint64 { return &c.Puts }, s.put))
	mux.HandleFunc("GET /objects", s.counted(func(c *Calls) *uint64 { return &c.Lists }, s.list))
	mux.HandleFunc("GET /watch", s.counted(func(c *Calls) *uint64 { return &c.Watches }, s.watch))
	mux.HandleFunc("GET /vms", s.counted(func(c *Calls) *uint64 { return &c.VMs }, s.listVMs))
	return mux
}

// counted counts a call, applies the faults to it and writes its answer.
func (s *Server) counted(kind func(*Calls) *uint64, call func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*kind(&s.calls)++
		slow := s.slow
		s.mu.Unlock()
		if slow > 0 && s.clk.Sleep(r.Context(), slow) != nil {
			hangUp()
		}
		if s.isDown() {
			hangUp()
		}
		a := call(r)
		if s.isDown() {
			hangUp()
		}
		write(w, a)
	}
}

// hangUp ends the connection without an answer.
func hangUp() { panic(http.ErrAbortHandler) }

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func write(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	if a.etag > 0 {
		w.Header().Set("ETag", api.ETag(a.etag))
	}
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}

func (s *Server) get(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[api.Key(r.PathValue("key"))]
	if !ok {
		return refuse(http.StatusNotFound, "no such object")
	}
	return answer{status: http.StatusOK, etag: o.Version, body: o}
}

func (s *Server) put(r *http.Request) answer {
	value, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, api.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "value is over 1 MB")
	case err != nil:
		return refuse(http.StatusBadRequest, "incomplete value")
	}
	want, err := condition(r.Header)
	if err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := api.Key(r.PathValue("key"))
	if s.down {
		hangUp()
	}
	if s.objects[key].Version != want {
		return refuse(http.StatusPreconditionFailed, "object has changed")
	}
	s.version++
	o := api.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = o
	s.wake()
	if s.losing > 0 {
		s.losing--
		hangUp()
	}
	return answer{status: http.StatusOK, etag: o.Version, body: api.Changed{Version: o.Version}}
}

// condition reads the version that an update depends on; 0 is that there is no object.
func condition(h http.Header) (api.Version, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	v, err := api.ParseETag(h.Get("If-Match"))
	if err != nil {
		return 0, errors.New("an update needs If-Match or If-None-Match")
	}
	return v, nil
}

func (s *Server) list(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(r.URL.Query().Get("prefix"), 0)
}

// since returns the objects under prefix that changed after from; the caller holds mu.
func (s *Server) since(prefix string, from api.Version) answer {
	found := api.Listing{Objects: []api.Object{}, Version: s.version}
	for key, o := range s.objects {
		if strings.HasPrefix(string(key), prefix) && o.Version > from {
			found.Objects = append(found.Objects, o)
		}
	}
	slices.SortFunc(found.Objects, func(a, b api.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return answer{status: http.StatusOK, body: found}
}

func (s *Server) watch(r *http.Request) answer {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "from is no version")
	}
	return s.await(r.Context(), q.Get("prefix"), api.Version(from))
}

// await waits for a change under prefix, for as long as a watch may.
func (s *Server) await(ctx context.Context, prefix string, from api.Version) answer {
	over := s.clk.After(s.waiting)
	for {
		s.mu.Lock()
		a, changed, down := s.since(prefix, from), s.changed, s.down
		s.mu.Unlock()
		listing, _ := a.body.(api.Listing)
		if down || len(listing.Objects) > 0 {
			return a
		}
		select {
		case <-changed:
		case <-over:
			return a
		case <-ctx.Done():
			hangUp()
		}
	}
}

func (s *Server) listVMs(*http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer{status: http.StatusOK, body: api.VMList{VMs: s.vms.at(s.clk.Now())}}
}
