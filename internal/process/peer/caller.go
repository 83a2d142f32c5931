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
	// maxMessageBytes is the size limit of a message received from or sent to a peer, in bytes.
	maxMessageBytes = 2 << 20
	// maxObjectBytes is the size limit of the objects in one response, in bytes. A single larger object is sent alone.
	maxObjectBytes = 1 << 20
	// maxObjectParts is the largest number of responses that one fetch of objects reads.
	maxObjectParts = 64
	// maxFetchFrom is the largest number of peers that one fetch of objects tries.
	maxFetchFrom = 3
	// maxLeaveCalls is the largest number of peers that are informed directly of a graceful stop.
	maxLeaveCalls = 8
	// maxIdleConns is the largest number of idle connections to all peers together.
	maxIdleConns = 128
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * clock.Second
)

// client sends requests to peers. Each call ends with its context or after timeout, calls that need a second step at the peer after
// twice that.
type client struct {
	http    *http.Client
	scheme  string
	clk     *clock.Clock
	timeout clock.Millis
}

func newClient(cfg *Config, clk *clock.Clock) *client {
	tlsCfg := cfg.TLS
	c := &client{clk: clk, timeout: cfg.Period, scheme: "http://"}
	if tlsCfg != nil {
		c.scheme = "https://"
	}
	var transport http.RoundTripper = &http.Transport{
		TLSClientConfig:     tlsCfg.Clone(),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout.Duration(),
	}
	if cfg.Wrap != nil {
		transport = cfg.Wrap(transport)
	}
	c.http = &http.Client{Transport: transport}
	return c
}

func (c *client) serviceClient(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.http, c.scheme+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
}

// withTimeout returns a context that is cancelled after d has passed on clk.
func withTimeout(ctx context.Context, clk *clock.Clock, d clock.Millis) (context.Context, context.CancelFunc) {
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

// exchange sends a heartbeat and returns the heartbeat of the peer; all asks for all members in the reply.
func (c *client) exchange(ctx context.Context, address string, heartbeat *peerv1.Heartbeat, all bool) (*peerv1.Heartbeat, error) {
	ctx, cancel := withTimeout(ctx, c.clk, c.timeout)
	defer cancel()
	req := &peerv1.ExchangeRequest{Heartbeat: heartbeat, All: all}
	resp, err := c.serviceClient(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return resp.Msg.GetHeartbeat(), nil
}

// probe asks the peer at address to probe the daemon id, and reports whether the peer reached it.
func (c *client) probe(ctx context.Context, address string, id group.DaemonID) (bool, error) {
	// The peer itself may wait one timeout for the probed daemon.
	ctx, cancel := withTimeout(ctx, c.clk, 2*c.timeout)
	defer cancel()
	req := &peerv1.ProbeRequest{Id: string(id)}
	resp, err := c.serviceClient(address).Probe(ctx, connect.NewRequest(req))
	if err != nil {
		return false, fmt.Errorf("probe through %s: %w", address, err)
	}
	return resp.Msg.GetReached(), nil
}

// view asks the peer at address for its view of a target. An unknown value of Reach counts as Unknown.
func (c *client) view(ctx context.Context, address string, g group.ID, t group.TargetID) (View, error) {
	ctx, cancel := withTimeout(ctx, c.clk, c.timeout)
	defer cancel()
	req := &peerv1.ViewRequest{Group: string(g), Target: string(t)}
	resp, err := c.serviceClient(address).View(ctx, connect.NewRequest(req))
	if err != nil {
		return View{}, fmt.Errorf("view of %s: %w", address, err)
	}
	v := View{
		Daemon: group.DaemonID(resp.Msg.GetId()),
		Reach:  Reach(resp.Msg.GetReach()),
		Age:    clock.Millis(max(0, resp.Msg.GetAgoMs())),
	}
	if v.Reach != Reachable && v.Reach != Unreachable {
		v.Reach = Unknown
	}
	return v, nil
}

// objects fetches the objects that are newer at the peer than in held. It requests one part after the other, each time with the
// versions held so far.
func (c *client) objects(ctx context.Context, address string, held []KeyVersion) ([]platform.Object, error) {
	var out []platform.Object
	for range maxObjectParts {
		part, more, err := c.objectsPart(ctx, address, held)
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		if !more || len(part) == 0 {
			return out, nil
		}
		held = addHeld(held, part)
	}
	return out, nil
}

// objectsPart fetches one part and reports whether the peer has more objects.
func (c *client) objectsPart(ctx context.Context, address string, held []KeyVersion) ([]platform.Object, bool, error) {
	ctx, cancel := withTimeout(ctx, c.clk, 2*c.timeout)
	defer cancel()
	req := &peerv1.ObjectsRequest{Held: heldOut(held)}
	resp, err := c.serviceClient(address).Objects(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, false, fmt.Errorf("objects of %s: %w", address, err)
	}
	return objectsIn(resp.Msg.GetObjects()), resp.Msg.GetMore(), nil
}

// addHeld returns held with the versions of objects added.
func addHeld(held []KeyVersion, objects []platform.Object) []KeyVersion {
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
