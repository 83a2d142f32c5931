package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1/peerv1connect"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// maxMessage is the largest message taken from or sent to a peer, in bytes.
	maxMessage = 2 << 20
	// maxObjects is the size of the objects in one answer, in bytes; a single larger one is sent alone.
	maxObjects = 1 << 20
	// maxParts is the number of answers that one fetch of objects may take.
	maxParts = 64
	// maxFetchFrom is the number of peers tried for a fetch of objects.
	maxFetchFrom = 3
	// maxFarewells is the number of peers told of a graceful stop.
	maxFarewells = 8
	// maxIdle is the number of connections kept open to peers.
	maxIdle = 128
	// idleTimeout closes a connection that no call has used for so long.
	idleTimeout = 90 * clock.Second
)

// caller asks peers; each call ends with its context or after the timeout.
type caller struct {
	http    *http.Client
	scheme  string
	clk     *clock.Clock
	timeout clock.Millis
}

func newCaller(cfg *Config, clk *clock.Clock) *caller {
	conf := cfg.TLS
	c := &caller{clk: clk, timeout: cfg.Period, scheme: "http://"}
	if conf != nil {
		c.scheme = "https://"
	}
	var transport http.RoundTripper = &http.Transport{
		TLSClientConfig:     conf.Clone(),
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout.Duration(),
	}
	if cfg.Wrap != nil {
		transport = cfg.Wrap(transport)
	}
	c.http = &http.Client{Transport: transport}
	return c
}

func (c *caller) peer(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.http, c.scheme+address,
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage))
}

// within ends the returned context after d by clk.
func within(ctx context.Context, clk *clock.Clock, d clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-clk.After(d):
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (c *caller) exchange(ctx context.Context, address string, beat *peerv1.Heartbeat, all bool) (*peerv1.Heartbeat, error) {
	ctx, cancel := within(ctx, c.clk, c.timeout)
	defer cancel()
	req := &peerv1.ExchangeRequest{Heartbeat: beat, All: all}
	resp, err := c.peer(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return resp.Msg.GetHeartbeat(), nil
}

func (c *caller) probe(ctx context.Context, address string, id group.DaemonID) (bool, error) {
	// The helper itself waits for a timeout.
	ctx, cancel := within(ctx, c.clk, 2*c.timeout)
	defer cancel()
	req := &peerv1.ProbeRequest{Id: string(id)}
	resp, err := c.peer(address).Probe(ctx, connect.NewRequest(req))
	if err != nil {
		return false, fmt.Errorf("probe through %s: %w", address, err)
	}
	return resp.Msg.GetReached(), nil
}

func (c *caller) view(ctx context.Context, address string, g group.ID, t group.TargetID) (View, error) {
	ctx, cancel := within(ctx, c.clk, c.timeout)
	defer cancel()
	req := &peerv1.ViewRequest{Group: string(g), Target: string(t)}
	resp, err := c.peer(address).View(ctx, connect.NewRequest(req))
	if err != nil {
		return View{}, fmt.Errorf("view of %s: %w", address, err)
	}
	v := View{
		Daemon: group.DaemonID(resp.Msg.GetId()),
		Reach:  Reach(resp.Msg.GetReach()),
		Ago:    clock.Millis(max(0, resp.Msg.GetAgoMs())),
	}
	if v.Reach != Reachable && v.Reach != Unreachable {
		v.Reach = Unknown
	}
	return v, nil
}

// objects fetches part after part, each time telling what it holds by then.
func (c *caller) objects(ctx context.Context, address string, held []KeyVersion) ([]platform.Object, error) {
	var out []platform.Object
	for range maxParts {
		part, more, err := c.objectsPart(ctx, address, held)
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		if !more || len(part) == 0 {
			return out, nil
		}
		held = holding(held, part)
	}
	return out, nil
}

func (c *caller) objectsPart(ctx context.Context, address string, held []KeyVersion) ([]platform.Object, bool, error) {
	ctx, cancel := within(ctx, c.clk, 2*c.timeout)
	defer cancel()
	req := &peerv1.ObjectsRequest{Held: heldOut(held)}
	resp, err := c.peer(address).Objects(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, false, fmt.Errorf("objects of %s: %w", address, err)
	}
	return objectsIn(resp.Msg.GetObjects()), resp.Msg.GetMore(), nil
}

// holding adds objects to what is held.
func holding(held []KeyVersion, objects []platform.Object) []KeyVersion {
	versions := make(map[platform.Key]platform.Version, len(held)+len(objects))
	for _, h := range held {
		versions[h.Key] = h.Version
	}
	for _, o := range objects {
		versions[o.Key] = max(versions[o.Key], o.Version)
	}
	out := make([]KeyVersion, 0, len(versions))
	for k, v := range versions {
		out = append(out, KeyVersion{Key: k, Version: v})
	}
	return out
}

func shuffled(ms []Member) []Member {
	out := slices.Clone(ms)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
