package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func wireMember(id string, incarnation uint64, s peerv1.State) *peerv1.Member {
	return &peerv1.Member{Id: id, Address: "127.0.0.1:1", DataCentre: "dc-1", Incarnation: incarnation, State: s}
}

func TestExchangeRefusesUnusableSenders(t *testing.T) {
	m := startMesh(t, "d1", clock.System(), Dependencies{})
	alive := peerv1.State_STATE_ALIVE
	tests := []struct {
		name string
		self *peerv1.Member
		code connect.Code
	}{
		{"no sender", nil, connect.CodeInvalidArgument},
		{"no id", wireMember("", 1, alive), connect.CodeInvalidArgument},
		{"long id", wireMember(strings.Repeat("x", 300), 1, alive), connect.CodeInvalidArgument},
		{"no address", &peerv1.Member{Id: "x", Incarnation: 1, State: alive}, connect.CodeInvalidArgument},
		{"unknown state", wireMember("x", 1, 9), connect.CodeInvalidArgument},
		{"incarnation above the limit", wireMember("x", 1<<63, alive), connect.CodeInvalidArgument},
		{"oversized", &peerv1.Member{Id: strings.Repeat("x", maxMessageBytes)}, connect.CodeResourceExhausted},
	}
	peer := newClient(&Config{Period: 10 * clock.Second}, clock.System()).serviceClient(m.cfg.Address)
	for _, tt := range tests {
		req := &peerv1.ExchangeRequest{Heartbeat: &peerv1.Heartbeat{Self: tt.self}}
		_, err := peer.Exchange(t.Context(), connect.NewRequest(req))
		if got := connect.CodeOf(err); got != tt.code {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.code)
		}
	}
	if n := len(m.Live()); n != 0 {
		t.Errorf("got %d live members, want 0", n)
	}
}

func TestExchangeToleratesUnknownFields(t *testing.T) {
	m := startMesh(t, "d1", clock.System(), Dependencies{})
	path, _ := m.Handler()
	body := `{"heartbeat":{"self":{"id":"d9","address":"127.0.0.1:1","dataCentre":"dc-1","incarnation":"1","state":1,"new":3},"newer":{}}}`
	resp, err := http.Post("http://"+m.cfg.Address+path+"Exchange", "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got %d, want %d", resp.StatusCode, http.StatusOK)
	}
}

func TestExchangeKeepsTheNewestIncarnation(t *testing.T) {
	clk := clock.NewManual(0)
	m := startMesh(t, "d1", &clk.Clock, Dependencies{})
	heartbeats := []struct {
		incarnation uint64
		state       peerv1.State
		live        int
	}{
		{2, peerv1.State_STATE_ALIVE, 1},
		{2, peerv1.State_STATE_ALIVE, 1},
		{1, peerv1.State_STATE_ALIVE, 1},
		{1, peerv1.State_STATE_LEFT, 1},
		{2, peerv1.State_STATE_LEFT, 0},
		{2, peerv1.State_STATE_ALIVE, 0},
		{3, peerv1.State_STATE_ALIVE, 1},
	}
	for i, b := range heartbeats {
		heartbeat := &peerv1.Heartbeat{Self: wireMember("d9", b.incarnation, b.state)}
		if _, err := newClient(&Config{Period: 10 * clock.Second}, clock.System()).exchange(t.Context(), m.cfg.Address, heartbeat, false); err != nil {
			t.Fatal(err)
		}
		if got := len(m.Live()); got != b.live {
			t.Errorf("heartbeat %d: got %d live members, want %d", i, got, b.live)
		}
	}
}

func TestCallEndsAfterTimeout(t *testing.T) {
	clk := clock.NewManual(0)
	requested := make(chan struct{})
	release := make(chan struct{})
	slowPeer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(requested)
		<-release
	}))
	defer slowPeer.Close()
	defer close(release)
	go func() {
		<-requested
		clk.Advance(50)
	}()
	c := newClient(&Config{Period: 50}, &clk.Clock)
	_, err := c.view(t.Context(), strings.TrimPrefix(slowPeer.URL, "http://"), "g", "t")
	if got := connect.CodeOf(err); got != connect.CodeCanceled {
		t.Errorf("got %v, want %v", err, connect.CodeCanceled)
	}
}

func TestAskViewOmitsSilentPeers(t *testing.T) {
	clk := clock.System()
	view := func(g group.ID, target group.TargetID) View {
		if g == "g" && target == "t" {
			return View{Reach: Unreachable, Age: 7}
		}
		return View{}
	}
	a := startMesh(t, "a", clk, Dependencies{})
	startMesh(t, "b", clk, Dependencies{View: view}, a.cfg.Address)
	startMesh(t, "c", clk, Dependencies{View: view}, a.cfg.Address)
	eventually(func() bool { return len(a.Live()) == 2 })
	eventually(func() bool { return len(a.RequestViews(t.Context(), "g", "t", 5)) == 2 })
	for _, v := range a.RequestViews(t.Context(), "g", "t", 5) {
		if v.Reach != Unreachable || v.Age != 7 {
			t.Errorf("got %+v, want unreachable at age 7", v)
		}
	}
	for _, v := range a.RequestViews(t.Context(), "g", "other", 1) {
		if v.Reach != Unknown {
			t.Errorf("got %+v, want unknown", v)
		}
	}
}

func TestObjectsAreFetchedInParts(t *testing.T) {
	value := bytes.Repeat([]byte("x"), maxObjectBytes/2)
	all := []platform.Object{
		{Key: "groups/a", Version: 1, Value: value},
		{Key: "groups/b", Version: 2, Value: value},
		{Key: "groups/c", Version: 3, Value: value},
		{Key: "groups/d", Version: 4},
	}
	newer := func(held []KeyVersion) []platform.Object {
		var out []platform.Object
		for _, o := range all {
			has := false
			for _, h := range held {
				has = has || h.Key == o.Key && h.Version >= o.Version
			}
			if !has {
				out = append(out, o)
			}
		}
		return out
	}
	m := startMesh(t, "d1", clock.System(), Dependencies{Objects: newer})
	c := newClient(&Config{Period: 10 * clock.Second}, clock.System())
	got, err := c.objects(t.Context(), m.cfg.Address, []KeyVersion{{Key: "groups/b", Version: 2}})
	if err != nil || len(got) != 3 {
		t.Errorf("got %d objects, %v, want 3", len(got), err)
	}
}

func TestMutualTLS(t *testing.T) {
	m := New(Config{ID: "d1", Address: "127.0.0.1:1", Period: 50}, clock.System(), Dependencies{})
	mux := http.NewServeMux()
	mux.Handle(m.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()
	trust := server.Client().Transport.(*http.Transport).TLSClientConfig
	with := trust.Clone()
	with.Certificates = server.TLS.Certificates
	for _, tt := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{{"certificate", with, true}, {"no certificate", trust, false}, {"cleartext", nil, false}} {
		c := newClient(&Config{Period: 10 * clock.Second, TLS: tt.conf}, clock.System())
		_, err := c.view(t.Context(), server.Listener.Addr().String(), "g", "t")
		c.http.CloseIdleConnections()
		if (err == nil) != tt.ok {
			t.Errorf("%s: got %v, want ok %t", tt.name, err, tt.ok)
		}
	}
}

func TestDemandsAreBounded(t *testing.T) {
	many := make([]Demand, maxMemberDemands+1)
	for i := range many {
		many[i] = Demand{Group: "precios-db-1", Target: group.TargetID(fmt.Sprint("target-", i)), Statements: i}
	}
	table := testTable()
	table.SetDemand(many)
	for i := range 60 {
		e := entry(group.DaemonID(fmt.Sprint("d", i+1)), 1, Alive)
		e.Demand, e.Sequence = many[:maxMemberDemands], 1
		table.Merge(0, []Entry{e})
	}
	for _, all := range []bool{false, true} {
		out := outgoingHeartbeat{Heartbeat: table.Heartbeat(0, "d1", all)}.out()
		if !validMember(out.GetSelf()) || proto.Size(out) > maxMessageBytes {
			t.Errorf("all %t: got %d bytes, valid %t", all, proto.Size(out), validMember(out.GetSelf()))
		}
		for _, m := range out.GetMembers() {
			if known := m.GetDemandSequence() != 0; known != (len(m.GetDemand()) > 0) {
				t.Errorf("%s: got sequence %d with %d demands", m.GetId(), m.GetDemandSequence(), len(m.GetDemand()))
			}
		}
	}
}

func TestStoppedMeshAnswersUnavailable(t *testing.T) {
	m := New(Config{ID: "d1", Address: "127.0.0.1:1", Period: 50}, clock.System(), Dependencies{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = m.Run(ctx)
	if err := m.Leave(t.Context()); !errors.Is(err, ErrStopped) {
		t.Errorf("got %v, want %v", err, ErrStopped)
	}
	_, err := (&peerService{m: m}).Exchange(t.Context(), connect.NewRequest(&peerv1.ExchangeRequest{
		Heartbeat: &peerv1.Heartbeat{Self: wireMember("d2", 1, peerv1.State_STATE_ALIVE)},
	}))
	if got := connect.CodeOf(err); got != connect.CodeUnavailable {
		t.Errorf("got %v, want %v", err, connect.CodeUnavailable)
	}
}
