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

// entry is one commit in a member's log.
type entry struct {
	at   time.Time
	item string
	data string
	id   string
}

// service is a primary with its replicas.
type service struct {
	name    string
	record  *record
	store   *store
	slots   int
	maxConn int
	work    time.Duration
	lag     time.Duration
	// sync is how many replicas must have received a commit before it is acknowledged.
	sync int
	// cutFrom reports whether the member is partitioned from the process that owns the other end of a connection; it may be nil.
	cutFrom func(m *member, c net.Conn) bool
	// order decides about an order to a member. A late one gets no answer and is carried out once the channel is closed. It may be nil.
	order func(m *member, verb string) (late <-chan struct{})
	// promoted is called, with mu held, as a member takes over from another; it may be nil.
	promoted func(old, next *member)
	// arrived is called when a statement of a client reaches a member; first is true for single statements and the first of a transaction.
	arrived func(m *member, id string, first bool)
	// read is called when a read has run on a log of that many entries, and committed for each commit with its place in the log. Both may be nil.
	read      func(m *member, id string, entries int)
	committed func(id string, place int)

	mu      sync.Mutex
	members []*member
	term    int
}

// member is one database server.
type member struct {
	svc  *service
	id   string
	l    net.Listener
	born int64

	// The service's mu guards the fields below.
	primary  bool
	term     int
	log      []entry
	draining bool
	// drainingAt is when the store accepted that the member leaves.
	drainingAt time.Duration
	// cut is true while the member is partitioned from the store.
	cut bool
	// deaf is true while the member receives nothing from its primary.
	deaf   bool
	paused bool
	down   bool
	busy   int
	conns  map[net.Conn]bool
	// lastBeat is when the store last got the member's entry, and nextBeat when the member writes it next.
	lastBeat time.Time
	nextBeat time.Time
	// listed is true while the store has the entry.
	listed bool
}

const heartbeat = 1200 * time.Millisecond

// add starts a member with a copy of the primary's log.
func (s *service) add(id string, primary bool) (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{svc: s, id: id, l: l, born: time.Now().UnixMilli(), primary: primary, term: 1, conns: make(map[net.Conn]bool)}
	s.mu.Lock()
	if p := s.primary(); p != nil {
		m.log, m.term = append([]entry(nil), p.log...), p.term
	}
	if s.term == 0 {
		s.term = 1
	}
	s.members = append(s.members, m)
	s.mu.Unlock()
	go m.accept()
	m.nextBeat = time.Now().Add(heartbeat)
	m.beat()
	go m.heartbeats()
	return m, nil
}

// primary returns the running primary or nil; s.mu must be held.
func (s *service) primary() *member {
	for _, m := range s.members {
		if m.primary && !m.down {
			return m
		}
	}
	return nil
}

// replicate moves commits to the replicas until the process ends.
func (s *service) replicate() {
	for range time.Tick(2 * time.Millisecond) {
		s.mu.Lock()
		p := s.primary()
		for _, m := range s.members {
			if p == nil || m == p || m.down || m.deaf || m.paused {
				continue
			}
			n := len(m.log)
			for n < len(p.log) && time.Since(p.log[n].at) >= s.lag {
				n++
			}
			m.term, m.log = p.term, append([]entry(nil), p.log[:n]...)
		}
		s.mu.Unlock()
	}
}

// heartbeats writes the member's entry again and again. The store removes it after three intervals of silence.
func (m *member) heartbeats() {
	for range time.Tick(50 * time.Millisecond) {
		m.svc.mu.Lock()
		due := time.Now().After(m.nextBeat)
		if due {
			m.nextBeat = m.nextBeat.Add(heartbeat)
		}
		writes := due && !m.cut && !m.down
		m.svc.mu.Unlock()
		if writes {
			m.beat()
		}
		m.svc.mu.Lock()
		lapses := m.listed && time.Since(m.lastBeat) >= 3*heartbeat
		m.svc.mu.Unlock()
		if lapses {
			m.svc.mu.Lock()
			m.listed = false
			m.svc.mu.Unlock()
			m.svc.store.remove("servers", m.id)
			m.svc.record.add("store: entry of %s removed after three intervals of silence", m.id)
		}
	}
}

// beat writes the member's entry.
func (m *member) beat() {
	m.svc.mu.Lock()
	m.lastBeat, m.listed = time.Now(), true
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	e := map[string]any{
		"Service": m.svc.name, "Address": m.l.Addr().String(), "Zone": "z1", "Version": "v1", "Capacity": m.svc.slots, "State": state,
		"WarmupLeftMs": 0, "DbRole": role, "born": m.born,
	}
	m.svc.mu.Unlock()
	m.svc.store.set("servers", m.id, e)
}

// drain announces that the member leaves.
func (m *member) drain() {
	m.svc.mu.Lock()
	m.draining = true
	m.svc.mu.Unlock()
	m.beat()
	now := m.svc.record.now()
	m.svc.mu.Lock()
	m.drainingAt, m.nextBeat = now, time.Now().Add(heartbeat)
	m.svc.mu.Unlock()
	m.svc.record.add("store: accepted that %s is draining", m.id)
}

// setCut partitions the member from the store, or ends that.
func (m *member) setCut(cut bool) {
	m.svc.mu.Lock()
	m.cut = cut
	m.svc.mu.Unlock()
	m.svc.record.add("%s partitioned from the store: %t", m.id, cut)
}

// stop ends the member as one that has drained.
func (m *member) stop() {
	m.svc.mu.Lock()
	m.down = true
	_ = m.l.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.listed = false
	m.svc.mu.Unlock()
	m.svc.store.remove("servers", m.id)
	m.svc.record.add("%s exits", m.id)
}

// promote makes a member the primary of the next term.
func (s *service) promote(id string) int {
	s.mu.Lock()
	var next *member
	for _, m := range s.members {
		if m.id == id && !m.down {
			next = m
		}
	}
	if next == nil {
		s.mu.Unlock()
		return 409
	}
	if next.primary {
		s.mu.Unlock()
		return 200
	}
	s.mu.Unlock()
	time.AfterFunc(600*time.Millisecond, func() {
		s.mu.Lock()
		s.term++
		if old := s.primary(); s.promoted != nil && old != nil {
			s.promoted(old, next)
		}
		for _, m := range s.members {
			m.primary, m.paused = m == next, false
			if len(m.log) > len(next.log) {
				m.log = m.log[:len(next.log)] // it was ahead and is rolled back
			}
		}
		next.term = s.term
		s.mu.Unlock()
		s.record.add("%s leads term %d", id, s.term)
		for _, m := range s.members {
			m.svc.mu.Lock()
			reaches := !m.down && !m.cut
			m.svc.mu.Unlock()
			if reaches {
				m.beat()
			}
		}
	})
	return 200
}

func (m *member) accept() {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		m.svc.mu.Lock()
		full := len(m.conns) >= m.svc.maxConn
		if !full {
			m.conns[c] = true
		}
		m.svc.mu.Unlock()
		go m.serve(c, full)
	}
}

// link is the state of one connection to a member.
type link struct {
	// state is I, T or E as in READY.
	state string
	// plain is true in a transaction that may write.
	plain    bool
	started  bool
	first    bool
	writes   []entry
	prepared map[string]string
}

func (m *member) serve(c net.Conn, full bool) {
	defer func() {
		_ = c.Close()
		m.svc.mu.Lock()
		delete(m.conns, c)
		m.svc.mu.Unlock()
	}()
	in := bufio.NewScanner(c)
	in.Buffer(nil, 2<<20)
	in.Split(splitLines)
	k := &link{state: "I", prepared: make(map[string]string)}
	for in.Scan() {
		line := in.Text()
		if full {
			_, _ = c.Write([]byte("ERROR TOOMANYCON\r\n"))
			return
		}
		m.awaitPath(c)
		out, last := m.handle(k, line)
		m.awaitPath(c)
		if _, err := c.Write([]byte(out)); err != nil || last {
			return
		}
	}
}

// awaitPath waits while the member is partitioned from the other end of the connection.
func (m *member) awaitPath(c net.Conn) {
	for m.svc.cutFrom != nil && m.svc.cutFrom(m, c) {
		time.Sleep(5 * time.Millisecond)
	}
}

// splitLines is a split function for lines that end in CR LF.
func splitLines(data []byte, _ bool) (int, []byte, error) {
	i := bytes.Index(data, []byte("\r\n"))
	if i < 0 {
		return 0, nil, nil
	}
	return i + 2, data[:i], nil
}

// handle returns the answer to a line, and whether the connection ends.
func (m *member) handle(k *link, line string) (string, bool) {
	f := strings.Fields(line)
	switch {
	case len(f) == 0:
		return "", true
	case f[0] == "STARTUP":
		if len(f) < 3 || f[1] != m.svc.name || len(f) > 3 && f[3] != m.id {
			return "ERROR WRONGNODE " + m.id + "\r\n", true
		}
		m.hold(12*time.Millisecond, false)
		return m.ready(k), false
	case f[0] != "QUERY" || len(f) < 3:
		return "", true
	}
	id, words := f[1], f[2:]
	if id != "-" {
		first := k.state == "I" && words[0] != "BEGIN" || k.state == "T" && k.first && words[0] != "COMMIT" && words[0] != "ROLLBACK"
		if words[0] != "BEGIN" && m.svc.arrived != nil {
			m.svc.arrived(m, id, first)
		}
	}
	if words[0] == "SINCE" {
		if m.lacks(words[1]) {
			return "ERROR LAGGING " + m.id + "\r\n" + m.ready(k), false
		}
		words = words[2:]
	}
	if k.state == "E" && words[0] != "ROLLBACK" {
		return "ERROR MALFORMED\r\n" + m.ready(k), false
	}
	answer := m.run(k, id, words)
	if answer == unanswered {
		return "", false
	}
	return answer + m.ready(k), false
}

// hold takes a slot for a time. Without a free one it waits if wait is set and fails otherwise.
func (m *member) hold(d time.Duration, mayFail bool) bool {
	m.svc.mu.Lock()
	if mayFail && m.busy >= m.svc.slots {
		m.svc.mu.Unlock()
		return false
	}
	m.busy++
	m.svc.mu.Unlock()
	time.Sleep(d)
	m.svc.mu.Lock()
	m.busy--
	m.svc.mu.Unlock()
	return true
}

// ready returns the end of an answer.
func (m *member) ready(k *link) string {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", k.state, m.term, len(m.log))
}

// lacks reports whether the member's log lacks a position.
func (m *member) lacks(point string) bool {
	t, n, _ := strings.Cut(point, ".")
	term, _ := strconv.Atoi(t)
	number, _ := strconv.Atoi(n)
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return m.term < term || m.term == term && len(m.log) < number
}

// run runs a statement and returns its answer without READY.
func (m *member) run(k *link, id string, words []string) string {
	done := "COMPLETE " + m.id + "." + id + "\r\n"
	if words[0] == "EXECUTE" {
		verb, ok := k.prepared[words[1]]
		if !ok {
			return "ERROR NOSTMT\r\n"
		}
		words = append([]string{verb}, words[2:]...)
	}
	m.svc.mu.Lock()
	lost := k.state == "T" && k.plain && !m.primary && words[0] != "ROLLBACK" && (words[0] != "COMMIT" || len(k.writes) > 0)
	m.svc.mu.Unlock()
	if lost {
		k.state = "E"
		return "ERROR READONLY " + m.id + "\r\n"
	}
	switch words[0] {
	case "BEGIN":
		plain := len(words) == 1
		m.svc.mu.Lock()
		primary := m.primary
		m.svc.mu.Unlock()
		if plain && !primary {
			return "ERROR READONLY " + m.id + "\r\n"
		}
		k.state, k.plain, k.first, k.writes = "T", plain, true, nil
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		k.state, k.writes = "I", nil
		return "COMPLETE -\r\n"
	case "READ":
		// The read sees the log as of its start.
		data, position := m.last(words[1])
		if !m.hold(m.svc.work, true) {
			return "ERROR BUSY\r\n"
		}
		k.first = false
		m.svc.record.add("%s runs %s %s on %d entries", m.id, id, strings.Join(words, " "), position)
		if m.svc.read != nil {
			m.svc.read(m, id, position)
		}
		return "DATAROW " + data + "\r\n" + done
	case "WRITE":
		if !m.hold(m.svc.work, true) {
			return "ERROR BUSY\r\n"
		}
		k.first = false
		e := entry{item: words[1], data: strings.Join(words[2:], " "), id: id}
		if k.state == "T" {
			k.writes = append(k.writes, e)
			return done
		}
		return m.commit([]entry{e}, done)
	case "COMMIT":
		if len(k.writes) > 0 && !m.hold(m.svc.work/4, true) {
			return "ERROR BUSY\r\n"
		}
		w := k.writes
		k.state, k.writes = "I", nil
		return m.commit(w, done)
	case "PREPARE":
		k.prepared[words[1]] = words[2]
	case "RESET":
		clear(k.prepared)
	case "STATUS":
	case "DEMOTE":
		term, _ := strconv.Atoi(words[1])
		m.svc.mu.Lock()
		if term > m.term {
			m.primary = false
		}
		m.svc.mu.Unlock()
		m.beat()
	case "PAUSE", "RESUME":
		if m.svc.order != nil {
			if late := m.svc.order(m, words[0]); late != nil {
				m.svc.record.add("%s leaves %s unanswered", m.id, strings.Join(words, " "))
				go func() {
					<-late
					m.setPaused(words)
				}()
				return unanswered
			}
		}
		m.setPaused(words)
	default:
		return "COMPLETE -\r\n"
	}
	switch words[0] {
	case "STATUS", "DEMOTE", "PAUSE", "RESUME":
		return m.status()
	}
	return "COMPLETE -\r\n"
}

// unanswered stands for an answer that is not sent.
const unanswered = "-"

// setPaused carries out PAUSE and RESUME. A PAUSE whose term is not above the newest one is too old.
func (m *member) setPaused(words []string) {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	if words[0] == "PAUSE" {
		term, _ := strconv.Atoi(words[1])
		m.paused = m.paused || !m.primary && term > m.term
	} else {
		m.paused = false
	}
	m.svc.record.add("%s carries out %s", m.id, strings.Join(words, " "))
}

func (m *member) status() string {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 %d %d\r\nCOMPLETE -\r\n", role, m.term, m.term, len(m.log), m.busy, len(m.conns))
}

// commit appends writes to the log of the primary.
func (m *member) commit(writes []entry, done string) string {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	if len(writes) > 0 && !m.primary {
		return "ERROR READONLY " + m.id + "\r\n"
	}
	term := m.term
	for _, e := range writes {
		e.at = time.Now()
		m.log = append(m.log, e)
		m.svc.record.add("%s commits %s %s at %d.%d", m.id, e.id, e.item, m.term, len(m.log))
		if m.svc.committed != nil {
			m.svc.committed(e.id, len(m.log))
		}
	}
	for place := len(m.log); len(writes) > 0 && !m.received(place); {
		m.svc.mu.Unlock()
		time.Sleep(time.Millisecond)
		m.svc.mu.Lock()
		if m.term != term || !m.primary {
			return "ERROR READONLY " + m.id + "\r\n" // it was rolled back
		}
	}
	return done
}

// received reports whether enough replicas have received a place of the primary's log; the service's mu must be held.
func (m *member) received(place int) bool {
	n := 0
	for _, r := range m.svc.members {
		if r != m && !r.down && r.term == m.term && len(r.log) >= place {
			n++
		}
	}
	return n >= m.svc.sync
}

// last returns the newest data of an item, and the length of the log.
func (m *member) last(item string) (data string, entries int) {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].item == item {
			return m.log[i].data, len(m.log)
		}
	}
	return "none", len(m.log)
}
