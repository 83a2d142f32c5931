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
	// maxMessage is the most that an asker takes, in bytes: all objects of a prefix.
	maxMessage = 16 << 20
	// longestWait bounds the wait for a change.
	longestWait = 10 * clock.Second
	// answerSlack is how much longer than its wait an answer may take, in milliseconds, before the mirror is held to be lost.
	answerSlack clock.Millis = 400
)

// ErrUnread means that the mirror holds no objects under the prefix yet.
var ErrUnread = errors.New("mirror has not read the objects yet")

// Handler returns the path and the handler that serve the copies, by prefix, to other daemons.
func Handler(clk *clock.Clock, copies map[platform.Key]*Copy) (string, http.Handler) {
	return mirrorv1connect.NewMirrorServiceHandler(&server{clk: clk, copies: copies}, connect.WithReadMaxBytes(maxMessage))
}

type server struct {
	clk    *clock.Clock
	copies map[platform.Key]*Copy
}

// Read answers another daemon from the copy under its prefix.
func (s *server) Read(ctx context.Context, req *connect.Request[mirrorv1.ReadRequest]) (*connect.Response[mirrorv1.ReadResponse], error) {
	c := s.copies[platform.Key(req.Msg.GetPrefix())]
	if c == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no copy of %q", req.Msg.GetPrefix()))
	}
	wait := min(max(0, clock.Millis(req.Msg.GetWaitMs())), longestWait)
	a, ok := c.Read(ctx, s.clk, platform.Version(req.Msg.GetFrom()), s.clk.Now()+wait)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, ErrUnread)
	}
	res := &mirrorv1.ReadResponse{Version: uint64(a.Version), Whole: a.Whole, AgeMs: int64(a.Age)}
	for _, o := range a.Objects {
		res.Objects = append(res.Objects, &mirrorv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return connect.NewResponse(res), nil
}

// Client asks mirrors; it is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens connections by dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: longestWait.Duration()}}}
}

// Read asks the mirror at address for what has changed under prefix past from, and lets it wait for a change.
func (c *Client) Read(ctx context.Context, address string, prefix platform.Key, from platform.Version, wait clock.Millis) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + answerSlack).Duration())
	defer cancel()
	client := mirrorv1connect.NewMirrorServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessage))
	res, err := client.Read(ctx, connect.NewRequest(&mirrorv1.ReadRequest{Prefix: string(prefix), From: uint64(from), WaitMs: int64(wait)}))
	if err != nil {
		return Answer{}, fmt.Errorf("read mirror: %w", err)
	}
	m := res.Msg
	a := Answer{Mirrored: true, Version: platform.Version(m.GetVersion()), Whole: m.GetWhole(), Age: clock.Millis(m.GetAgeMs())}
	for _, o := range m.GetObjects() {
		a.Objects = append(a.Objects, platform.Object{Key: platform.Key(o.GetKey()), Version: platform.Version(o.GetVersion()), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	return a, nil
}
