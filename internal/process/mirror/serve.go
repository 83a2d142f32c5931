package mirror

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1"
	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1/mirrorv1connect"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// maxMessageBytes is the largest message that a client or server accepts; one message holds all objects of a prefix.
	maxMessageBytes = 16 << 20
	// maxRequestBytes is the largest request, which holds a prefix and two numbers.
	maxRequestBytes = 4 << 10
	// maxWait bounds the wait for a change.
	maxWait = 10 * clock.Second
	// responseSlack is how much longer than its wait a response may take before the mirror counts as lost, in milliseconds.
	responseSlack clock.Millis = 400
)

// ErrNotLoaded means that the mirror holds no objects under the prefix yet.
var ErrNotLoaded = errors.New("mirror has not read the objects yet")

// errNoEra means that the mirror is of an earlier release, which does not tell versions of two eras apart.
var errNoEra = errors.New("mirror does not know the era of its version")

// Handler returns the path and the handler that serve the caches, by prefix, to other daemons.
//
// Each response draws from the account until it is written.
func Handler(clk *clock.Clock, caches map[platform.Key]*Cache, account *memory.Account) (string, http.Handler) {
	path, h := mirrorv1connect.NewMirrorServiceHandler(&server{clk: clk, caches: caches}, connect.WithReadMaxBytes(maxRequestBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := account.Open(0, nil)
		defer holder.Close()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holderKey{}, holder)))
	})
}

// holderKey is the key of the holder of a response in the context of its request.
type holderKey struct{}

// responseCopies is how many copies of its objects a response has at once: the message and its encoding.
const responseCopies = 2

type server struct {
	clk    *clock.Clock
	caches map[platform.Key]*Cache
}

// Read serves another daemon from the cache under its prefix.
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
	size := 0
	for i := range r.Objects {
		size += len(r.Objects[i].Key) + len(r.Objects[i].Value)
	}
	if holder, ok := ctx.Value(holderKey{}).(*memory.Holder); ok && holder.Draw(responseCopies*size) != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, memory.ErrShort)
	}
	res := &mirrorv1.ReadResponse{Version: uint64(r.Version), Whole: r.Full, AgeMs: int64(r.Age), Era: uint64(r.Version.Era())}
	for _, o := range r.Objects {
		res.Objects = append(res.Objects, &mirrorv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return connect.NewResponse(res), nil
}

// Client reads from mirrors; it is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: maxWait.Duration()}}}
}

// Read returns the changes under prefix after version from, as the mirror at address has them. The mirror waits up to wait for a change; the call fails without a response within wait plus responseSlack.
func (c *Client) Read(ctx context.Context, address string, prefix platform.Key, from platform.Version, wait clock.Millis) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + responseSlack).Duration())
	defer cancel()
	client := mirrorv1connect.NewMirrorServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.Read(ctx, connect.NewRequest(&mirrorv1.ReadRequest{Prefix: string(prefix), From: uint64(from), WaitMs: int64(wait)}))
	if err != nil {
		return Result{}, fmt.Errorf("read mirror: %w", err)
	}
	m := res.Msg
	if era := platform.Version(m.GetVersion()).Era(); era != platform.Era(m.GetEra()) {
		return Result{}, fmt.Errorf("%w: got version of era %d and era %d", errNoEra, era, m.GetEra())
	}
	r := Result{Mirrored: true, Version: platform.Version(m.GetVersion()), Full: m.GetWhole(), Age: clock.Millis(m.GetAgeMs())}
	for _, o := range m.GetObjects() {
		r.Objects = append(r.Objects, platform.Object{Key: platform.Key(o.GetKey()), Version: platform.Version(o.GetVersion()), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	return r, nil
}
