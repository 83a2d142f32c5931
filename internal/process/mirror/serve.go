package mirror

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1"
	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1/mirrorv1connect"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// maxMessageBytes is the most that an asker takes, in bytes: all objects of a prefix.
	maxMessageBytes = 16 << 20
	// maxWait bounds the wait for a change.
	maxWait = 10 * clock.Second
	// responseSlack is how much longer than its wait an answer may take, in milliseconds, before the mirror is held to be lost.
	responseSlack clock.Millis = 400
)

// ErrNotLoaded means that the mirror holds no objects under the prefix yet.
var ErrNotLoaded = errors.New("mirror has not read the objects yet")

// Handler returns the path and the handler that serve the copies, by prefix, to other daemons.
func Handler(clk *clock.Clock, caches map[platform.Key]*Cache) (string, http.Handler) {
	return mirrorv1connect.NewMirrorServiceHandler(&server{clk: clk, caches: caches}, connect.WithReadMaxBytes(maxMessageBytes))
}

type server struct {
	clk    *clock.Clock
	caches map[platform.Key]*Cache
}

// Read answers another daemon from the copy under its prefix.
func (s *server) Read(ctx context.Context, req *connect.Request[mirrorv1.ReadRequest]) (*connect.Response[mirrorv1.ReadResponse], error) {
	c := s.caches[platform.Key(req.Msg.GetPrefix())]
	if c == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no copy of %q", req.Msg.GetPrefix()))
	}
	wait := min(max(0, clock.Millis(req.Msg.GetWaitMs())), maxWait)
	r, ok := c.Read(ctx, s.clk, platform.Version(req.Msg.GetFrom()), s.clk.Now()+wait)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotLoaded)
	}
	res := &mirrorv1.ReadResponse{Version: uint64(r.Version), Whole: r.Full, AgeMs: int64(r.Age)}
	for _, o := range r.Objects {
		res.Objects = append(res.Objects, &mirrorv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return connect.NewResponse(res), nil
}

// Client asks mirrors; it is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens connections by dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: maxWait.Duration()}}}
}

// Read asks the mirror at address for what has changed under prefix past from, and lets it wait for a change.
func (c *Client) Read(ctx context.Context, address string, prefix platform.Key, from platform.Version, wait clock.Millis) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + responseSlack).Duration())
	defer cancel()
	client := mirrorv1connect.NewMirrorServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.Read(ctx, connect.NewRequest(&mirrorv1.ReadRequest{Prefix: string(prefix), From: uint64(from), WaitMs: int64(wait)}))
	if err != nil {
		return Result{}, fmt.Errorf("read mirror: %w", err)
	}
	m := res.Msg
	r := Result{Mirrored: true, Version: platform.Version(m.GetVersion()), Full: m.GetWhole(), Age: clock.Millis(m.GetAgeMs())}
	for _, o := range m.GetObjects() {
		r.Objects = append(r.Objects, platform.Object{Key: platform.Key(o.GetKey()), Version: platform.Version(o.GetVersion()), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	return r, nil
}
