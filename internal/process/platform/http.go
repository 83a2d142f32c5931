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
	// MaxValueBytes is the largest value that the platform takes.
	MaxValueBytes = 1 << 20

	defaultTimeout      = 2 * clock.Second
	defaultWatchTimeout = 60 * clock.Second // longer than a watch waits at the platform
	defaultMaxResponse  = 64 << 20          // bytes

	maxIdle     = 4 // connections
	idleTimeout = 30 * time.Second

	objectsPath = "/objects/"
)

// ErrTooLarge means that a value or an answer is over its limit.
var ErrTooLarge = errors.New("too large")

// Config says where the platform is and how long to wait for it; what is 0 has a default.
type Config struct {
	// URL is the root of the API, without a slash at its end.
	URL string
	// Timeout bounds every call but a watch.
	Timeout clock.Millis
	// WatchTimeout bounds a watch and must be longer than the platform's waiting time.
	WatchTimeout clock.Millis
	// MaxResponse bounds an answer, in bytes.
	MaxResponse int64
	// Calls counts the calls where it is given.
	Calls *Calls
}

type dialled struct {
	cfg  Config
	clk  *clock.Clock
	http *http.Client
}

// Dial returns a store that asks the platform over HTTP; it connects with the first call.
func Dial(cfg Config, clk *clock.Clock) *Store {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = defaultWatchTimeout
	}
	if cfg.MaxResponse == 0 {
		cfg.MaxResponse = defaultMaxResponse
	}
	d := &dialled{
		cfg:  cfg,
		clk:  clk,
		http: &http.Client{Transport: newTransport(), CheckRedirect: noRedirect},
	}
	s := &Store{Get: d.get, Put: d.put, List: d.list, Watch: d.watch, VMs: d.vms}
	if cfg.Calls == nil {
		return s
	}
	return Counted(s, cfg.Calls)
}

// newTransport asks directly, without a proxy of the environment.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (d *dialled) get(ctx context.Context, key Key) (Object, error) {
	var o Object
	if err := d.ask(ctx, d.cfg.Timeout, objectPath(key), nil, &o); err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return o, nil
}

func (d *dialled) put(ctx context.Context, key Key, value []byte, ifVersion Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s: value of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	ctx, cancel := d.bounded(ctx, d.cfg.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, d.cfg.URL+objectPath(key), bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if ifVersion == 0 {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", ETag(ifVersion))
	}
	var c Changed
	if err := d.do(r, &c); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return c.Version, nil
}

func (d *dialled) list(ctx context.Context, prefix Key) ([]Object, Version, error) {
	var l Listing
	q := url.Values{"prefix": {string(prefix)}}
	if err := d.ask(ctx, d.cfg.Timeout, "/objects", q, &l); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	return l.Objects, l.Version, nil
}

func (d *dialled) watch(ctx context.Context, prefix Key, from Version) ([]Object, Version, error) {
	var l Listing
	q := url.Values{"prefix": {string(prefix)}, "from": {strconv.FormatUint(uint64(from), 10)}}
	if err := d.ask(ctx, d.cfg.WatchTimeout, "/watch", q, &l); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return l.Objects, l.Version, nil
}

func (d *dialled) vms(ctx context.Context) ([]VM, error) {
	var l VMList
	if err := d.ask(ctx, d.cfg.Timeout, "/vms", nil, &l); err != nil {
		return nil, fmt.Errorf("list vms: %w", err)
	}
	return l.VMs, nil
}

func objectPath(key Key) string {
	u := url.URL{Path: objectsPath + string(key)}
	return u.EscapedPath()
}

func (d *dialled) ask(ctx context.Context, timeout clock.Millis, path string, q url.Values, out any) error {
	ctx, cancel := d.bounded(ctx, timeout)
	defer cancel()
	target := d.cfg.URL + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	return d.do(r, out)
}

// bounded ends the context once timeout has passed.
func (d *dialled) bounded(ctx context.Context, timeout clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	over := d.clk.After(timeout)
	go func() {
		select {
		case <-over:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// do sends a request and reads its answer into out.
func (d *dialled) do(r *http.Request, out any) error {
	res, err := d.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, d.cfg.MaxResponse+1))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnavailable, err)
	}
	if err := errorOf(res.StatusCode); err != nil {
		return err
	}
	if int64(len(body)) > d.cfg.MaxResponse {
		return fmt.Errorf("%w: answer: %w", ErrUnavailable, ErrTooLarge)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
	}
	return nil
}

func errorOf(status int) error {
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
		return fmt.Errorf("refused with status %d", status)
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, status)
}
