package command

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/publish"
	platformstand "github.com/cactusfork/cactusfork/internal/standin/platform"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// serviceText returns a service file with one request of the given weight.
func serviceText(weight string) string {
	return "[service]\nname = s\ngroup = g\n\n[request \"r\"]\nkind = read\nweight = " + weight + "\n"
}

func startPlatform(t *testing.T) (*platformstand.Server, *platform.Store) {
	t.Helper()
	s, err := platformstand.Start(t.Context(), platformstand.Config{})
	if err != nil {
		t.Fatal(err)
	}
	return s, platform.Dial(platform.Config{URL: s.URL()}, clock.System())
}

// startRacingProxy starts a proxy to the platform that calls competitor before it forwards the first update.
func startRacingProxy(t *testing.T, platformURL string, competitor func()) string {
	t.Helper()
	u, err := url.Parse(platformURL)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(u)
	var once sync.Once
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			once.Do(competitor)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func publishedWeight(t *testing.T, s *platform.Store) int {
	t.Helper()
	o, err := s.Get(context.Background(), publish.KeyOf("s"))
	if err != nil {
		t.Fatal(err)
	}
	svc, err := service.Decode(o.Value)
	if err != nil {
		t.Fatal(err)
	}
	return svc.Requests["r"].Weight
}

func TestPublishConflict(t *testing.T) {
	server, store := startPlatform(t)
	if status, _, stderr := runCommand(t, "publish", "--platform", server.URL(), writeFile(t, "s.ini", serviceText("1"))); status != 0 {
		t.Fatal(stderr)
	}
	proxyURL := startRacingProxy(t, server.URL(), func() {
		if status, _, stderr := runCommand(t, "publish", "--platform", server.URL(), writeFile(t, "s.ini", serviceText("2"))); status != 0 {
			t.Error(stderr)
		}
	})
	status, _, stderr := runCommand(t, "publish", "--platform", proxyURL, writeFile(t, "s.ini", serviceText("3")))
	if status != exitFailed {
		t.Errorf("got status %d, want %d", status, exitFailed)
	}
	for _, want := range []string{"version 2 is published, you edited version 1", `request "r" weight: 1 -> 2`, "--if-version 2"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("got %q, want %q in it", stderr, want)
		}
	}
	if got, want := publishedWeight(t, store), 2; got != want {
		t.Errorf("got weight %d, want %d as published by the competitor", got, want)
	}
}

func TestPublishWithoutResponse(t *testing.T) {
	server, store := startPlatform(t)
	server.DropResponses(1)
	status, stdout, stderr := runCommand(t, "publish", "--platform", server.URL(), writeFile(t, "s.ini", serviceText("4")))
	if status != 0 || !strings.Contains(stdout, "published version 1") {
		t.Errorf("got %d, %s%s, want version 1", status, stdout, stderr)
	}
	if got, want := publishedWeight(t, store), 4; got != want {
		t.Errorf("got weight %d, want %d", got, want)
	}
	server.SetDown(true)
	status, _, stderr = runCommand(t, "publish", "--platform", server.URL(), writeFile(t, "s.ini", serviceText("5")))
	if status != exitFailed || !strings.Contains(stderr, "nothing was published") {
		t.Errorf("got %d, %s, want %d and nothing published", status, stderr, exitFailed)
	}
}

func TestPublishRejects(t *testing.T) {
	server, _ := startPlatform(t)
	valid, invalid := writeFile(t, "s.ini", serviceText("1")), writeFile(t, "bad.ini", serviceText("0"))
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"no file", nil, exitBadInput, "at least one service file"},
		{"one of two invalid", []string{valid, invalid}, exitBadInput, "bad.ini:7: [request \"r\"] weight"},
		{"same service twice", []string{valid, writeFile(t, "again.ini", serviceText("2"))}, exitBadInput, "service s is in"},
		{"version for two files", []string{"--if-version", "1", valid, writeFile(t, "other.ini", strings.Replace(serviceText("1"), "= s", "= o", 1))}, exitBadInput, "one file only"},
		{"missing file", []string{valid, invalid + ".none"}, exitBadInput, "read service file"},
		{"platform without scheme", []string{"--platform", "127.0.0.1:1", valid}, exitBadInput, "want http://address:port"},
		{"negative wait", []string{"--wait", "-1s", valid}, exitBadInput, "want 0s or more"},
		{"negative version", []string{"--if-version", "-2", valid}, exitBadInput, "want 0 or more"},
		{"version not published", []string{"--if-version", "9", valid}, exitFailed, "version 0 is published, you edited version 9"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _, stderr := runCommand(t, append([]string{"publish", "--platform", server.URL()}, tt.args...)...)
			if status != tt.status || !strings.Contains(stderr, tt.want) {
				t.Errorf("got %d, %s, want %d and %q", status, stderr, tt.status, tt.want)
			}
		})
	}
	if puts := server.Calls().Puts; puts != 1 {
		t.Errorf("got %d updates, want only the one from a version that is not published", puts)
	}
}

// exampleToken is signed with docs/examples/token.key.
const exampleToken = "AQAAAAAAAAACAAAAAAAAAyRwcmVjaW9zLWRiLTHLCFZDY0MpInDrlxe0NZi76urStrBYI5ZAbV4uQaQwhA"

func TestCommands(t *testing.T) {
	events := writeFile(t, "e.jsonl", `{"at":{"millis":1000,"counter":0,"daemon":"x"},"kind":"suspected","group":"g","target":"a","term":1}`+"\n")
	truncated := writeFile(t, "truncated.jsonl", `{"at":`+"\n")
	valid := writeFile(t, "s.ini", serviceText("1"))
	tests := []struct {
		name           string
		args           []string
		status         int
		stdout, stderr string
	}{
		{"valid file", []string{"check", valid}, 0, "service s of group g, requests: 1", ""},
		{"two problems", []string{"check", writeFile(t, "b.ini", "[service]\nname = S\n")}, exitBadInput, "", "b.ini:2: [service] name"},
		{"unknown command", []string{"cheque"}, exitBadInput, "", "cheque"},
		{"missing flag", []string{"status"}, exitBadInput, "", "admin"},
		{"unknown flag", []string{"check", "--colour"}, exitBadInput, "", "colour"},
		{"unknown report", []string{"status", "--admin", "127.0.0.1:1", "--report", "xml"}, exitBadInput, "", "want table or json"},
		{"text", []string{"timeline", "--file", events}, 0, "1970-01-01T00:00:01.000Z x suspected group=g target=a term=1\n", ""},
		{"json", []string{"timeline", "--file", events, "--report", "json"}, 0, `"kind":"suspected"`, ""},
		{"other group", []string{"timeline", "--file", events, "--group", "h"}, 0, "", ""},
		{"since", []string{"timeline", "--file", events, "--since", "1970-01-01T00:00:01Z", "--until", "1970-01-01T00:00:02Z"}, 0, "suspected", ""},
		{"bad since", []string{"timeline", "--file", events, "--since", "noon"}, exitBadInput, "", "want a time like"},
		{"svg", []string{"timeline", "--file", events, "--report", "svg"}, 0, "</svg>", ""},
		{"truncated file", []string{"timeline", "--file", events, "--file", truncated}, exitFailed, "suspected", "line 1"},
		{"no source", []string{"timeline"}, exitBadInput, "", "--file or --admin"},
		{"missing file", []string{"timeline", "--file", truncated + ".none"}, exitBadInput, "", "open time line"},
		{"daemon does not respond", []string{"timeline", "--admin", "127.0.0.1:1"}, exitFailed, "", "time line is incomplete"},
		{"figures", []string{"timeline", "--file", "../../pkg/event/testdata/figures.jsonl", "--report", "figures"}, 0, "2026-01  precios  read   10      5            50.0%", ""},
		{"figures json", []string{"timeline", "--file", "../../pkg/event/testdata/figures.jsonl", "--report", "figures-json"}, 0, `"median-ms": 900`, ""},
		{"token", []string{"token", "inspect", "--key-file", "../../docs/examples/token.key", exampleToken}, 0, "check     holds\nversion   1\ngroup     precios-db-1\nterm      2\nposition  804\n", ""},
		{"number of daemons", []string{"stand-ins", "--dir", t.TempDir(), "--daemons", "0"}, exitBadInput, "", "want 1 to 9"},
		{"completion", []string{"completion", "bash"}, 0, "cactusfork", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, stdout, stderr := runCommand(t, tt.args...)
			if status != tt.status || !strings.Contains(stdout, tt.stdout) || !strings.Contains(stderr, tt.stderr) {
				t.Errorf("got %d, %s%s, want %d, %q, %q", status, stdout, stderr, tt.status, tt.stdout, tt.stderr)
			}
		})
	}
}
