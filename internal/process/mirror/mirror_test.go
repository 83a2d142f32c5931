package mirror

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func object(key string, v platform.Version) platform.Object {
	return platform.Object{Key: platform.Key(key), Version: v, Value: []byte("{}")}
}

func deleted(key string) platform.Object {
	return platform.Object{Key: platform.Key(key), Version: 1, Deleted: true}
}

func keys(a *Answer) string {
	var list []string
	for _, o := range a.Objects {
		k := string(o.Key)
		if o.Deleted {
			k = "-" + k
		}
		list = append(list, k)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func TestCopyTellsWhatHasChanged(t *testing.T) {
	list := Answer{Whole: true, Version: 10, Objects: []platform.Object{object("a", 3), object("b", 7)}}
	tests := []struct {
		name    string
		reads   []Answer
		from    platform.Version
		want    string
		whole   bool
		version platform.Version
	}{
		{"all", []Answer{list}, 0, "a b", true, 10},
		{"nothing new", []Answer{list}, 10, "", false, 10},
		{"asker is ahead", []Answer{list}, 12, "", false, 12},
		{"list that the asker has not seen", []Answer{list}, 8, "a b", true, 10},
		{"changes", []Answer{list, {Version: 14, Objects: []platform.Object{object("b", 12), object("c", 14)}}}, 10, "b c", false, 14},
		{"only the latest", []Answer{list, {Version: 12, Objects: []platform.Object{object("b", 12)}}, {Version: 14, Objects: []platform.Object{object("c", 14)}}}, 12, "c", false, 14},
		{"deletion", []Answer{list, {Version: 14, Objects: []platform.Object{deleted("a")}}}, 10, "-a", false, 14},
		{"deletion, seen already", []Answer{list, {Version: 14, Objects: []platform.Object{deleted("a")}}}, 14, "", false, 14},
		{"all behind a deletion", []Answer{list, {Version: 14, Objects: []platform.Object{deleted("a")}}}, 0, "b", true, 14},
		{"deleted and created again", []Answer{list, {Version: 14, Objects: []platform.Object{deleted("a")}}, {Version: 16, Objects: []platform.Object{object("a", 16)}}}, 10, "a", false, 16},
		{"a source that is behind changes nothing", []Answer{list, {Whole: true, Version: 4, Objects: []platform.Object{object("a", 3)}}}, 0, "a b", true, 10},
	}
	for _, tt := range tests {
		m := clock.NewManual(100)
		var c Copy
		for i := range tt.reads {
			c.Take(&tt.reads[i], 60)
		}
		a, ok := c.Read(t.Context(), &m.Clock, tt.from, 0)
		if !ok || keys(&a) != tt.want || a.Whole != tt.whole || a.Version != tt.version || a.Age != 40 {
			t.Errorf("%s: got %q, whole %t, version %d, age %d, %t, want %q, %t, %d, 40", tt.name, keys(&a), a.Whole, a.Version, a.Age, ok, tt.want, tt.whole, tt.version)
		}
	}
}

func TestForgottenDeletionsGiveAllObjects(t *testing.T) {
	var c Copy
	c.Take(&Answer{Whole: true, Version: 1, Objects: []platform.Object{object("a", 1)}}, 1)
	for i := range keptDeletions + 1 {
		c.Take(&Answer{Version: platform.Version(i + 2), Objects: []platform.Object{deleted("x")}}, 1)
	}
	clk := clock.System()
	for _, tt := range []struct {
		from platform.Version
		want bool
	}{{1, true}, {2, false}, {keptDeletions, false}} {
		if a, _ := c.Read(t.Context(), clk, tt.from, 0); a.Whole != tt.want {
			t.Errorf("from %d: got whole %t, want %t", tt.from, a.Whole, tt.want)
		}
	}
}

func serve(t *testing.T, c *Copy) (*Client, string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(Handler(clock.System(), map[platform.Key]*Copy{"servers/": c}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return NewClient((&net.Dialer{}).DialContext), strings.TrimPrefix(s.URL, "http://")
}

func TestAskersWaitForAChange(t *testing.T) {
	var c Copy
	client, address := serve(t, &c)
	if _, err := client.Read(t.Context(), address, "servers/", 0, 0); err == nil || !strings.Contains(err.Error(), ErrUnread.Error()) {
		t.Errorf("got %v before the first read, want %v", err, ErrUnread)
	}
	if _, err := client.Read(t.Context(), address, "other/", 0, 0); err == nil {
		t.Error("got an answer for another prefix, want an error")
	}
	clk := clock.System()
	c.Take(&Answer{Whole: true, Version: 5, Objects: []platform.Object{object("servers/a", 5)}}, clk.Now())
	time.AfterFunc(20*time.Millisecond, func() {
		c.Take(&Answer{Version: 8, Objects: []platform.Object{object("servers/b", 8)}}, clk.Now())
	})
	a, err := client.Read(t.Context(), address, "servers/", 5, 5*clock.Second)
	if err != nil || keys(&a) != "servers/b" || a.Version != 8 || a.Whole {
		t.Errorf("got %q at %d, whole %t, %v, want the change", keys(&a), a.Version, a.Whole, err)
	}
	if a, err = client.Read(t.Context(), address, "servers/", 8, 10); err != nil || len(a.Objects) != 0 || a.Age < 0 {
		t.Errorf("got %q, age %d, %v, want nothing in time", keys(&a), a.Age, err)
	}
}

func TestSilentMirrorIsGivenUp(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	began := time.Now()
	if _, err := NewClient((&net.Dialer{}).DialContext).Read(context.Background(), l.Addr().String(), "servers/", 0, 10); err == nil {
		t.Error("got an answer, want an error")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("got %v, want about %d ms", took, answerSlack)
	}
}
