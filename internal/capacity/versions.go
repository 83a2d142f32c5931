package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// objects are n published objects, each second one a group and the next its service of four requests.
func objects(n int) ([]platform.Object, error) {
	out := make([]platform.Object, 0, n)
	for i := range n {
		o, err := object(i)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

func object(i int) (platform.Object, error) {
	rec := record(i / 2)
	o := platform.Object{Key: control.GroupKey(rec.ID), Version: platform.Version(1000 + i)}
	var err error
	if i%2 == 0 {
		o.Value, err = json.Marshal(rec)
	} else {
		o.Key = config.Services + platform.Key(rec.ID)
		o.Value, err = service.Encode(serviceOf(rec.ID))
	}
	if err != nil {
		return o, fmt.Errorf("encode object: %w", err)
	}
	return o, nil
}

func serviceOf(id group.ID) *service.Service {
	s := &service.Service{Name: service.Name(id), Group: id, Requests: map[service.RequestName]service.Request{}}
	for _, name := range []service.RequestName{"order.lookup", "order.read", "order.revise", "order.create"} {
		s.Requests[name] = service.Request{Name: name, Kind: service.Read, MaxAge: 5000, Weight: 1}
	}
	return s
}

func versions() measure {
	return measure{
		slopes: []Slope{
			{ID: ApplyCPU, What: "one changed object brought into force", Size: "object", Unit: "µs"},
			{ID: DecodeCPU, What: "one changed object decoded, all gathered", Size: "object", Unit: "µs"},
			{ID: ObjectBytes, What: "memory of the objects in force", Size: "object", Unit: "B"},
			{ID: DigestBytes, What: "request for newer objects, which lists all keys held", Size: "object", Unit: "B"},
			{ID: ObjectsBytes, What: "all objects as a peer sends them", Size: "object", Unit: "B"},
			{ID: ListBytes, What: "all objects as the platform lists them", Size: "object", Unit: "B"},
		},
		sizes: []int{1000, 10_000, 60_000},
		run:   versionCost,
	}
}

func versionCost(_ context.Context, n int) ([]float64, error) {
	before := held()
	h := config.New(config.Defaults("d0", centre(0)), clock.System(), config.Seams{})
	first, list, err := fill(h, n)
	if err != nil {
		return nil, err
	}
	memory := held() - before
	apply, err := applyCost(h, first, n)
	if err != nil {
		return nil, err
	}
	decode, err := decodeCost(h, first, n)
	if err != nil {
		return nil, err
	}
	digest, sent := wireSizes(h.Snapshot())
	runtime.KeepAlive(h)
	return []float64{apply, decode, memory, float64(digest), float64(sent), float64(list)}, nil
}

// fill brings n objects into force and returns the first of them and the length of their list, in bytes.
func fill(h *config.Holder, n int) (platform.Object, int, error) {
	all, err := objects(n)
	if err != nil {
		return platform.Object{}, 0, err
	}
	h.Apply(all)
	listed, err := json.Marshal(all)
	if err != nil {
		return platform.Object{}, 0, fmt.Errorf("encode list: %w", err)
	}
	return all[0], len(listed), nil
}

func applyCost(h *config.Holder, o platform.Object, n int) (float64, error) {
	o.Version = platform.Version(10 * n)
	return repeated(10, func() {
		o.Version++
		h.Apply([]platform.Object{o})
	})
}

// decodeCost is the processor time to decode the one object that changed and to gather all, in microseconds.
func decodeCost(h *config.Holder, o platform.Object, n int) (float64, error) {
	dec := entry.NewDecoder(zap.NewNop())
	dec.Take(h.Snapshot())
	var snaps []*config.Snapshot
	o.Version = platform.Version(100 * n)
	for range decodings {
		o.Version++
		h.Apply([]platform.Object{o})
		snaps = append(snaps, h.Snapshot())
	}
	i := 0
	return repeated(decodings, func() {
		dec.Take(snaps[i])
		dec.Published(snaps[i])
		i++
	})
}

// decodings is how often the decoding of a change is repeated.
const decodings = 10

// wireSizes are the lengths of the request that lists all keys and of the answer that holds all objects, in bytes.
func wireSizes(snap *config.Snapshot) (request, answer int) {
	asked, told := &peerv1.ObjectsRequest{}, &peerv1.ObjectsResponse{}
	for _, h := range snap.Digest().Held {
		asked.Held = append(asked.Held, &peerv1.KeyVersion{Key: string(h.Key), Version: uint64(h.Version)})
		o, _ := snap.Get(h.Key)
		told.Objects = append(told.Objects, &peerv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value})
	}
	return proto.Size(asked), proto.Size(told)
}
