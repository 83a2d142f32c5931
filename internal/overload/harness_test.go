package overload

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	// readyTimeout bounds the start of a daemon and the wait for an ordinary request behind a load.
	readyTimeout = 30 * time.Second
	// askTimeout bounds one ordinary request.
	askTimeout = 4 * time.Second
	// sampleInterval is the time between two looks at the process.
	sampleInterval = 20 * time.Millisecond
	// logTail is how much of the daemon's log a failed test shows.
	logTail  = 2 << 10
	mebibyte = 1 << 20
	// largeRow is the size of the row under the item "large". A statement or a row with its keywords stays under the limit of 1 MiB.
	largeRow = 900_000
)

// binary is the path of the program, built without the race detector, whose memory is a multiple.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "cactusfork")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/cactusfork/cactusfork").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Uint32

// freeAddress returns a port on a loopback address of its own.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 100+n/250%100, 2+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// process is a daemon that runs as a process of its own.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   string
	// descriptors is the most that were open at a look.
	descriptors atomic.Int64

	caller, peer, health, mirror, metrics string
}

// startProcess starts the program with the arguments.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, ended: make(chan struct{}), log: filepath.Join(t.TempDir(), name+".log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // a test that finds the process ended fails
		_ = out.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		<-p.ended
	})
	go p.sample()
	return p
}

// sample records the most descriptors until the process ends.
func (p *process) sample() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(entries))))
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// memory returns a line of the process's status, in MiB.
func (p *process) memory(line string) float64 {
	p.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("%s: read status: %v", p.name, err)
	}
	for _, l := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(l, line+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				p.t.Fatal(err)
			}
			return float64(kb) / 1024
		}
	}
	p.t.Fatalf("%s: got no %s in its status", p.name, line)
	return 0
}

// check verifies that the process has stayed within the bounds and that ask, an ordinary request, succeeds.
func (p *process) check(memory, descriptors int, ask func() string) {
	p.t.Helper()
	if !p.alive() {
		p.t.Fatalf("%s: process has ended, want it alive; its log ends with %s", p.name, p.tail())
	}
	reply, answered := "", false
	start := time.Now()
	for time.Since(start) < readyTimeout && p.alive() {
		if reply = ask(); reply == "" {
			answered = true
			break
		}
		time.Sleep(sampleInterval)
	}
	if !p.alive() {
		p.t.Fatalf("%s: process has ended, want it alive; its log ends with %s", p.name, p.tail())
	}
	peak, now, open := p.memory("VmHWM"), p.memory("VmRSS"), int(p.descriptors.Load())
	p.t.Logf("%s: peak resident %.0f MiB, resident %.0f MiB, descriptors %d, answered afterwards %t", p.name, peak, now, open, answered)
	if peak > float64(memory) {
		p.t.Errorf("%s: got %.0f MiB resident at the peak, want at most %d", p.name, peak, memory)
	}
	if open > descriptors {
		p.t.Errorf("%s: got %d descriptors, want at most %d", p.name, open, descriptors)
	}
	if !answered {
		p.t.Errorf("%s: got %q for an ordinary request afterwards, want it answered", p.name, reply)
	}
}

func (p *process) tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTail):])
}

// fleet is a stand-in platform with one group of three targets.
type fleet struct {
	t     *testing.T
	store *standin.Store
	group *standin.Group
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	f.store.SetConfig(standin.Config(1, "g", "entries", "lookups"))
	g, err := standin.NewGroup(t.Context(), f.store, "g", 3)
	if err != nil {
		t.Fatal(err)
	}
	f.group = g
	t.Cleanup(g.Close)
	return f
}

// start starts an edge daemon and waits until it serves an ordinary request.
func (f *fleet) start(id string, memory, descriptors int) *process {
	f.t.Helper()
	var a [5]string
	for i := range a {
		a[i] = freeAddress(f.t)
	}
	file := filepath.Join(f.t.TempDir(), id+".ini")
	text := fmt.Sprintf("[daemon]\nid = %s\ndata-centre = here\ncaller-address = %s\npeer-address = %s\nhealth-address = %s\nmirror-address = %s\nmetrics-address = %s\n\n"+
		"[platform]\nstore-address = %s\nduty-address = %s\n\n[limits]\nmemory-mb = %d\ndescriptors = %d\n",
		id, a[0], a[1], a[2], a[3], a[4], f.store.Address(), f.store.Address(), memory, descriptors)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := startProcess(f.t, id, "edge", "--settings", file)
	p.caller, p.peer, p.health, p.mirror, p.metrics = a[0], a[1], a[2], a[3], a[4]
	p.await(p.ask)
	return p
}

// await waits until ask succeeds for the first time.
func (p *process) await(ask func() string) {
	p.t.Helper()
	reply := ""
	for start := time.Now(); time.Since(start) < readyTimeout && p.alive(); time.Sleep(sampleInterval) {
		if reply = ask(); reply == "" {
			return
		}
	}
	p.t.Fatalf("%s: got %q before the load, want it to serve; its log ends with %s", p.name, reply, p.tail())
}

// ask makes an ordinary request to an edge daemon and returns "" if it was answered.
func (p *process) ask() string {
	c, reply := standin.Connect(p.t.Context(), p.caller, "entries", askTimeout)
	if c == nil {
		return "startup: " + reply
	}
	defer c.Close()
	if reply = c.Query("READ a"); !standin.HasRow(reply, "") {
		return "read: " + reply
	}
	return ""
}

// storeLargeRow writes the item "large", whose row has largeRow bytes.
func (p *process) storeLargeRow() {
	p.t.Helper()
	reply := ""
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(sampleInterval) {
		c, failed := standin.Connect(p.t.Context(), p.caller, "entries", askTimeout)
		if c == nil {
			reply = failed
			continue
		}
		reply = c.Query("WRITE large " + strings.Repeat("r", largeRow))
		c.Close()
		if standin.Completed(reply) {
			return
		}
	}
	p.t.Fatalf("%s: got %q for the write of a large row, want it completed", p.name, reply[:min(len(reply), 200)])
}

// swarm opens n connections to an address and calls each on its own; all end within length, and are closed then.
func swarm(t *testing.T, n int, address string, length time.Duration, each func(ctx context.Context, i int, c net.Conn)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return // refused, as the daemon may
			}
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			defer func() { _ = c.Close() }()
			each(ctx, i, c)
		})
	}
	work.Wait()
}

// linger waits until the swarm ends or the daemon closes the connection.
func linger(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// wait sleeps unless the swarm ends before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startEdgeSession sends the startup message and reads its reply.
func startEdgeSession(c net.Conn) bool {
	if _, err := io.WriteString(c, "STARTUP entries someone\r\n"); err != nil {
		return false
	}
	return readReply(c) == nil
}

// readReply reads a reply to its end. It keeps only the last bytes, which may hold a part of a keyword.
func readReply(c net.Conn) error {
	var got bytes.Buffer
	block := make([]byte, 4<<10)
	for {
		n, err := c.Read(block)
		if err != nil {
			return err
		}
		got.Write(block[:n])
		text := got.Bytes()
		if i := bytes.Index(text, []byte("READY")); i >= 0 && bytes.IndexByte(text[i:], '\n') > 0 {
			return nil
		}
		if bytes.Contains(text, []byte("ERROR ")) {
			return errRefused
		}
		if got.Len() > 64<<10 {
			tail := append([]byte(nil), text[got.Len()-64:]...)
			got.Reset()
			got.Write(tail)
		}
	}
}

var errRefused = errors.New("refused")

// dribble writes b in pieces with a pause behind each.
func dribble(ctx context.Context, c net.Conn, b []byte, piece int, pause time.Duration) bool {
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		if !wait(ctx, pause) {
			return false
		}
	}
	return true
}

// readSlowly reads a piece at each pause until the connection ends.
func readSlowly(ctx context.Context, c net.Conn, piece int, pause time.Duration) {
	b := make([]byte, piece)
	for {
		if _, err := c.Read(b); err != nil || !wait(ctx, pause) {
			return
		}
	}
}

// shrinkWindow makes the kernel receive little ahead of the reader.
func shrinkWindow(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10) // the load is only smaller without it
	}
}
