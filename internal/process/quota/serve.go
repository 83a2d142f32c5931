package quota

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/process/quota/quotav1"
	"github.com/cactusfork/cactusfork/internal/process/quota/quotav1/quotav1connect"
	"github.com/cactusfork/cactusfork/internal/request/quota"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// maxNameBytes bounds the name of a workspace, and with it the memory of an issuer. Usual names have tens of bytes.
	maxNameBytes = 384
	// maxMessageBytes bounds a message: maxAsks asks with the longest names.
	maxMessageBytes = 512 << 10
	// idleTimeout is how long an unused connection to an issuer is kept. Daemons with steady demand ask every 400 ms.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the unused connections to all issuers: 4 slots in each of 4 data centres, and some that have changed.
	maxIdleConns = 32
	// noCompression is a size that no message reaches; the messages are too small to be worth the processor time.
	noCompression = 1 << 30
)

// Issuer is a daemon's issuer. It is safe for concurrent use.
type Issuer struct {
	clk *clock.Clock

	mu     sync.Mutex
	issuer *quota.Issuer
}

// NewIssuer returns the issuer of a daemon that starts now.
func NewIssuer(clk *clock.Clock, window clock.Millis, t quota.Tolerance) *Issuer {
	return &Issuer{clk: clk, issuer: quota.NewIssuer(clk.Now(), window, t)}
}

// Take grants tokens.
func (i *Issuer) Take(a quota.Ask) quota.Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Take(i.clk.Now(), a)
}

// Stop has the issuer grant by force only, because the daemon drains.
func (i *Issuer) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.Stop()
}

// Busiest returns the status of at most n workspaces.
func (i *Issuer) Busiest(n int) []quota.Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Busiest(i.clk.Now(), n)
}

// Handler returns the path and the handler at which other daemons ask the issuer.
func Handler(i *Issuer) (string, http.Handler) {
	return quotav1connect.NewQuotaServiceHandler(&server{issuer: i}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(noCompression))
}

type server struct{ issuer *Issuer }

var errTooManyAsks = errors.New("too many asks in one request")

// Take answers each ask.
func (s *server) Take(_ context.Context, req *connect.Request[quotav1.TakeRequest]) (*connect.Response[quotav1.TakeResponse], error) {
	asks := req.Msg.GetAsks()
	if len(asks) > maxAsks {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooManyAsks)
	}
	res := &quotav1.TakeResponse{Grants: make([]*quotav1.Grant, len(asks))}
	for i, a := range asks {
		if len(a.GetWorkspace()) > maxNameBytes {
			res.Grants[i] = &quotav1.Grant{RetryAfterMs: int64(quota.DefaultWindow)}
			continue
		}
		g := s.issuer.Take(quota.Ask{
			Workspace: workspace.ID(a.GetWorkspace()), Tokens: int(a.GetTokens()), Version: a.GetVersion(), Parts: int(a.GetParts()), Force: a.GetForce(),
			Limit: workspace.Limit{PerSecond: a.GetPerSecond(), Burst: a.GetBurst()},
		})
		res.Grants[i] = &quotav1.Grant{Tokens: uint32(g.Tokens), RetryAfterMs: int64(g.RetryAfter), NotReady: g.NotReady}
	}
	return connect.NewResponse(res), nil
}

// Sender returns a function that asks issuers over connections of dial.
func Sender(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error) {
	client := &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, MaxIdleConns: maxIdleConns, IdleConnTimeout: idleTimeout}}
	return func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error) {
		req := &quotav1.TakeRequest{Asks: make([]*quotav1.Ask, len(asks))}
		for i, a := range asks {
			req.Asks[i] = &quotav1.Ask{
				Workspace: string(a.Workspace), Tokens: uint32(a.Tokens), Version: a.Version, PerSecond: a.Limit.PerSecond, Burst: a.Limit.Burst,
				Parts: uint32(a.Parts), Force: a.Force,
			}
		}
		issuer := quotav1connect.NewQuotaServiceClient(client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
		res, err := issuer.Take(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, fmt.Errorf("ask issuer: %w", err)
		}
		grants := make([]quota.Grant, len(res.Msg.GetGrants()))
		for i, g := range res.Msg.GetGrants() {
			grants[i] = quota.Grant{Tokens: int(g.GetTokens()), RetryAfter: clock.Millis(g.GetRetryAfterMs()), NotReady: g.GetNotReady()}
		}
		return grants, nil
	}
}
