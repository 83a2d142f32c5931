package standins

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/internal/trial"
)

const (
	// keySize is the length of the token key, in bytes.
	keySize = 32
	// KeyFile is the name of the token key's file.
	KeyFile = "token.key"

	// The first ports after the platform's.
	targetPorts = 1
	callerPorts = 11
	peerPorts   = 21
	adminPorts  = 31

	// The range in which free ports are looked for.
	firstFree = 15_000
	lastFree  = 32_000
	// freeAttempts is how many times free ports are looked for.
	freeAttempts = 100
)

// plan is which address each process has.
type plan struct {
	platform string
	targets  []string
	callers  []string
	peers    []string
	admins   []string
}

func newPlan(port, daemons int) (*plan, error) {
	if port == 0 {
		return freePlan(daemons)
	}
	return &plan{
		platform: address(port),
		targets:  addresses(port+targetPorts, trial.Members),
		callers:  addresses(port+callerPorts, daemons),
		peers:    addresses(port+peerPorts, daemons),
		admins:   addresses(port+adminPorts, daemons),
	}, nil
}

func addresses(first, n int) []string {
	var out []string
	for i := range n {
		out = append(out, address(first+i))
	}
	return out
}

// freePlan finds ports that nobody listens on, below those that systems give out by themselves.
//
// The daemons' ports stay free until the daemons start, so they must not be given to anyone else meanwhile.
func freePlan(daemons int) (*plan, error) {
	var last error
	for range freeAttempts {
		p, err := newPlan(firstFree+rand.N(lastFree-firstFree), daemons)
		if err != nil {
			return nil, err
		}
		if last = p.check(); last == nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("find free ports: %w", last)
}

// check listens on every address for a moment.
func (p *plan) check() error {
	for _, a := range slices.Concat([]string{p.platform}, p.targets, p.callers, p.peers, p.admins) {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// write puts settings and key into the directory.
func (p *plan) write(dir, url string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	key := make([]byte, keySize)
	if _, err := crand.Read(key); err != nil {
		return fmt.Errorf("draw token key: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, KeyFile), key, 0o600); err != nil {
		return fmt.Errorf("write token key: %w", err)
	}
	for i := range p.callers {
		if err := os.WriteFile(p.file(dir, i), []byte(p.settings(dir, url, i)), 0o644); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}

func (p *plan) file(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("entry-%d.ini", i+1))
}

func (p *plan) settings(dir, url string, i int) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("[daemon]")
	line("id = entry-%d", i+1)
	line("data-centre = %s", trial.DataCentre(i))
	line("caller-address = %s", p.callers[i])
	line("peer-address = %s", p.peers[i])
	line("admin-address = %s", p.admins[i])
	line("\n[callers]")
	line("authenticate = false")
	line("token-key-file = %s", filepath.Join(dir, KeyFile))
	line("\n[platform]")
	line("url = %s", url)
	line("\n[peers]")
	line("seeds = %s", strings.Join(p.peers, ", "))
	line("\n[log]")
	line("timeline-file = %s", filepath.Join(dir, fmt.Sprintf("entry-%d.jsonl", i+1)))
	return b.String()
}

// tell says how to run daemons and reach them.
func (p *plan) tell(dir, url string, say func(string)) {
	say("platform: " + url)
	say("run each in a terminal of its own:")
	for i := range p.callers {
		say("  cactusfork serve --settings " + p.file(dir, i))
	}
	say("callers: " + strings.Join(p.callers, " ") + " (user precios, database precios, no password)")
	say("admin: " + strings.Join(p.admins, ","))
	say("serving until interrupted")
}
