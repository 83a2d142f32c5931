package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is a session of a client.
type client struct {
	name   string
	conn   net.Conn
	in     *bufio.Reader
	record *record
	id     string
}

// connect opens a session. The error tells what was answered in place of READY.
func connect(name, address, database string, rec *record) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, in: bufio.NewReader(conn), record: rec}
	if reply := c.send("STARTUP "+database+" "+name, 2*time.Second); !strings.HasPrefix(reply, "READY I") {
		c.close()
		return nil, fmt.Errorf("startup: %s", reply)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// query sends one statement under a new id, and returns the lines of the reply, joined by "|". A reply that ends early ends
// with "broken: " and the error.
func (c *client) query(text string, wait time.Duration) string {
	c.id = newID()
	return c.send("QUERY "+c.id+" "+text, wait)
}

func (c *client) send(line string, wait time.Duration) string {
	c.record.add(c.name, "sends "+line)
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	var lines []string
	_, err := c.conn.Write([]byte(line + "\r\n"))
	for err == nil {
		var l string
		if l, err = readLine(c.in); err == nil {
			lines = append(lines, l)
			if strings.HasPrefix(l, "READY") || strings.HasPrefix(line, "STARTUP") && strings.HasPrefix(l, "ERROR") {
				break
			}
		}
	}
	if err != nil {
		lines = append(lines, "broken: "+err.Error())
	}
	reply := strings.Join(lines, "|")
	c.record.add(c.name, "gets "+reply)
	return reply
}

// completed reports whether a reply is a success.
func completed(reply string) bool {
	return strings.HasPrefix(reply, "COMPLETE") || strings.Contains(reply, "|COMPLETE") && !strings.Contains(reply, "ERROR")
}
