package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// service is a primary and its replicas. A replica receives each commit, in order, some milliseconds behind the primary.
type service struct {
	name string
	// lag is how long a commit takes to a replica.
	lag time.Duration
	// sync is how many replicas must have received a commit before it is acknowledged.
	sync int
	rec  *record

	mu      sync.Mutex
	members []*member
}

// member is one database server.
type member struct {
	id   string
	zone string
	s    *service
	l    net.Listener

	// s.mu guards the rest.
	primary  bool
	draining bool
	term     int
	// log holds the commits, each with its term; applied is how many of them reads see.
	log      []commit
	sequence int
	conns    map[net.Conn]struct{}
	runs     int
}

// commit is one commit in a log.
type commit struct {
	term  int
	id    string
	items map[string]string
}

func newService(name string, lag time.Duration, rec *record) *service {
	return &service{name: name, lag: lag, rec: rec}
}

func (s *service) add(id, zone string, primary bool) (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{id: id, zone: zone, s: s, l: l, primary: primary, term: 1, conns: map[net.Conn]struct{}{}}
	s.mu.Lock()
	for _, o := range s.members {
		if o.primary {
			m.term, m.log = o.term, append([]commit(nil), o.log...)
		}
	}
	s.members = append(s.members, m)
	s.mu.Unlock()
	go m.accept()
	return m, nil
}

// entry returns what the member reports to the store.
func (m *member) entry() map[string]any {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.sequence++
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	return map[string]any{
		"Service": m.s.name, "Address": m.l.Addr().String(), "Zone": m.zone, "Version": "v1", "Capacity": 5, "State": state,
		"WarmupLeftMs": 0, "DbRole": role, "Sequence": m.sequence, "born": started.UnixMilli(),
	}
}

var started = time.Now()

func (m *member) accept() {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		m.s.mu.Lock()
		m.conns[c] = struct{}{}
		m.s.mu.Unlock()
		go m.serve(c)
	}
}

// session is one connection to a member.
type session struct {
	state    string
	plain    bool
	term     int
	writes   map[string]string
	prepared map[string]string
}

func splitLine(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\r\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	return 0, nil, nil
}

func (m *member) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		m.s.mu.Lock()
		delete(m.conns, c)
		m.s.mu.Unlock()
	}()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 4096), 1<<20+2)
	in.Split(splitLine)
	s := &session{state: "I", prepared: map[string]string{}}
	if !in.Scan() {
		return
	}
	f := strings.SplitN(in.Text(), " ", 4)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != m.s.name || len(f) == 4 && f[3] != m.id {
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	if _, err := fmt.Fprint(c, m.ready(s)); err != nil {
		return
	}
	for in.Scan() {
		f := strings.SplitN(in.Text(), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		reply, wait := m.run(s, f[1], f[2])
		time.Sleep(wait)
		if _, err := fmt.Fprint(c, reply); err != nil {
			return
		}
	}
}

func (m *member) ready(s *session) string {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.readyLocked(s)
}

func (m *member) readyLocked(s *session) string {
	return fmt.Sprintf("READY %s %d.%d\r\n", s.state, m.term, len(m.log))
}

// run runs one statement and returns the reply, and how long the work takes.
func (m *member) run(s *session, id, text string) (string, time.Duration) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	body, work := m.execute(s, id, text)
	return body + m.readyLocked(s), work
}

const workTime = 5 * time.Millisecond

func (m *member) execute(s *session, id, text string) (string, time.Duration) {
	if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
		point, after, _ := strings.Cut(rest, " ")
		t, n, _ := strings.Cut(point, ".")
		term, _ := strconv.Atoi(t)
		number, _ := strconv.Atoi(n)
		if term > m.term || number > len(m.log) {
			return "ERROR LAGGING " + m.id + "\r\n", 0
		}
		text = after
	}
	if s.state == "E" && text != "ROLLBACK" {
		return "ERROR MALFORMED\r\n", 0
	}
	verb, rest, _ := strings.Cut(text, " ")
	done := fmt.Sprintf("COMPLETE %s.%s\r\n", m.id, id)
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		kind, ok := s.prepared[name]
		if !ok {
			return "ERROR NOSTMT " + name + "\r\n", 0
		}
		verb, rest = kind, args
	}
	if s.state == "T" && s.plain && verb != "ROLLBACK" && !(verb == "COMMIT" && len(s.writes) == 0) && (!m.primary || m.term != s.term) {
		s.state = "E"
		return "ERROR READONLY " + m.id + "\r\n", 0
	}
	item, data, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		plain := rest != "READ"
		if plain && !m.primary {
			return "ERROR READONLY " + m.id + "\r\n", 0
		}
		s.state, s.plain, s.term, s.writes = "T", plain, m.term, map[string]string{}
	case "ROLLBACK":
		s.state = "I"
	case "COMMIT":
		s.state = "I"
		if len(s.writes) > 0 {
			m.commit(id, s.writes)
		}
		return done, workTime
	case "READ":
		m.runs++
		value := "none"
		for _, c := range m.log {
			if v, ok := c.items[item]; ok {
				value = v
			}
		}
		if v, ok := s.writes[item]; ok && s.state == "T" {
			value = v
		}
		m.s.rec.write("member %s ran %s READ %s", m.id, id, item)
		return "DATAROW " + value + "\r\n" + done, workTime
	case "WRITE":
		if !m.primary {
			return "ERROR READONLY " + m.id + "\r\n", 0
		}
		m.s.rec.write("member %s ran %s WRITE %s", m.id, id, item)
		if s.state == "T" {
			s.writes[item] = data
		} else {
			m.commit(id, map[string]string{item: data})
		}
		return done, workTime
	case "PREPARE":
		kind, _, _ := strings.Cut(data, " ")
		s.prepared[item] = kind
	case "DEALLOC":
		delete(s.prepared, item)
	case "RESET":
		clear(s.prepared)
	case "STATUS":
		role := "replica"
		if m.primary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\nCOMPLETE -\r\n", role, m.term, m.term, len(m.log), m.term, len(m.conns)), 0
	}
	return "COMPLETE -\r\n", 0
}

// commit appends to the log, and sends the commit to the replicas.
func (m *member) commit(id string, items map[string]string) {
	c := commit{term: m.term, id: id, items: items}
	m.log = append(m.log, c)
	n := len(m.log)
	time.AfterFunc(m.s.lag, func() {
		m.s.mu.Lock()
		defer m.s.mu.Unlock()
		for _, r := range m.s.members {
			if r != m && r.term == c.term && len(r.log) < n {
				r.log = append(r.log, m.log[len(r.log):n]...)
			}
		}
	})
}
