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

// response is what a handler returns to its client. A zero etag sends no ETag header.
type response struct {
	status int
	etag   api.Version
	body   any
}

type errorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, text string) response {
	return response{status: status, body: errorBody{Error: text}}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath+"{key...}", s.handle(func(c *Calls) *uint64 { return &c.Gets }, s.get))
	mux.HandleFunc("PUT "+objectsPath+"{key...}", s.handle(func(c *Calls) *uint64 { return &c.Puts }, s.put))
	mux.HandleFunc("GET /objects", s.handle(func(c *Calls) *uint64 { return &c.Lists }, s.list))
	mux.HandleFunc("GET /watch", s.handle(func(c *Calls) *uint64 { return &c.Watches }, s.watch))
	mux.HandleFunc("GET /vms", s.handle(func(c *Calls) *uint64 { return &c.VMs }, s.listVMs))
	return mux
}

// handle returns a handler that counts a call, applies the injected faults to it and writes its response.
func (s *Server) handle(counter func(*Calls) *uint64, call func(r *http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter(&s.calls)++
		responseDelay := s.responseDelay
		s.mu.Unlock()
		if responseDelay > 0 && s.clk.Sleep(r.Context(), responseDelay) != nil {
			closeConnection()
		}
		if s.isDown() {
			closeConnection()
		}
		res := call(r)
		if s.isDown() {
			closeConnection()
		}
		writeResponse(w, res)
	}
}

// closeConnection closes the connection without a response.
func closeConnection() { panic(http.ErrAbortHandler) }

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func writeResponse(w http.ResponseWriter, res response) {
	w.Header().Set("Content-Type", "application/json")
	if res.etag > 0 {
		w.Header().Set("ETag", api.ETag(res.etag))
	}
	w.WriteHeader(res.status)
	_ = json.NewEncoder(w).Encode(res.body)
}

func (s *Server) get(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[api.Key(r.PathValue("key"))]
	if !ok {
		return errorResponse(http.StatusNotFound, "no such object")
	}
	return response{status: http.StatusOK, etag: o.Version, body: o}
}

func (s *Server) put(r *http.Request) response {
	value, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, api.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errorResponse(http.StatusRequestEntityTooLarge, "value is over 1 MB")
	case err != nil:
		return errorResponse(http.StatusBadRequest, "incomplete value")
	}
	want, err := condition(r.Header)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := api.Key(r.PathValue("key"))
	if s.down {
		closeConnection()
	}
	if s.objects[key].Version != want {
		return errorResponse(http.StatusPreconditionFailed, "object has changed")
	}
	s.version++
	o := api.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = o
	s.wakeWatches()
	if s.responsesToDrop > 0 {
		s.responsesToDrop--
		closeConnection()
	}
	return response{status: http.StatusOK, etag: o.Version, body: api.PutResponse{Version: o.Version}}
}

// condition returns the version on which an update is conditional; 0 means that the object must not exist.
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

func (s *Server) list(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedSince(r.URL.Query().Get("prefix"), 0)
}

// changedSince returns the objects under prefix that changed after version from; the caller holds s.mu.
func (s *Server) changedSince(prefix string, from api.Version) response {
	listing := api.ListResponse{Objects: []api.Object{}, Version: s.version}
	for key, o := range s.objects {
		if strings.HasPrefix(string(key), prefix) && o.Version > from {
			listing.Objects = append(listing.Objects, o)
		}
	}
	slices.SortFunc(listing.Objects, func(a, b api.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return response{status: http.StatusOK, body: listing}
}

func (s *Server) watch(r *http.Request) response {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "from is no version")
	}
	return s.awaitChange(r.Context(), q.Get("prefix"), api.Version(from))
}

// awaitChange waits until an object under prefix changes after version from, the watch expires or the server goes down.
func (s *Server) awaitChange(ctx context.Context, prefix string, from api.Version) response {
	expired := s.clk.After(s.watchWait)
	for {
		s.mu.Lock()
		res, changed, down := s.changedSince(prefix, from), s.changed, s.down
		s.mu.Unlock()
		listing, _ := res.body.(api.ListResponse)
		if down || len(listing.Objects) > 0 {
			return res
		}
		select {
		case <-changed:
		case <-expired:
			return res
		case <-ctx.Done():
			closeConnection()
		}
	}
}

func (s *Server) listVMs(*http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return response{status: http.StatusOK, body: api.VMsResponse{VMs: s.vms.at(s.clk.Now())}}
}
