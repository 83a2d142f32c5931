package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1/peerv1connect"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// Handler returns the path and the handler of the service that peers call.
func (m *Mesh) Handler() (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(&peerService{m: m},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
}

// peerService implements the PeerService.
type peerService struct{ m *Mesh }

var errInvalidSender = errors.New("heartbeat without a usable sender")

// Exchange merges the heartbeat of a peer and returns this daemon's heartbeat.
func (a *peerService) Exchange(ctx context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	got := req.Msg.GetHeartbeat()
	if !validMember(got.GetSelf()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidSender)
	}
	reply := make(chan outgoingHeartbeat, 1)
	if err := a.m.send(ctx, heartbeatRequest{heartbeat: got, all: req.Msg.GetAll(), reply: reply}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	b := <-reply
	return connect.NewResponse(&peerv1.ExchangeResponse{Heartbeat: b.out()}), nil
}

// Probe exchanges heartbeats with a third daemon on behalf of the peer and reports whether it replied. An unknown id counts as not
// reached.
func (a *peerService) Probe(ctx context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	reply := make(chan outgoingHeartbeat, 1)
	id := group.DaemonID(req.Msg.GetId())
	if err := a.m.send(ctx, composeRequest{to: id, reply: reply}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	b := <-reply
	if b.address == "" {
		return connect.NewResponse(&peerv1.ProbeResponse{}), nil
	}
	got, err := a.m.client.exchange(ctx, b.address, b.out(), false)
	reached := err == nil && got.GetSelf().GetId() == string(id)
	if reached {
		_ = a.m.send(ctx, probeReply{probe: Probe{ID: id, Address: b.address}, heartbeat: got})
	}
	return connect.NewResponse(&peerv1.ProbeResponse{Reached: reached}), nil
}

// View returns this daemon's latest view of a target.
func (a *peerService) View(_ context.Context, req *connect.Request[peerv1.ViewRequest]) (*connect.Response[peerv1.ViewResponse], error) {
	v := a.m.deps.View(group.ID(req.Msg.GetGroup()), group.TargetID(req.Msg.GetTarget()))
	return connect.NewResponse(&peerv1.ViewResponse{
		Id:    string(a.m.cfg.ID),
		Reach: peerv1.Reach(v.Reach),
		AgoMs: int64(v.Age),
	}), nil
}

// Objects returns the published objects of which this daemon holds a newer version than the peer.
func (a *peerService) Objects(_ context.Context, req *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	objects, more := objectsOut(a.m.deps.Objects(heldIn(req.Msg.GetHeld())))
	return connect.NewResponse(&peerv1.ObjectsResponse{Objects: objects, More: more}), nil
}
