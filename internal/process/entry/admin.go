package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// readHeaderTimeout is the longest time that the headers of an HTTP request may take to arrive.
const readHeaderTimeout = 5 * time.Second

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.mesh.Handler())
	return d.withStamp(mux)
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", d.health)
	mux.HandleFunc("GET /status", d.status)
	mux.HandleFunc("GET /events", d.events)
	mux.HandleFunc("GET /metrics", d.metrics)
	return mux
}

// health tells the load balancer whether the daemon takes new callers.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "draining or starting", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Daemon) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) }

func (d *Daemon) events(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for _, e := range d.deps.Events.Events() {
		if enc.Encode(e) != nil {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (d *Daemon) serveHTTP(ctx context.Context, l net.Listener, h http.Handler, tlsCfg tlsConfig) {
	l, s := d.limitHTTP(l, h, tlsCfg)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var err error
	if tlsCfg != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.deps.Log.Error("HTTP server stopped with an error", zap.Error(err))
	}
}
