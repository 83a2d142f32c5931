package socket

import (
	"container/list"
	"fmt"
	"net"
	"sync"
)

// LimitedListener keeps at most limit of its connections open.
type LimitedListener struct {
	net.Listener
	limit int
	// onClose is called for each connection that was closed for another one.
	onClose func()

	mu sync.Mutex
	// open holds the connections in the order in which they were accepted.
	open *list.List
}

// LimitListener returns a listener that keeps at most limit of its connections open. It closes the oldest one in favour of a new one,
// so that connections that stay open without a request keep nobody out.
func LimitListener(l net.Listener, limit int, onClose func()) *LimitedListener {
	return &LimitedListener{Listener: l, limit: limit, onClose: onClose, open: list.New()}
}

// Len returns the number of open connections.
func (l *LimitedListener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.Len()
}

// Accept waits for the next connection.
func (l *LimitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	c := &limitedConn{Conn: conn, listener: l}
	l.mu.Lock()
	var oldest *limitedConn
	if l.open.Len() >= l.limit {
		oldest, _ = l.open.Front().Value.(*limitedConn)
	}
	c.place = l.open.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // it may be closed already
		l.onClose()
	}
	return c, nil
}

// limitedConn is a connection of a LimitedListener.
type limitedConn struct {
	net.Conn
	listener *LimitedListener
	// place is nil once the connection is closed; the listener's mu guards it.
	place *list.Element
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	if c.place != nil {
		l.open.Remove(c.place)
		c.place = nil
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
