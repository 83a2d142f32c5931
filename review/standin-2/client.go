package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// session is a client's connection.
type session struct {
	c    net.Conn
	in   *bufio.Reader
	name string
	rec  *record
	// sent is called before the first byte of a statement, and answered after the last byte of its answer; both may be nil.
	sent     func(id string)
	answered func(id string, completed bool)
	// delay is how long each message takes in addition.
	delay time.Duration
}

var serial atomic.Uint64

// open opens a session.
func open(r *record, address, database, user string) (*session, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{c: c, in: bufio.NewReader(c), name: user, rec: r}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, user); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := s.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("startup: %q %v", line, err)
	}
	return s, nil
}

// query sends a statement and returns the lines of its answer, the last one without its READY.
func (s *session) query(text string, wait time.Duration) (id string, answer []string, err error) {
	id = fmt.Sprintf("q%06x", serial.Add(1))
	s.rec.add("%s sends %s %s", s.name, id, text)
	_ = s.c.SetDeadline(time.Now().Add(wait))
	if s.sent != nil {
		s.sent(id)
	}
	time.Sleep(s.delay)
	if _, err = fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text); err != nil {
		return id, nil, err
	}
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			s.rec.add("%s gets no answer to %s: %v", s.name, id, err)
			return id, answer, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if strings.HasPrefix(line, "READY") {
			time.Sleep(s.delay)
			if s.answered != nil {
				s.answered(id, len(answer) > 0 && strings.HasPrefix(answer[len(answer)-1], "COMPLETE"))
			}
			s.rec.add("%s gets %s for %s", s.name, strings.Join(answer, " | "), id)
			return id, answer, nil
		}
		answer = append(answer, line)
	}
}

// readers starts n clients at an address that read with pauses of the given mean until stop is closed.
func readers(r *record, address, database, prefix string, n int, pause time.Duration, stop <-chan struct{}) {
	for i := range n {
		go func() {
			name := fmt.Sprintf("%s-%d", prefix, i)
			var s *session
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
				}
				if s == nil {
					var err error
					if s, err = open(r, address, database, name); err != nil {
						continue
					}
				}
				if _, _, err := s.query(fmt.Sprintf("READ i%d", rand.IntN(100)), 3*time.Second); err != nil {
					_ = s.c.Close()
					s = nil
				}
			}
		}()
	}
}

// writers starts n clients that write.
func writers(r *record, address, database, prefix string, n int, pause time.Duration, stop <-chan struct{}) {
	for i := range n {
		go func() {
			name := fmt.Sprintf("%s-%d", prefix, i)
			var s *session
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
				}
				if s == nil {
					var err error
					if s, err = open(r, address, database, name); err != nil {
						continue
					}
				}
				if _, _, err := s.query(fmt.Sprintf("WRITE i%d v%d", rand.IntN(100), serial.Load()), 3*time.Second); err != nil {
					_ = s.c.Close()
					s = nil
				}
			}
		}()
	}
}
