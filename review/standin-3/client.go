package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	n    int
	name string
}

// connect opens a session and returns its answer, "READY ..." if it is open.
func connect(address, database, name string) (*client, string) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, "no connection: " + err.Error()
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), name: name}
	answer := c.send(fmt.Sprintf("STARTUP %s %s", database, name), 2*time.Second)
	if !strings.HasPrefix(answer, "READY") {
		c.close()
		return nil, answer
	}
	return c, answer
}

func (c *client) close() { _ = c.conn.Close() }

// query runs one statement and returns the lines of the answer.
func (c *client) query(text string) string {
	c.n++
	return c.send(fmt.Sprintf("QUERY %s-%d %s", c.name, c.n, text), 4*time.Second)
}

func (c *client) send(line string, limit time.Duration) string {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", line); err != nil {
		return "broken: " + err.Error()
	}
	var all []string
	for {
		got, err := c.in.ReadString('\n')
		if err != nil {
			return strings.Join(append(all, "broken: "+err.Error()), " | ")
		}
		got = strings.TrimRight(got, "\r\n")
		all = append(all, got)
		if strings.HasPrefix(got, "READY") || strings.HasPrefix(got, "ERROR") && strings.HasPrefix(line, "STARTUP") {
			return strings.Join(all, " | ")
		}
	}
}
