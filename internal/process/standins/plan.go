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
	// KeyFile is the name of the file with the token key.
	KeyFile = "token.key"

	// Offsets from the platform's port to the first port for targets, and of daemons for callers, peers and operators.
	targetOffset = 1
	callerOffset = 11
	peerOffset   = 21
	adminOffset  = 31

	// Range in which the platform's port is chosen if none is configured.
	minFreePort = 15_000
	maxFreePort = 32_000
	// freeAttempts is the number of platform ports to try.
	freeAttempts = 100
)

// plan holds the addresses of the platform and the targets, and those of the daemons by daemon.
type plan struct {
	platform string
	targets  []string
	callers  []string
	peers    []string
	admins   []string
}

// newPlan assigns addresses from the platform's port on; it chooses free ports if port is 0.
func newPlan(port, daemons int) (*plan, error) {
	if port == 0 {
		return freePlan(daemons)
	}
	return &plan{
		platform: address(port),
		targets:  addresses(port+targetOffset, trial.TargetCount),
		callers:  addresses(port+callerOffset, daemons),
		peers:    addresses(port+peerOffset, daemons),
		admins:   addresses(port+adminOffset, daemons),
	}, nil
}

func addresses(firstPort, n int) []string {
	var out []string
	for i := range n {
		out = append(out, address(firstPort+i))
	}
	return out
}

// freePlan chooses ports on which no process listens, below the range of ephemeral ports.
//
// The daemons' ports stay unused until the daemons start, and the system must not assign them to another process meanwhile.
func freePlan(daemons int) (*plan, error) {
	var lastErr error
	for range freeAttempts {
		p, err := newPlan(minFreePort+rand.N(maxFreePort-minFreePort), daemons)
		if err != nil {
			return nil, err
		}
		if lastErr = p.checkFree(); lastErr == nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("find free ports: %w", lastErr)
}

// checkFree listens on each address and closes the listener again; it fails if an address is in use.
func (p *plan) checkFree() error {
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

// writeFiles writes the token key and the settings of each daemon into dir; url is the platform's.
func (p *plan) writeFiles(dir, url string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	key := make([]byte, keySize)
	if _, err := crand.Read(key); err != nil {
		return fmt.Errorf("generate token key: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, KeyFile), key, 0o600); err != nil {
		return fmt.Errorf("write token key: %w", err)
	}
	for i := range p.callers {
		if err := os.WriteFile(p.settingsFile(dir, i), []byte(p.formatSettings(dir, url, i)), 0o644); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}

func (p *plan) settingsFile(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("entry-%d.ini", i+1))
}

func (p *plan) formatSettings(dir, url string, i int) string {
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

// printInstructions prints how to run the daemons and which addresses they listen on.
func (p *plan) printInstructions(dir, url string, printLine func(string)) {
	printLine("platform: " + url)
	printLine("run each in a terminal of its own:")
	for i := range p.callers {
		printLine("  cactusfork serve --settings " + p.settingsFile(dir, i))
	}
	printLine("callers: " + strings.Join(p.callers, " ") + " (user precios, database precios, no password)")
	printLine("admin: " + strings.Join(p.admins, ","))
	printLine("serving until interrupted")
}
