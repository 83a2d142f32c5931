package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	applyLag     = 8 * time.Millisecond
	promoteTime  = 600 * time.Millisecond
	memberSlots  = 5
	memberQueue  = 40
	handshake    = 12 * time.Millisecond
	maxConns     = 33
	maxLineBytes = 1 << 20
)

// commit is one entry of a member's log.
type commit struct {
	term int
	id   string
	// writes are the items and data of the commit, in turns.
	writes []string
	at     time.Time
}

// service is a group of members: a primary and its replicas. One lock guards all of it.
type service struct {
	name   string
	sync   int
	store  *store
	record *record

	mu      sync.Mutex
	members []*member
	// work is how long a statement of a client takes.
	work func(id, text string) time.Duration
	// refuse returns the error of a statement that the member fails, or "".
	refuse func(m *member, id, text string) string
	stop   chan struct{}
	// ran has the ids of the statements that members have got.
	ran sync.Map
}

// member is one database server.
type member struct {
	svc  *service
	id   string
	zone string
	addr string
	l    net.Listener
	born int64

	primary bool
	term    int
	// starts has the number at which each term began, with the term.
	starts   []start
	log      []commit
	received []time.Time
	// dark members answer nothing, receive nothing and send no heartbeat.
	dark bool
	// deaf replicas receive nothing.
	deaf bool
	// paused replicas receive nothing until RESUME, a promote or a restart.
	paused   bool
	down     bool
	sequence int
	beatAt   time.Time
	listed   bool
	running  int
	conns    map[net.Conn]bool
}

type start struct{ term, number int }

func newService(name string, replicas int, st *store, rec *record) (*service, error) {
	s := &service{name: name, sync: replicas, store: st, record: rec, stop: make(chan struct{})}
	s.work = func(string, string) time.Duration { return 2 * time.Millisecond }
	s.refuse = func(*member, string, string) string { return "" }
	for i, zone := range []string{"stgo-a", "stgo-b", "rancagua"} {
		m := &member{svc: s, id: fmt.Sprintf("i-%s%d", name, i+1), zone: zone, primary: i == 0, term: 3, starts: []start{{3, 0}}, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m.l, m.addr = l, l.Addr().String()
		s.members = append(s.members, m)
		go m.accept(l)
		s.mu.Lock()
		m.beat()
		s.mu.Unlock()
	}
	go s.run()
	return s, nil
}

// beat writes the member's entry; svc.mu is held.
func (m *member) beat() {
	m.sequence++
	m.beatAt, m.listed = time.Now(), true
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.svc.store.set("servers", m.id, map[string]any{
		"Service": m.svc.name, "Address": m.addr, "Zone": m.zone, "Version": "v1", "Capacity": memberSlots, "State": "ready",
		"WarmupLeftMs": 0, "DbRole": role, "Sequence": m.sequence, "born": m.born,
	})
}

// run sends the log to the replicas and the heartbeats to the store.
func (s *service) run() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Millisecond):
		}
		s.mu.Lock()
		s.replicate()
		for _, m := range s.members {
			since := time.Since(m.beatAt)
			switch {
			case !m.dark && !m.down && since >= heartbeat:
				m.beat()
			case m.listed && since >= 3*heartbeat:
				m.listed = false
				s.store.remove("servers", m.id)
				s.record.add("store", "entry of "+m.id+" expired")
			}
		}
		s.mu.Unlock()
	}
}

// replicate lets each replica that can be reached receive the primary's log; s.mu is held.
func (s *service) replicate() {
	p := s.primary()
	if p == nil || p.dark || p.down {
		return
	}
	for _, m := range s.members {
		if m == p || m.dark || m.down || m.deaf || m.paused {
			continue
		}
		m.follow(p)
	}
}

// follow makes the member's log the same as the primary's; s.mu is held.
func (m *member) follow(p *member) {
	same := 0
	for same < len(m.log) && same < len(p.log) && m.log[same].id == p.log[same].id && m.log[same].term == p.log[same].term {
		same++
	}
	if same == len(m.log) && same == len(p.log) && m.term == p.term {
		return
	}
	m.log, m.received = slices.Clone(m.log[:same]), slices.Clone(m.received[:same])
	for _, c := range p.log[same:] {
		m.log, m.received = append(m.log, c), append(m.received, time.Now())
	}
	m.term, m.starts = p.term, slices.Clone(p.starts)
}

func (s *service) primary() *member {
	for _, m := range s.members {
		if m.primary {
			return m
		}
	}
	return nil
}

// promote makes the member lead promoteTime later. It returns the status of the call.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.members, func(m *member) bool { return m.id == id })
	if i < 0 || s.members[i].down || s.members[i].dark {
		return http.StatusConflict
	}
	m := s.members[i]
	if m.primary {
		return http.StatusOK
	}
	time.AfterFunc(promoteTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.down || m.dark || m.primary {
			return
		}
		term := 0
		for _, o := range s.members {
			term = max(term, o.term)
			o.primary, o.paused = false, false
		}
		m.primary, m.term, m.paused = true, term+1, false
		m.starts = append(slices.Clone(m.starts), start{m.term, len(m.log)})
		s.record.add("platform", fmt.Sprintf("%s leads term %d with %d commits", m.id, m.term, len(m.log)))
		for _, o := range s.members {
			if !o.dark && !o.down {
				o.beat()
			}
		}
	})
	return http.StatusOK
}

// logOf returns the ids of the commits in the log of the present primary.
func (s *service) logOf() (string, map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.primary()
	if p == nil {
		return "", nil
	}
	ids := map[string]int{}
	for _, c := range p.log {
		ids[c.id]++
	}
	return p.id, ids
}

// set changes the state of a member.
func (s *service) set(m *member, what string, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("disruption", m.id+" "+what)
	change()
}

func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// memberSession is one connection to a member.
type memberSession struct {
	m        *member
	conn     net.Conn
	state    string
	plain    bool
	lost     bool
	tx       []string
	txIDs    []string
	values   map[string]string
	prepared map[string][2]string
}

// readLine returns the next line, which ends with CR LF, without its end.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return "", err
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
		if len(line) > maxLineBytes {
			return "", fmt.Errorf("line too long")
		}
	}
}

func (m *member) serve(c net.Conn) {
	s := &memberSession{m: m, conn: c, state: "I", values: map[string]string{}, prepared: map[string][2]string{}}
	in := bufio.NewReader(c)
	svc := m.svc
	defer func() {
		svc.mu.Lock()
		delete(m.conns, c)
		svc.mu.Unlock()
		_ = c.Close()
	}()
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		if !m.waitLight() {
			return
		}
		reply, ends := s.handle(line)
		if !m.waitLight() {
			return
		}
		if _, err := c.Write([]byte(reply)); err != nil || ends {
			return
		}
	}
}

// waitLight waits while the member is dark, and reports whether it runs.
func (m *member) waitLight() bool {
	for {
		m.svc.mu.Lock()
		dark, down := m.dark, m.down
		m.svc.mu.Unlock()
		if down {
			return false
		}
		if !dark {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}

// applied is how many commits the member has applied; svc.mu is held.
func (m *member) applied() int {
	if m.primary {
		return len(m.log)
	}
	n := 0
	for n < len(m.log) && time.Since(m.received[n]) >= applyLag {
		n++
	}
	return n
}

// has reports whether the member's applied log holds a point; svc.mu is held.
func (m *member) has(term, number int) bool {
	if m.applied() < number || term > m.term {
		return false
	}
	for _, st := range m.starts {
		if st.term > term && number > st.number {
			return false
		}
	}
	return true
}

func (s *memberSession) ready() string {
	return fmt.Sprintf("READY %s %d.%d\r\n", s.state, s.m.term, s.m.applied())
}

func (s *memberSession) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.m.id + "\r\n" + s.ready()
}

// handle runs one message and returns the reply, and whether the connection ends.
func (s *memberSession) handle(line string) (string, bool) {
	m, svc := s.m, s.m.svc
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "STARTUP":
		f := strings.Fields(rest)
		svc.mu.Lock()
		defer svc.mu.Unlock()
		if len(f) < 2 || f[0] != svc.name || len(f) > 2 && f[2] != m.id {
			return "ERROR WRONGNODE " + m.id + "\r\n", true
		}
		if len(m.conns) >= maxConns {
			return "ERROR TOOMANYCON " + m.id + "\r\n", true
		}
		m.conns[s.conn] = true
		return s.ready(), false
	case "QUERY":
	default:
		return "", true
	}
	id, text, _ := strings.Cut(rest, " ")
	floor := ""
	if after, ok := strings.CutPrefix(text, "SINCE "); ok {
		floor, text, _ = strings.Cut(after, " ")
	}
	if id != "-" {
		svc.record.add(m.id, "run "+id+" "+text)
		svc.ran.Store(id, true)
	}
	verb, args, _ := strings.Cut(text, " ")
	if verb == "EXECUTE" || verb == "READ" || verb == "WRITE" || verb == "COMMIT" {
		svc.mu.Lock()
		if m.running >= memberSlots+memberQueue {
			defer svc.mu.Unlock()
			return "ERROR BUSY " + m.id + "\r\n" + s.ready(), false
		}
		m.running++
		svc.mu.Unlock()
		time.Sleep(svc.work(id, text))
		defer func() {
			svc.mu.Lock()
			m.running--
			svc.mu.Unlock()
		}()
	}
	if !m.waitLight() {
		return "", true
	}
	svc.mu.Lock()
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		defer svc.mu.Unlock()
		return "ERROR MALFORMED transaction has failed\r\n" + s.ready(), false
	}
	if floor != "" {
		t, n, _ := strings.Cut(floor, ".")
		term, _ := strconv.Atoi(t)
		number, _ := strconv.Atoi(n)
		if !m.has(term, number) {
			defer svc.mu.Unlock()
			return "ERROR LAGGING " + m.id + "\r\n" + s.ready(), false
		}
	}
	if code := svc.refuse(m, id, text); code != "" {
		svc.record.add(m.id, "fails "+id+" "+text+" with "+code)
		defer svc.mu.Unlock()
		return s.fail(code), false
	}
	wait, reply := s.run(id, verb, args)
	if wait < 0 {
		reply += s.ready()
		svc.mu.Unlock()
		return reply, false
	}
	svc.mu.Unlock()
	if !m.awaitReplicas(wait) {
		return "", true // the commit is never acknowledged
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return reply + s.ready(), false
}

// awaitReplicas waits until enough replicas have received the commit with the given number. It returns false if the member
// stops leading before.
func (m *member) awaitReplicas(number int) bool {
	svc := m.svc
	for {
		svc.mu.Lock()
		if !m.primary || m.down {
			svc.mu.Unlock()
			return false
		}
		holders := 0
		for _, o := range svc.members {
			if o != m && len(o.log) >= number {
				holders++
			}
		}
		done := holders >= svc.sync && !m.dark
		svc.mu.Unlock()
		if done {
			return true
		}
		time.Sleep(500 * time.Microsecond)
	}
}

// run executes one statement. A commit returns its number, for which the caller waits; all else returns -1. svc.mu is held.
func (s *memberSession) run(id, verb, args string) (int, string) {
	m := s.m
	done := "COMPLETE -\r\n"
	signed := fmt.Sprintf("COMPLETE sig.%s.%s\r\n", m.id, id)
	if s.state == "T" && s.plain && !m.primary && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.tx) > 0) {
		s.state = "E"
		return -1, "ERROR READONLY " + m.id + "\r\n"
	}
	first, more, _ := strings.Cut(args, " ")
	if verb == "EXECUTE" {
		p, ok := s.prepared[first]
		if !ok {
			return -1, "ERROR NOSTMT " + first + "\r\n"
		}
		verb = p[0]
		first, more, _ = strings.Cut(more, " ")
	}
	switch verb {
	case "BEGIN":
		if s.state != "I" {
			s.state = "E"
			return -1, "ERROR MALFORMED a transaction is open\r\n"
		}
		if args == "" && !m.primary {
			return -1, "ERROR READONLY " + m.id + "\r\n"
		}
		s.state, s.plain, s.tx = "T", args == "", nil
	case "ROLLBACK":
		s.state, s.tx = "I", nil
	case "COMMIT":
		failed, writes := s.state == "E", s.tx
		s.state, s.tx = "I", nil
		if failed {
			return -1, "ERROR ABORTED " + m.id + "\r\n"
		}
		if len(writes) == 0 {
			return -1, signed
		}
		return m.append(id, writes), signed
	case "READ":
		return -1, "DATAROW " + m.read(first) + "\r\n" + signed
	case "WRITE":
		if !m.primary {
			return -1, "ERROR READONLY " + m.id + "\r\n"
		}
		if s.state == "T" {
			s.tx = append(s.tx, first, more)
			return -1, signed
		}
		return m.append(id, []string{first, more}), signed
	case "SET":
		s.values[first] = more
	case "PREPARE":
		kind, shape, _ := strings.Cut(more, " ")
		s.prepared[first] = [2]string{kind, shape}
	case "DEALLOC":
		delete(s.prepared, first)
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "PAUSE":
		if term, _ := strconv.Atoi(first); term > m.newestTerm() && !m.primary {
			m.paused = true
		}
		done = m.status()
	case "RESUME":
		m.paused = false
		done = m.status()
	case "DEMOTE":
		if term, _ := strconv.Atoi(first); m.primary && m.term < term {
			m.primary, m.term = false, term
			m.starts = append(m.starts, start{term, len(m.log)})
			m.beat()
		}
		done = m.status()
	case "STATUS":
		done = m.status()
	default:
		return -1, "ERROR MALFORMED unknown\r\n"
	}
	return -1, done
}

func (m *member) newestTerm() int {
	term := 0
	for _, o := range m.svc.members {
		term = max(term, o.term)
	}
	return term
}

// append adds a commit to the primary's log and returns its number; svc.mu is held.
func (m *member) append(id string, writes []string) int {
	m.log = append(m.log, commit{term: m.term, id: id, writes: writes, at: time.Now()})
	m.received = append(m.received, time.Now())
	m.svc.record.add(m.id, fmt.Sprintf("commit %s as %d.%d", id, m.term, len(m.log)))
	return len(m.log)
}

func (m *member) read(item string) string {
	for i := m.applied() - 1; i >= 0; i-- {
		w := m.log[i].writes
		for j := len(w) - 2; j >= 0; j -= 2 {
			if w[j] == item {
				return w[j+1]
			}
		}
	}
	return "none"
}

func (m *member) status() string {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 8 %d %d\r\nCOMPLETE -\r\n", role, m.term, m.term, len(m.log), m.term, m.running, len(m.conns))
}
