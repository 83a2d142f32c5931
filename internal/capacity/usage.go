package capacity

import (
	"fmt"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// usage is what this process has used since it started.
type usage struct {
	cpu    float64 // microseconds, all threads, user and system
	allocs float64
}

func used() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	cpu := micros(r.Utime) + micros(r.Stime)
	return usage{cpu: cpu, allocs: float64(m.Mallocs)}, nil
}

func micros(t syscall.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }

// during returns what the process uses while f runs; other work of the process counts too.
func during(f func() error) (usage, error) {
	runtime.GC()
	before, err := used()
	if err != nil {
		return usage{}, err
	}
	if err := f(); err != nil {
		return usage{}, err
	}
	after, err := used()
	return usage{cpu: after.cpu - before.cpu, allocs: after.allocs - before.allocs}, err
}

// repeated returns the processor time of one of n calls of f, in microseconds.
func repeated(n int, f func()) (float64, error) {
	u, err := during(func() error {
		for range n {
			f()
		}
		return nil
	})
	return u.cpu / float64(n), err
}

const (
	// settled is the least change of memory that counts as one, in bytes.
	settled = 1024
	// collections bounds how often memory is collected until it stands still.
	collections = 20
)

// held is the live heap and the stacks, in bytes, once collecting frees no more; buffers that are kept for reuse go with the second collection only.
func held() float64 {
	last := collected()
	for range collections {
		time.Sleep(5 * time.Millisecond)
		now := collected()
		if math.Abs(now-last) < settled {
			return now
		}
		last = now
	}
	return last
}

func collected() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// calm lets what the last measurement left behind end and be freed.
func calm() {
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		runtime.GC()
	}
}

// counted is a listener that counts the bytes of its connections in both directions.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, bytes: c.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
