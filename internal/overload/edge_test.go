package overload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// allSizes are the memories of the deployments' VMs, in MiB.
var allSizes = []int{136, 184, 284, 536}

const (
	// edgeDescriptors is the setting of the loads that hold fewer sessions than it allows.
	edgeDescriptors = 1400
	// fewDescriptors is the setting of the loads that open more connections than it allows.
	fewDescriptors = 900
	// fillMemory is the memory of the daemons of fillStore, in MiB.
	fillMemory = 136
)

// edgeLoad is a load on one edge daemon.
type edgeLoad struct {
	name string
	// sizes are the memories, in MiB, with which the load runs.
	sizes []int
	// descriptors is the setting of the daemon.
	descriptors int
	run         func(t *testing.T, f *fleet, p *process)
}

// query returns a statement of 1 MiB, which is the limit, without its end.
func query(verb string) []byte {
	head := "QUERY q1 " + verb + " "
	return []byte(head + strings.Repeat("x", mebibyte-len(head)))
}

// Guards against messages, replies, session values, sessions, HTTP requests or objects of the store that grow the process beyond the
// memory or the descriptors of its VM, or that leave it unable to serve ordinary callers.
func TestEdgeStaysWithinItsSettings(t *testing.T) {
	loads := []edgeLoad{
		{"large messages in one piece", allSizes, edgeDescriptors, sendLargeMessages},
		{"large messages in small pieces that stop", allSizes, edgeDescriptors, sendPartialMessages},
		{"messages over the limit", []int{136}, edgeDescriptors, sendOversizedMessages},
		{"startup messages that do not end", []int{184}, edgeDescriptors, sendEndlessStartups},
		{"pipelined statements with unread replies", []int{136}, edgeDescriptors, pipelineUnread},
		{"slow readers", allSizes, edgeDescriptors, readRepliesSlowly},
		{"many large values and prepared statements", []int{136, 536}, edgeDescriptors, setLargeValues},
		{"sessions beyond the descriptors", []int{136}, fewDescriptors, openTooManySessions},
		{"partial messages and unread replies between daemons", []int{184}, edgeDescriptors, loadPeerPort},
		{"slow and large requests over HTTP", []int{136}, fewDescriptors, loadHTTPPorts},
		{"large and many objects in the store", []int{fillMemory}, edgeDescriptors, fillStore},
	}
	for _, l := range loads {
		for _, memory := range l.sizes {
			t.Run(fmt.Sprintf("%s/%d", l.name, memory), func(t *testing.T) {
				f := newFleet(t)
				p := f.start("edge-1", memory, l.descriptors)
				l.run(t, f, p)
				p.check(memory, l.descriptors, p.ask)
			})
		}
	}
}

// sendLargeMessages has 500 sessions send three statements of 1 MiB each, in one piece, and read the replies.
func sendLargeMessages(t *testing.T, _ *fleet, p *process) {
	statement := append(query("READ a"), "\r\n"...)
	swarm(t, 500, p.caller, 4*time.Second, func(_ context.Context, _ int, c net.Conn) {
		if !startEdgeSession(c) {
			return
		}
		for range 3 {
			if _, err := c.Write(statement); err != nil {
				return
			}
			if readReply(c) != nil {
				return
			}
		}
	})
}

// sendPartialMessages has 500 sessions send a statement of 1 MiB in small pieces and stop before its end.
func sendPartialMessages(t *testing.T, _ *fleet, p *process) {
	statement := query("READ a")
	swarm(t, 500, p.caller, 4*time.Second, func(ctx context.Context, _ int, c net.Conn) {
		if startEdgeSession(c) && dribble(ctx, c, statement, 32<<10, 50*time.Millisecond) {
			linger(c)
		}
	})
}

// sendOversizedMessages has 200 sessions send 8 MiB without the end of a message.
func sendOversizedMessages(t *testing.T, _ *fleet, p *process) {
	block := bytes.Repeat([]byte("x"), mebibyte)
	swarm(t, 200, p.caller, 5*time.Second, func(_ context.Context, _ int, c net.Conn) {
		if !startEdgeSession(c) {
			return
		}
		_, _ = io.WriteString(c, "QUERY q1 READ a ") // a closed connection fails below
		for range 8 {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
		linger(c)
	})
}

// sendEndlessStartups has 400 connections send nearly 1 MiB of a startup message, and a second time once they were closed.
func sendEndlessStartups(t *testing.T, _ *fleet, p *process) {
	startup := []byte("STARTUP " + strings.Repeat("x", mebibyte-200))
	for range 2 {
		swarm(t, 400, p.caller, 3*time.Second, func(_ context.Context, _ int, c net.Conn) {
			if _, err := c.Write(startup); err == nil {
				linger(c)
			}
		})
	}
}

// pipelineUnread has 150 sessions send 2,000 statements with large replies and read none.
func pipelineUnread(t *testing.T, _ *fleet, p *process) {
	p.storeLargeRow()
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, "QUERY q%d READ large\r\n", i)
	}
	swarm(t, 150, p.caller, 6*time.Second, func(ctx context.Context, _ int, c net.Conn) {
		shrinkWindow(c)
		if !startEdgeSession(c) {
			return
		}
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		<-ctx.Done()
	})
}

// readRepliesSlowly has 200 sessions ask for large rows with statements of 1 MiB and read the replies at about 40 KB/s.
func readRepliesSlowly(t *testing.T, _ *fleet, p *process) {
	p.storeLargeRow()
	statement := append(query("READ large"), "\r\n"...)
	swarm(t, 200, p.caller, 6*time.Second, func(ctx context.Context, _ int, c net.Conn) {
		shrinkWindow(c)
		if !startEdgeSession(c) {
			return
		}
		go readSlowly(ctx, c, 2<<10, 50*time.Millisecond)
		for range 8 {
			if _, err := c.Write(statement); err != nil {
				return
			}
		}
		<-ctx.Done()
	})
}

// setLargeValues has 100 sessions each set 80 values and prepare 80 statements of 60 KB, and stay open.
func setLargeValues(t *testing.T, _ *fleet, p *process) {
	large := strings.Repeat("v", 60_000)
	swarm(t, 100, p.caller, 4*time.Second, func(_ context.Context, _ int, c net.Conn) {
		if !startEdgeSession(c) {
			return
		}
		for i := range 80 {
			for _, text := range []string{fmt.Sprintf("SET v%d %s", i, large), fmt.Sprintf("PREPARE p%d READ a %d%s", i, i, large)} {
				if _, err := fmt.Fprintf(c, "QUERY q%d %s\r\n", i, text); err != nil {
					return
				}
				if readReply(c) != nil {
					linger(c)
					return
				}
			}
		}
		linger(c)
	})
}

// openTooManySessions has 500 connections stay half open on each port, and 500 sessions idle.
func openTooManySessions(t *testing.T, _ *fleet, p *process) {
	hold := func(address string, start func(c net.Conn)) func(t *testing.T) {
		return func(t *testing.T) {
			t.Helper()
			swarm(t, 500, address, 4*time.Second, func(_ context.Context, _ int, c net.Conn) {
				start(c)
				linger(c)
			})
		}
	}
	nothing := func(net.Conn) {}
	together(t,
		hold(p.caller, func(c net.Conn) { startEdgeSession(c) }), hold(p.caller, nothing), hold(p.peer, nothing),
		hold(p.health, nothing), hold(p.mirror, nothing), hold(p.metrics, nothing),
	)
}

// loadPeerPort has 200 connections of the port between daemons send a statement of 1 MiB without its end, and 200 leave large replies unread.
func loadPeerPort(t *testing.T, _ *fleet, p *process) {
	p.storeLargeRow()
	statement := query("READ a")
	start := func(c net.Conn) bool {
		if _, err := io.WriteString(c, "STARTUP entries cactusfork\r\n"); err != nil {
			return false
		}
		return readReply(c) == nil
	}
	together(t, func(t *testing.T) {
		t.Helper()
		swarm(t, 200, p.peer, 6*time.Second, func(_ context.Context, _ int, c net.Conn) {
			if !start(c) {
				return
			}
			if _, err := c.Write(statement); err == nil {
				linger(c)
			}
		})
	}, func(t *testing.T) {
		t.Helper()
		swarm(t, 200, p.peer, 6*time.Second, func(ctx context.Context, _ int, c net.Conn) {
			shrinkWindow(c)
			if !start(c) {
				return
			}
			if _, err := io.WriteString(c, strings.Repeat("QUERY q1 READ large\r\n", 100)); err == nil {
				<-ctx.Done()
			}
		})
	})
}

// loadHTTPPorts has 150 connections of each HTTP port send a large header without its end, and 150 a body without its end.
func loadHTTPPorts(t *testing.T, _ *fleet, p *process) {
	header := "GET /-/readyz HTTP/1.1\r\nHost: a\r\nX-Large: " + strings.Repeat("x", 900_000)
	var loads []func(t *testing.T)
	for _, address := range []string{p.health, p.metrics, p.mirror} {
		loads = append(loads, func(t *testing.T) {
			t.Helper()
			swarm(t, 150, address, 4*time.Second, func(_ context.Context, _ int, c net.Conn) {
				if _, err := io.WriteString(c, header); err == nil {
					linger(c)
				}
			})
		}, func(t *testing.T) {
			t.Helper()
			path := "/"
			if address == p.mirror {
				path = "/cactusfork.mirror.v1.MirrorService/Read"
			}
			head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: 50000000\r\n\r\n"
			block := bytes.Repeat([]byte("b"), 64<<10)
			swarm(t, 150, address, 4*time.Second, func(_ context.Context, _ int, c net.Conn) {
				if _, err := io.WriteString(c, head); err != nil {
					return
				}
				for range 32 {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
				linger(c)
			})
		})
	}
	together(t, loads...)
}

// fillStore writes 200 objects of 1 MB and 600 small ones beside the targets' entries, and starts a second daemon, which lists them.
func fillStore(t *testing.T, f *fleet, p *process) {
	large := strings.Repeat("o", 1_000_000)
	for i := range 200 {
		f.store.SetTarget(fmt.Sprintf("large-%d", i), map[string]any{"Service": "other", "Comment": large})
	}
	for i := range 600 {
		f.store.SetTarget(fmt.Sprintf("small-%d", i), map[string]any{"Service": fmt.Sprint("s", i), "Address": "127.0.0.1:1", "State": "resting"})
	}
	f.store.DropHistory()
	q := f.start("edge-2", fillMemory, edgeDescriptors)
	time.Sleep(4 * time.Second) // a watch and a list of the first daemon
	q.check(fillMemory, edgeDescriptors, q.ask)
}

// together runs loads at the same time.
func together(t *testing.T, loads ...func(t *testing.T)) {
	t.Helper()
	done := make(chan struct{})
	for _, l := range loads {
		go func() {
			defer func() { done <- struct{}{} }()
			l(t)
		}()
	}
	for range loads {
		<-done
	}
}
