package edge

import (
	"context"
	"encoding/json"
	"testing"

	"go.uber.org/zap"

	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestOwnEntryIsWrittenWhenTheListDiffers(t *testing.T) {
	const key = peerPrefix + "d"
	own := peerEntry{Address: "127.0.0.1:1", DataCentre: "here"}
	moved := own
	moved.Address = "127.0.0.1:2"
	leaving := own
	leaving.Leaving = true
	object := func(e peerEntry, v store.Version) []store.Object {
		b, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		return []store.Object{{Key: key, Version: v, Value: b}}
	}
	type list struct {
		objects []store.Object
		version store.Version
	}
	tests := []struct {
		name   string
		lists  []list
		writes []store.Version // the version that each write was conditional on
	}{
		{"first start", []list{{nil, 5}}, []store.Version{0}},
		{"restart that changes nothing", []list{{object(own, 3), 5}}, nil},
		{"restart at another address", []list{{object(moved, 3), 5}}, []store.Version{3}},
		{"restart after a drain", []list{{object(leaving, 4), 5}}, []store.Version{4}},
		{"list older than the write", []list{{nil, 5}, {nil, 6}, {object(own, 101), 101}}, []store.Version{0}},
		{"entry lost", []list{{object(own, 3), 5}, {nil, 9}}, []store.Version{0}},
		{"entry malformed", []list{{[]store.Object{{Key: key, Version: 3, Value: []byte("{")}}, 5}}, []store.Version{3}},
	}
	for _, tt := range tests {
		set := &Settings{Daemon: DaemonSettings{ID: "d", DataCentre: "here", PeerAddress: own.Address}, Limits: LimitSettings{Descriptors: 1000}}
		d := New("", set, &clock.NewManual(1).Clock, zap.NewNop())
		var writes []store.Version
		d.store = &store.Store{Put: func(_ context.Context, _ store.Key, _ []byte, ifVersion store.Version) (store.Version, error) {
			writes = append(writes, ifVersion)
			return 101, nil
		}}
		for _, l := range tt.lists {
			d.register(t.Context(), l.objects, l.version)
		}
		if len(writes) != len(tt.writes) || len(writes) > 0 && writes[0] != tt.writes[0] {
			t.Errorf("%s: got writes %v, want %v", tt.name, writes, tt.writes)
		}
	}
}
