package settings

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `[daemon]
id = entry-1
data-centre = stgo-a
caller-address = 127.0.0.1:6432
peer-address = 127.0.0.1:7432
admin-address = 127.0.0.1:8432
[callers]
authenticate = false
[platform]
url = http://127.0.0.1:9000
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("a.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Callers.RequestTimeout.Duration().String(), "10s"; got != want {
		t.Errorf("got deadline %s, want %s", got, want)
	}
	if got, want := s.Daemon.ID, "entry-1"; got != want {
		t.Errorf("got id %s, want %s", got, want)
	}
}

func TestParseReportsLocation(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"unknown key", "authenticate = false", "authenticate = false\nsize = 3", "a.ini:9: [callers] size: unknown key"},
		{"unknown section", "[platform]", "[cloud]\n[platform]", "a.ini:9: [cloud]: unknown section"},
		{"bad unit", "[platform]", "[platform]\ntimeout = 5", `a.ini:10: [platform] timeout: got "5", want a number with a unit: ms, s, m or h`},
		{"out of range", "[platform]", "[platform]\ntimeout = 5h", "a.ini:10: [platform] timeout: got 5h, want 10ms to 1m"},
		{"missing address", "peer-address = 127.0.0.1:7432\n", "", "a.ini: [daemon] peer-address: is missing"},
		{"address without port", "127.0.0.1:7432", "127.0.0.1", `a.ini:5: [daemon] peer-address: got "127.0.0.1", want address:port`},
		{"host name", "127.0.0.1:7432", "entry:7432", `a.ini:5: [daemon] peer-address: got host "entry", want an IP address`},
		{"duplicate address", "127.0.0.1:7432", "127.0.0.1:6432", "a.ini:5: [daemon] peer-address: address 127.0.0.1:6432 is already used by caller-address"},
		{"duplicate key", "id = entry-1", "id = entry-1\nid = entry-2", "a.ini:3: [daemon] id: duplicate key"},
		{"duplicate section", "[platform]", "[daemon]\n[platform]", "a.ini:9: [daemon]: duplicate section"},
		{"duplicate seed", "[platform]", "[peers]\nseeds = 127.0.0.1:1, 127.0.0.1:1\n[platform]", "a.ini:10: [peers] seeds: duplicate address 127.0.0.1:1"},
		{"no password file", "authenticate = false", "authenticate = true", "a.ini:8: [callers] authenticate: needs passwords-file; set authenticate = false to accept callers without a password"},
		{"no value", "[platform]", "[platform]\nurl", "a.ini:10: [platform]: want key = value"},
		{"bad level", "[platform]", "[log]\nlevel = loud\n[platform]", `a.ini:10: [log] level: got "loud", want one of debug info warn error`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("a.ini", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			var p *Problem
			if !errors.As(err, &p) {
				t.Fatalf("got %v, want a *Problem", err)
			}
			if got := p.Error(); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}
