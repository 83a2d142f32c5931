package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// requestTimeout is the timeout of one request to one daemon.
	requestTimeout = 2 * clock.Second
	// maxResponseBytes is the size limit of a response, in bytes; the rest of a longer one is not read.
	maxResponseBytes = 64 << 20
)

// Response is the status of one daemon, or the error of the request.
type Response struct {
	Address string
	Status  *entry.Status
	Err     error
}

// AdminClient sends requests to the admin addresses of daemons over HTTP.
type AdminClient struct {
	http   *http.Client
	scheme string
}

// NewAdminClient returns a client that uses TLS with cfg, or cleartext if cfg is nil. It ignores HTTP proxies set in the environment.
func NewAdminClient(cfg *tls.Config) *AdminClient {
	a := &AdminClient{scheme: "http://"}
	if cfg != nil {
		a.scheme = "https://"
	}
	a.http = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, IdleConnTimeout: requestTimeout.Duration()}, Timeout: requestTimeout.Duration()}
	return a
}

// Statuses requests the status from all addresses concurrently and returns the responses in the order of addresses.
func (a *AdminClient) Statuses(ctx context.Context, addresses []string) []Response {
	return requestAll(addresses, func(address string) Response {
		s := &entry.Status{}
		err := a.get(ctx, address, "/status", func(r io.Reader) error { return json.NewDecoder(r).Decode(s) })
		if err != nil {
			return Response{Address: address, Err: err}
		}
		return Response{Address: address, Status: s}
	})
}

// Fleet requests the status from the daemons at addresses, and then from the peers that these daemons list with an admin address.
func (a *AdminClient) Fleet(ctx context.Context, addresses []string) []Response {
	responses := a.Statuses(ctx, addresses)
	var more []string
	for _, r := range responses {
		if r.Err != nil {
			continue
		}
		for _, p := range r.Status.Peers {
			known := slices.Contains(addresses, p.AdminAddress) || slices.Contains(more, p.AdminAddress)
			if p.AdminAddress != "" && !known {
				more = append(more, p.AdminAddress)
			}
		}
	}
	return append(responses, a.Statuses(ctx, more)...)
}

// Events holds the events that one daemon keeps, or the error of the request.
type Events struct {
	Address string
	Events  []event.Event
	Err     error
}

// Events requests the kept events from all addresses concurrently. The results are in the order of addresses.
func (a *AdminClient) Events(ctx context.Context, addresses []string) []Events {
	return requestAll(addresses, func(address string) Events {
		e := Events{Address: address}
		e.Err = a.get(ctx, address, "/events", func(r io.Reader) error {
			var err error
			e.Events, err = event.Read(r)
			return err
		})
		return e
	})
}

// requestAll calls request for all addresses concurrently and returns the results in the order of addresses.
func requestAll[T any](addresses []string, request func(address string) T) []T {
	out := make([]T, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { out[i] = request(address) })
	}
	wg.Wait()
	return out
}

// get requests path from address and passes the body of the response to read.
func (a *AdminClient) get(ctx context.Context, address, path string, read func(io.Reader) error) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, a.scheme+address+path, http.NoBody)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	res, err := a.http.Do(r)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: status %d", address, res.StatusCode)
	}
	if err := read(io.LimitReader(res.Body, maxResponseBytes)); err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	return nil
}
