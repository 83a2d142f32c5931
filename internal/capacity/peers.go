package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1/peerv1connect"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// exchanges is the number of heartbeats over which one is averaged.
	exchanges = 1000
	// farAway is a period that does not end during a measurement.
	farAway = 3600 * clock.Second
)

// fellow is one daemon's mesh on loopback with the bytes that pass its listener.
type fellow struct {
	server *httptest.Server
	caller peerv1connect.PeerServiceClient
	bytes  atomic.Int64
	stop   context.CancelFunc
	work   sync.WaitGroup
	next   *peerv1.Heartbeat
}

// newFellow starts a mesh that knows members spread over centres and says demands.
func newFellow(ctx context.Context, members, centres, demands int) (*fellow, error) {
	f := &fellow{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	f.server = httptest.NewUnstartedServer(mux)
	f.server.Listener = counted{Listener: l, bytes: &f.bytes}
	mesh := peer.New(peer.Config{ID: "d0", Address: l.Addr().String(), DataCentre: "dc-0", Period: farAway}, clock.System(), peer.Seams{
		Demand: func() []peer.Demand { return demandsOf(demands) },
	})
	mux.Handle(mesh.Handler())
	f.server.Start()
	ctx, f.stop = context.WithCancel(ctx)
	f.work.Go(func() { _ = mesh.Run(ctx) })
	f.caller = peerv1connect.NewPeerServiceClient(f.server.Client(), f.server.URL)
	f.next = heartbeat(members, centres, demands)
	return f, f.settle(ctx)
}

// heartbeat is that of the daemon d1, which tells of all members.
func heartbeat(members, centres, demands int) *peerv1.Heartbeat {
	h := &peerv1.Heartbeat{}
	for i := 1; i < members; i++ {
		h.Members = append(h.Members, &peerv1.Member{
			Id:          fmt.Sprintf("daemon-%04d", i),
			Address:     fmt.Sprintf("10.20.%d.%d:7432", i/250, i%250),
			DataCentre:  string(centre(i % centres)),
			Incarnation: 1_790_000_000_000,
			State:       peerv1.State_STATE_ALIVE,
		})
	}
	h.Self = h.Members[0]
	for _, d := range demandsOf(demands) {
		h.Self.Demand = append(h.Self.Demand, &peerv1.Demand{Group: string(d.Group), Target: string(d.Target), Statements: uint32(d.Statements)})
	}
	h.Self.DemandSequence = 1
	return h
}

func centre(i int) group.DataCentre { return group.DataCentre(fmt.Sprintf("centre-%02d", i)) }

func demandsOf(n int) []peer.Demand {
	out := make([]peer.Demand, 0, n)
	for i := range n {
		id := fmt.Sprintf("database-%05d", i/3)
		out = append(out, peer.Demand{Group: group.ID(id), Target: group.TargetID(fmt.Sprintf("%s-%c", id, 'a'+i%3)), Statements: i % 7})
	}
	return out
}

// settleLimit bounds the exchanges until rumours have died down.
const settleLimit = 20_000

// settle exchanges heartbeats until the mesh has no more news.
func (f *fellow) settle(ctx context.Context) error {
	for range settleLimit {
		got, err := f.exchange(ctx, false)
		if err != nil {
			return err
		}
		f.next.Members = nil
		f.next.MembersHash = got.GetMembersHash()
		f.next.Pulses = got.GetPulses()
		if len(got.GetMembers()) == 0 {
			return nil
		}
	}
	return errors.New("rumours do not die down")
}

func (f *fellow) exchange(ctx context.Context, all bool) (*peerv1.Heartbeat, error) {
	resp, err := f.caller.Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{Heartbeat: f.next, All: all}))
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return resp.Msg.GetHeartbeat(), nil
}

// close ends the mesh.
func (f *fellow) close() {
	f.stop()
	f.work.Wait()
	f.server.Close()
}

// cost returns bytes and processor time of one exchange.
func (f *fellow) cost(ctx context.Context, all bool) ([]float64, error) {
	before := f.bytes.Load()
	u, err := during(func() error {
		for range exchanges {
			if _, err := f.exchange(ctx, all); err != nil {
				return err
			}
		}
		return nil
	})
	bytes := float64(f.bytes.Load() - before)
	return []float64{bytes / exchanges, u.cpu / exchanges}, err
}

func exchangeCost(ctx context.Context, members, centres, demands int, all bool) ([]float64, error) {
	f, err := newFellow(ctx, members, centres, demands)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return f.cost(ctx, all)
}

func heartbeats() measure {
	return measure{
		slopes: []Slope{
			{ID: HeartbeatBytes, What: "exchange of heartbeats at rest, both directions with HTTP", Size: "member", Unit: "B"},
			{ID: HeartbeatCPU, What: "exchange of heartbeats at rest, both ends", Size: "member", Unit: "µs"},
		},
		sizes: []int{8, 60, 240, 1000},
		run: func(ctx context.Context, n int) ([]float64, error) {
			return exchangeCost(ctx, n, 1, 0, false)
		},
	}
}

func fullHeartbeats() measure {
	return measure{
		slopes: []Slope{
			{ID: FullBytes, What: "exchange whose answer tells all members, compressed by HTTP", Size: "member", Unit: "B"},
			{ID: MemberWire, What: "heartbeat that tells all members, not compressed", Size: "member", Unit: "B"},
		},
		sizes: []int{8, 60, 240, 1000},
		run: func(ctx context.Context, n int) ([]float64, error) {
			cost, err := exchangeCost(ctx, n, 1, 0, true)
			if err != nil {
				return nil, err
			}
			return []float64{cost[0], float64(proto.Size(heartbeat(n, 1, 0)))}, nil
		},
	}
}

func pulses() measure {
	return measure{
		slopes: []Slope{{ID: PulseBytes, What: "exchange at rest of 240 members", Size: "data centre", Unit: "B"}},
		sizes:  []int{1, 11, 44},
		run: func(ctx context.Context, n int) ([]float64, error) {
			cost, err := exchangeCost(ctx, 240, n, 0, false)
			if err != nil {
				return nil, err
			}
			return cost[:1], nil
		},
	}
}

func demands() measure {
	return measure{
		slopes: []Slope{
			{ID: DemandBytes, What: "exchange of 8 members that both say demands", Size: "demand", Unit: "B"},
			{ID: DemandCPU, What: "exchange of 8 members that both say demands, both ends", Size: "demand", Unit: "µs"},
		},
		sizes: []int{3, 150, 2048},
		run: func(ctx context.Context, n int) ([]float64, error) {
			return exchangeCost(ctx, 8, 1, n, false)
		},
	}
}
