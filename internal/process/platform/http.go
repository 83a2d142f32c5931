package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// MaxValueBytes is the largest value that the platform accepts, in bytes.
	MaxValueBytes = 1 << 20

	defaultTimeout          = 2 * clock.Second
	defaultWatchTimeout     = 60 * clock.Second // longer than the platform holds a watch
	defaultMaxResponseBytes = 64 << 20

	maxIdleConnsPerHost = 4
	idleConnTimeout     = 30 * time.Second

	objectsPath = "/objects/"
)

// ErrTooLarge means that a value or a response exceeds its size limit.
var ErrTooLarge = errors.New("too large")

// Config holds the address of the platform and the limits of calls to it. A limit of 0 means its default.
type Config struct {
	// URL is the root of the API, without a trailing slash.
	URL string
	// Timeout bounds every call but a watch, by default 2 s.
	Timeout clock.Millis
	// WatchTimeout bounds a watch, by default 60 s. It must be longer than the platform holds a watch.
	WatchTimeout clock.Millis
	// MaxResponse bounds the body of a response, in bytes, by default 64 MB.
	MaxResponse int64
	// Calls, if not nil, counts the calls.
	Calls *Calls
}

// httpStore calls the platform over HTTP.
type httpStore struct {
	cfg    Config
	clk    *clock.Clock
	client *http.Client
}

// Dial returns a store that calls the platform over HTTP. It connects on the first call.
func Dial(cfg Config, clk *clock.Clock) *Store {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = defaultWatchTimeout
	}
	if cfg.MaxResponse == 0 {
		cfg.MaxResponse = defaultMaxResponseBytes
	}
	h := &httpStore{
		cfg:    cfg,
		clk:    clk,
		client: &http.Client{Transport: newTransport(), CheckRedirect: noRedirect},
	}
	s := &Store{Get: h.get, Put: h.put, List: h.list, Watch: h.watch, VMs: h.vms}
	if cfg.Calls == nil {
		return s
	}
	return CountCalls(s, cfg.Calls)
}

// newTransport returns a transport that ignores the proxy settings of the environment.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (h *httpStore) get(ctx context.Context, key Key) (Object, error) {
	var o Object
	if err := h.getJSON(ctx, h.cfg.Timeout, objectPath(key), nil, &o); err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return o, nil
}

func (h *httpStore) put(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s: value of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	ctx, cancel := h.withTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, h.cfg.URL+objectPath(key), bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", ETag(ifVersion))
	}
	var response PutResponse
	if err := h.do(req, &response); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return response.Version, nil
}

func (h *httpStore) list(ctx context.Context, prefix Key) ([]Object, Version, error) {
	var response ListResponse
	q := url.Values{"prefix": {string(prefix)}}
	if err := h.getJSON(ctx, h.cfg.Timeout, "/objects", q, &response); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	return response.Objects, response.Version, nil
}

func (h *httpStore) watch(ctx context.Context, prefix Key, from Version) ([]Object, Version, error) {
	var response ListResponse
	q := url.Values{"prefix": {string(prefix)}, "from": {strconv.FormatUint(uint64(from), 10)}}
	if err := h.getJSON(ctx, h.cfg.WatchTimeout, "/watch", q, &response); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return response.Objects, response.Version, nil
}

func (h *httpStore) vms(ctx context.Context) ([]VM, error) {
	var response VMsResponse
	if err := h.getJSON(ctx, h.cfg.Timeout, "/vms", nil, &response); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return response.VMs, nil
}

func objectPath(key Key) string {
	u := url.URL{Path: objectsPath + string(key)}
	return u.EscapedPath()
}

func (h *httpStore) getJSON(ctx context.Context, timeout clock.Millis, path string, q url.Values, out any) error {
	ctx, cancel := h.withTimeout(ctx, timeout)
	defer cancel()
	address := h.cfg.URL + path
	if len(q) > 0 {
		address += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	return h.do(req, out)
}

// withTimeout returns a context that ends once timeout has passed on h.clk.
func (h *httpStore) withTimeout(ctx context.Context, timeout clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expired := h.clk.After(timeout)
	go func() {
		select {
		case <-expired:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// do sends a request and decodes the JSON body of the response into out.
func (h *httpStore) do(req *http.Request, out any) error {
	res, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, h.cfg.MaxResponse+1))
	if err != nil {
		return fmt.Errorf("%w: read response: %w", ErrUnavailable, err)
	}
	if err := statusError(res.StatusCode); err != nil {
		return err
	}
	if int64(len(body)) > h.cfg.MaxResponse {
		return fmt.Errorf("%w: response: %w", ErrUnavailable, ErrTooLarge)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
	}
	return nil
}

// statusError returns the error for the HTTP status of a response, or nil for success.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	if status < http.StatusInternalServerError {
		return fmt.Errorf("platform rejected the request with status %d", status)
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, status)
}
