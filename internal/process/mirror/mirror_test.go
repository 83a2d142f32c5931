package mirror

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1"
	"github.com/cactusfork/cactusfork/internal/process/mirror/mirrorv1/mirrorv1connect"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func object(key string, v platform.Version) platform.Object {
	return platform.Object{Key: platform.Key(key), Version: v, Value: []byte("{}")}
}

func deletedObject(key string) platform.Object {
	return platform.Object{Key: platform.Key(key), Version: 1, Deleted: true}
}

func keys(r *Result) string {
	var list []string
	for _, o := range r.Objects {
		k := string(o.Key)
		if o.Deleted {
			k = "-" + k
		}
		list = append(list, k)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func TestCacheReturnsChangesSinceAVersion(t *testing.T) {
	list := Result{Full: true, Version: 10, Objects: []platform.Object{object("a", 3), object("b", 7)}}
	tests := []struct {
		name    string
		applied []Result
		from    platform.Version
		want    string
		full    bool
		version platform.Version
	}{
		{"all", []Result{list}, 0, "a b", true, 10},
		{"no change", []Result{list}, 10, "", false, 10},
		{"reader is ahead", []Result{list}, 12, "", false, 12},
		{"list that the reader has not seen", []Result{list}, 8, "a b", true, 10},
		{"several changes", []Result{list, {Version: 14, Objects: []platform.Object{object("b", 12), object("c", 14)}}}, 10, "b c", false, 14},
		{"only the latest change", []Result{list, {Version: 12, Objects: []platform.Object{object("b", 12)}}, {Version: 14, Objects: []platform.Object{object("c", 14)}}}, 12, "c", false, 14},
		{"deletion", []Result{list, {Version: 14, Objects: []platform.Object{deletedObject("a")}}}, 10, "-a", false, 14},
		{"deletion that the reader has seen", []Result{list, {Version: 14, Objects: []platform.Object{deletedObject("a")}}}, 14, "", false, 14},
		{"full read after a deletion", []Result{list, {Version: 14, Objects: []platform.Object{deletedObject("a")}}}, 0, "b", true, 14},
		{"deleted and recreated", []Result{list, {Version: 14, Objects: []platform.Object{deletedObject("a")}}, {Version: 16, Objects: []platform.Object{object("a", 16)}}}, 10, "a", false, 16},
		{"older source changes nothing", []Result{list, {Full: true, Version: 4, Objects: []platform.Object{object("a", 3)}}}, 0, "a b", true, 10},
	}
	for _, tt := range tests {
		m := clock.NewManual(100)
		var c Cache
		for i := range tt.applied {
			c.Apply(&tt.applied[i], 60)
		}
		got, ok := c.Read(t.Context(), &m.Clock, tt.from, 0)
		if !ok || keys(&got) != tt.want || got.Full != tt.full || got.Version != tt.version || got.Age != 40 {
			t.Errorf("%s: got %q, full %t, version %d, age %d, %t, want %q, %t, %d, 40", tt.name, keys(&got), got.Full, got.Version, got.Age, ok, tt.want, tt.full, tt.version)
		}
	}
}

func TestReaderOfAnOlderEraGetsAllObjects(t *testing.T) {
	v := func(era platform.Era, revision uint64) platform.Version {
		v, err := platform.NewVersion(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	clk := clock.System()
	var c Cache
	client, address := serve(t, &c)
	c.Apply(&Result{Full: true, Version: v(1, 10), Objects: []platform.Object{object("servers/a", v(1, 3)), object("servers/b", v(1, 7))}}, clk.Now())
	c.Apply(&Result{Full: true, Version: v(2, 8), Objects: []platform.Object{object("servers/a", v(2, 3))}}, clk.Now())
	tests := []struct {
		from platform.Version
		want string
		full bool
	}{
		{v(1, 9), "servers/a", true},
		{v(1, 12), "servers/a", true}, // ahead of this cache when the store was restored
		{v(2, 2), "-servers/b servers/a", false},
		{v(2, 8), "", false},
	}
	for _, tt := range tests {
		got, err := client.Read(t.Context(), address, "servers/", tt.from, 0)
		if err != nil || keys(&got) != tt.want || got.Full != tt.full || got.Version != v(2, 8) {
			t.Errorf("from %s: got %q, full %t, version %s, %v, want %q, %t, 2.8", tt.from, keys(&got), got.Full, got.Version, err, tt.want, tt.full)
		}
	}
}

func TestMirrorOfAnEarlierReleaseIsNotUsed(t *testing.T) {
	path, h := mirrorv1connect.NewMirrorServiceHandler(earlierMirror{})
	mux := http.NewServeMux()
	mux.Handle(path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	client, address := NewClient((&net.Dialer{}).DialContext), strings.TrimPrefix(s.URL, "http://")
	from, err := platform.NewVersion(1, 5)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := client.Read(t.Context(), address, "servers/", from, 0); !errors.Is(err, errNoEra) {
		t.Errorf("got %+v, %v, want %v", got, err, errNoEra)
	}
	if _, err := client.Read(t.Context(), address, "servers/", 5, 0); err != nil {
		t.Errorf("version without an era: got %v, want a result", err)
	}
}

// earlierMirror returns the version of the request as a cache without newer changes does, and no era.
type earlierMirror struct{}

func (earlierMirror) Read(_ context.Context, req *connect.Request[mirrorv1.ReadRequest]) (*connect.Response[mirrorv1.ReadResponse], error) {
	return connect.NewResponse(&mirrorv1.ReadResponse{Version: req.Msg.GetFrom()}), nil
}

func TestEvictedDeletionsForceAFullRead(t *testing.T) {
	var c Cache
	c.Apply(&Result{Full: true, Version: 1, Objects: []platform.Object{object("a", 1)}}, 1)
	for i := range maxDeletions + 1 {
		c.Apply(&Result{Version: platform.Version(i + 2), Objects: []platform.Object{deletedObject("x")}}, 1)
	}
	clk := clock.System()
	for _, tt := range []struct {
		from platform.Version
		want bool
	}{{1, true}, {2, false}, {maxDeletions, false}} {
		if got, _ := c.Read(t.Context(), clk, tt.from, 0); got.Full != tt.want {
			t.Errorf("from %d: got full %t, want %t", tt.from, got.Full, tt.want)
		}
	}
}

func serve(t *testing.T, c *Cache) (*Client, string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(Handler(clock.System(), map[platform.Key]*Cache{"servers/": c}, nil))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return NewClient((&net.Dialer{}).DialContext), strings.TrimPrefix(s.URL, "http://")
}

func TestClientWaitsForAChange(t *testing.T) {
	var c Cache
	client, address := serve(t, &c)
	if _, err := client.Read(t.Context(), address, "servers/", 0, 0); err == nil || !strings.Contains(err.Error(), ErrNotLoaded.Error()) {
		t.Errorf("got %v before the first read, want %v", err, ErrNotLoaded)
	}
	if _, err := client.Read(t.Context(), address, "other/", 0, 0); err == nil {
		t.Error("got a result for an unknown prefix, want an error")
	}
	clk := clock.System()
	c.Apply(&Result{Full: true, Version: 5, Objects: []platform.Object{object("servers/a", 5)}}, clk.Now())
	time.AfterFunc(20*time.Millisecond, func() {
		c.Apply(&Result{Version: 8, Objects: []platform.Object{object("servers/b", 8)}}, clk.Now())
	})
	got, err := client.Read(t.Context(), address, "servers/", 5, 5*clock.Second)
	if err != nil || keys(&got) != "servers/b" || got.Version != 8 || got.Full {
		t.Errorf("got %q at version %d, full %t, %v, want the change", keys(&got), got.Version, got.Full, err)
	}
	if got, err = client.Read(t.Context(), address, "servers/", 8, 10); err != nil || len(got.Objects) != 0 || got.Age < 0 {
		t.Errorf("got %q, age %d, %v, want no change within the wait", keys(&got), got.Age, err)
	}
}

func TestReadFromASilentMirrorTimesOut(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	start := time.Now()
	if _, err := NewClient((&net.Dialer{}).DialContext).Read(context.Background(), l.Addr().String(), "servers/", 0, 10); err == nil {
		t.Error("got a result, want a time-out")
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("got an error after %v, want one after about %d ms", elapsed, responseSlack)
	}
}
