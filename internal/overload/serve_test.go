package overload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// serveMemory bounds a daemon with the default settings, in MiB. The command has no setting for its memory in f5372a6.
	serveMemory = 284
	// serveConnections is the setting for callers, and serveDescriptors bounds the descriptors of the process. It leaves 60 for the
	// connections to targets, the platform and other daemons and 16 for callers without a session.
	serveConnections = 300
	serveDescriptors = 400
)

// startServe starts the stand-ins and one daemon with the default settings, and waits until it serves an ordinary request.
func startServe(t *testing.T) *process {
	t.Helper()
	dir := t.TempDir()
	standIns := exec.Command(binary, "stand-ins", "--dir", dir, "--port", "0", "--daemons", "1")
	if err := standIns.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = standIns.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = standIns.Wait()
	})
	file := filepath.Join(dir, "entry-1.ini")
	var text string
	for start := time.Now(); !strings.Contains(text, "timeline-file"); time.Sleep(sampleInterval) {
		if time.Since(start) > readyTimeout {
			t.Fatal("got no settings file from the stand-ins, want one")
		}
		b, _ := os.ReadFile(file) // a file that is not there yet is read again
		text = string(b)
	}
	text = strings.Replace(text, "[callers]", fmt.Sprintf("[callers]\nconnections = %d", serveConnections), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "entry-1", "serve", "--settings", file)
	for _, line := range strings.Split(text, "\n") {
		key, value, _ := strings.Cut(line, " = ")
		switch key {
		case "caller-address":
			p.caller = value
		case "peer-address":
			p.peer = value
		case "admin-address":
			p.health = value
		}
	}
	p.await(p.askServe)
	return p
}

// askServe makes an ordinary request to a daemon of the other codec and returns "" if it was answered.
func (p *process) askServe() string {
	c, err := net.DialTimeout("tcp", p.caller, askTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(askTimeout)) // a closed connection fails below
	f, err := startServeSession(c)
	if err != nil {
		return "startup: " + err.Error()
	}
	f.Send(&pgproto3.Query{String: "SELECT count(*) FROM quotes /*request='lot.read'*/"})
	if err := f.Flush(); err != nil {
		return err.Error()
	}
	if err := awaitReady(f); err != nil {
		return "read: " + err.Error()
	}
	return ""
}

// startServeSession logs in as the walk-through does.
func startServeSession(c net.Conn) (*pgproto3.Frontend, error) {
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "precios", "database": "precios"}})
	if err := f.Flush(); err != nil {
		return nil, err
	}
	return f, awaitReady(f)
}

// awaitReady reads a reply to its end.
func awaitReady(f *pgproto3.Frontend) error {
	for {
		m, err := f.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("%s %s: %w", m.Code, m.Message, errRefused)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// serveSwarm is swarm on sessions of the other codec.
func serveSwarm(n int, length time.Duration, each func(ctx context.Context, c net.Conn, f *pgproto3.Frontend)) func(t *testing.T, p *process) {
	return func(t *testing.T, p *process) {
		t.Helper()
		swarm(t, n, p.caller, length, func(ctx context.Context, _ int, c net.Conn) {
			shrinkWindow(c)
			if f, err := startServeSession(c); err == nil {
				each(ctx, c, f)
			}
		})
	}
}

// Guards against messages, exchanges, replies, prepared statements, sessions and requests to operators' and daemons' ports that grow a
// process of the command serve, or that leave it unable to serve ordinary callers.
func TestServeStaysWithinItsBounds(t *testing.T) {
	megabyte := strings.Repeat("x", mebibyte)
	loads := []struct {
		name string
		run  func(t *testing.T, p *process)
	}{
		{"large messages in one piece", serveSwarm(200, 5*time.Second, func(_ context.Context, _ net.Conn, f *pgproto3.Frontend) {
			for range 3 {
				f.Send(&pgproto3.Query{String: "SELECT 1 /*" + megabyte + "*/ /*request='lot.read'*/"})
				if f.Flush() != nil || awaitReady(f) != nil {
					return
				}
			}
		})},
		{"large messages in small pieces that stop", serveSwarm(280, 6*time.Second, func(ctx context.Context, c net.Conn, _ *pgproto3.Frontend) {
			// A query of 15 MiB is announced, and 4 MiB of it are sent.
			if _, err := c.Write([]byte{'Q', 0, 0xf0, 0, 0}); err != nil {
				return
			}
			for range 4 {
				if !dribble(ctx, c, []byte(megabyte), 256<<10, 100*time.Millisecond) {
					return
				}
			}
			linger(c)
		})},
		{"exchanges that do not end", serveSwarm(100, 6*time.Second, func(_ context.Context, c net.Conn, f *pgproto3.Frontend) {
			for range 8 {
				f.Send(&pgproto3.Parse{Query: "SELECT 1 /*" + megabyte + "*/"})
				if f.Flush() != nil {
					return
				}
			}
			linger(c)
		})},
		{"many large prepared statements", serveSwarm(60, 6*time.Second, func(_ context.Context, c net.Conn, f *pgproto3.Frontend) {
			for i := range 100 {
				f.Send(&pgproto3.Parse{Name: fmt.Sprint("p", i), Query: fmt.Sprintf("SELECT %d /*%s*/ /*request='lot.read'*/", i, megabyte[:60_000])})
				f.Send(&pgproto3.Sync{})
				if f.Flush() != nil || awaitReady(f) != nil {
					return
				}
			}
			linger(c)
		})},
		{"pipelined statements with unread replies", serveSwarm(150, 6*time.Second, func(ctx context.Context, _ net.Conn, f *pgproto3.Frontend) {
			for range 8 {
				f.Send(&pgproto3.Query{String: "SELECT hex(zeroblob(400000)) /*" + megabyte + "*/ /*request='lot.read'*/"})
				if f.Flush() != nil {
					return
				}
			}
			<-ctx.Done()
		})},
		{"slow readers", serveSwarm(250, 6*time.Second, func(ctx context.Context, c net.Conn, f *pgproto3.Frontend) {
			f.Send(&pgproto3.Query{String: "SELECT hex(zeroblob(400000)) /*" + megabyte + "*/ /*request='lot.read'*/"})
			if f.Flush() == nil {
				readSlowly(ctx, c, 2<<10, 50*time.Millisecond)
			}
		})},
		{"half-open and idle sessions beyond the connections", func(t *testing.T, p *process) {
			idle := func(t *testing.T) {
				t.Helper()
				serveSwarm(400, 5*time.Second, func(_ context.Context, c net.Conn, _ *pgproto3.Frontend) { linger(c) })(t, p)
			}
			var loads []func(t *testing.T)
			for _, address := range []string{p.caller, p.peer, p.health} {
				loads = append(loads, func(t *testing.T) {
					t.Helper()
					swarm(t, 400, address, 5*time.Second, func(_ context.Context, _ int, c net.Conn) { linger(c) })
				})
			}
			together(t, append(loads, idle)...)
		}},
		{"slow and large requests over HTTP", func(t *testing.T, p *process) {
			var loads []func(t *testing.T)
			for _, address := range []string{p.peer, p.health} {
				loads = append(loads, func(t *testing.T) {
					t.Helper()
					head := "GET /health HTTP/1.1\r\nHost: a\r\nX-Large: " + megabyte[:900_000]
					swarm(t, 200, address, 5*time.Second, func(_ context.Context, _ int, c net.Conn) {
						if _, err := io.WriteString(c, head); err == nil {
							linger(c)
						}
					})
				}, func(t *testing.T) {
					t.Helper()
					head := "POST /cactusfork.peer.v1.PeerService/Exchange HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: 50000000\r\n\r\n"
					swarm(t, 100, address, 5*time.Second, func(_ context.Context, _ int, c net.Conn) {
						if _, err := io.WriteString(c, head); err != nil {
							return
						}
						for range 8 {
							if _, err := io.WriteString(c, megabyte); err != nil {
								return
							}
						}
						linger(c)
					})
				})
			}
			together(t, loads...)
		}},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			p := startServe(t)
			l.run(t, p)
			p.check(serveMemory, serveDescriptors, func() string {
				if got := p.askServe(); got != "" {
					return got
				}
				return askHealth(p.health)
			})
		})
	}
}

// askHealth asks the operators' port of a daemon and returns "" if it was answered.
func askHealth(address string) string {
	client := http.Client{Timeout: askTimeout}
	res, err := client.Get("http://" + address + "/health")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return res.Status
	}
	return ""
}
