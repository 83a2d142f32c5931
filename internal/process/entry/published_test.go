package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func groupObject(t *testing.T, targets int, v platform.Version) platform.Object {
	t.Helper()
	rec := group.Record{ID: "g", Targets: make([]group.Target, targets)}
	value, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Object{Key: "groups/g", Version: v, Value: value}
}

func serviceObject(t *testing.T, key platform.Key, v platform.Version) platform.Object {
	t.Helper()
	s, err := service.Parse("shop.ini", []byte("[service]\nname = shop\ngroup = g\n"))
	if err != nil {
		t.Fatal(err)
	}
	value, err := service.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Object{Key: key, Version: v, Value: value}
}

// Guards against malformed objects of another writer that are put into force.
func TestValidate(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	tests := []struct {
		name   string
		object platform.Object
		want   string
	}{
		{"service", serviceObject(t, "services/shop", 1), ""},
		{"service under the key of another", serviceObject(t, "services/other", 1), "under the key of other"},
		{"malformed service", platform.Object{Key: "services/shop", Value: []byte("{")}, "decode service"},
		{"group", groupObject(t, 3, 1), ""},
		{"group without targets", groupObject(t, 0, 1), "want 1 to 3"},
		{"group too large", groupObject(t, 4, 1), "want 1 to 3"},
		{"malformed group", platform.Object{Key: "groups/g", Value: []byte("{")}, "decode group"},
		{"group under the key of another", platform.Object{Key: "groups/h", Value: []byte(`{"id":"g","targets":[{}]}`)}, "under the key of h"},
		{"group nested too deeply", platform.Object{Key: "groups/g", Value: []byte(deep)}, "decode group"},
		{"group with a field nested too deeply", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":` + deep + `}`)}, "decode group"},
		{"service nested too deeply", platform.Object{Key: "services/shop", Value: []byte(deep)}, "decode service"},
		{"group with a number over a float", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"slots":1e999}]}`)}, "decode group"},
		{"group with slots out of range", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"slots":9000000000000000000}]}`)}, "want 0 to"},
		{"group with connections out of range", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"connections":-1}]}`)}, "want 0 to"},
		{"group with a port out of range", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"address":"db-1:65536"}]}`)}, "want a port"},
		{"group with port 0", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"address":"db-1:0"}]}`)}, "want a port"},
		{"group with an address without a port", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"address":"db-1"}]}`)}, "address"},
		{"group with a host name", platform.Object{Key: "groups/g", Value: []byte(`{"id":"g","targets":[{"address":"db-1:5432","slots":5,"connections":30}]}`)}, ""},
	}
	for _, tt := range tests {
		err := validate(tt.object)
		if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}

func TestDecoderDecodesEachVersionOnce(t *testing.T) {
	h := config.New(config.Defaults("d", "dc"), clock.System(), config.Dependencies{})
	d := NewDecoder(zap.NewNop())
	h.Apply([]platform.Object{groupObject(t, 3, 1), serviceObject(t, "services/shop", 2)})
	if got, want := describe(d.DecodeNew(h.Snapshot())), "services/shop@2 groups/g@1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	h.Apply([]platform.Object{groupObject(t, 2, 3)})
	if got, want := describe(d.DecodeNew(h.Snapshot())), "groups/g@3"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	h.Apply([]platform.Object{{Key: "services/shop", Version: 4}})
	d.DecodeNew(h.Snapshot())
	p := d.Published(h.Snapshot())
	if got, want := len(p.Services), 0; got != want {
		t.Errorf("got %d services after the deletion, want %d", got, want)
	}
	if got, want := len(p.Groups["g"].Record.Targets), 2; got != want {
		t.Errorf("got %d targets, want %d", got, want)
	}
}
