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
	// askTimeout bounds one question to one daemon.
	askTimeout = 2 * clock.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 64 << 20
)

// Answer is what one daemon said of itself, or why it said nothing.
type Answer struct {
	Address string
	Status  *entry.Status
	Err     error
}

// Asker asks daemons over HTTP.
type Asker struct {
	http   *http.Client
	scheme string
}

// NewAsker returns an asker that goes to addresses directly, without a proxy of the environment; cfg is nil for cleartext.
func NewAsker(cfg *tls.Config) *Asker {
	a := &Asker{scheme: "http://"}
	if cfg != nil {
		a.scheme = "https://"
	}
	a.http = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, IdleConnTimeout: askTimeout.Duration()}, Timeout: askTimeout.Duration()}
	return a
}

// Statuses asks all addresses at once and returns their answers in the same order.
func (a *Asker) Statuses(ctx context.Context, addresses []string) []Answer {
	return each(addresses, func(address string) Answer {
		s := &entry.Status{}
		err := a.get(ctx, address, "/status", func(r io.Reader) error { return json.NewDecoder(r).Decode(s) })
		if err != nil {
			return Answer{Address: address, Err: err}
		}
		return Answer{Address: address, Status: s}
	})
}

// Fleet asks the daemons at the addresses, and then those that these hold to be live and name an address of.
func (a *Asker) Fleet(ctx context.Context, addresses []string) []Answer {
	answers := a.Statuses(ctx, addresses)
	var further []string
	for _, o := range answers {
		if o.Err != nil {
			continue
		}
		for _, p := range o.Status.Peers {
			known := slices.Contains(addresses, p.AdminAddress) || slices.Contains(further, p.AdminAddress)
			if p.AdminAddress != "" && !known {
				further = append(further, p.AdminAddress)
			}
		}
	}
	return append(answers, a.Statuses(ctx, further)...)
}

// Events are the kept events of one daemon, or why there are none.
type Events struct {
	Address string
	Events  []event.Event
	Err     error
}

// Events asks all addresses at once for the events that they keep.
func (a *Asker) Events(ctx context.Context, addresses []string) []Events {
	return each(addresses, func(address string) Events {
		e := Events{Address: address}
		e.Err = a.get(ctx, address, "/events", func(r io.Reader) error {
			var err error
			e.Events, err = event.Read(r)
			return err
		})
		return e
	})
}

func each[T any](addresses []string, ask func(address string) T) []T {
	out := make([]T, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { out[i] = ask(address) })
	}
	wg.Wait()
	return out
}

func (a *Asker) get(ctx context.Context, address, path string, read func(io.Reader) error) error {
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
	if err := read(io.LimitReader(res.Body, maxAnswer)); err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	return nil
}
