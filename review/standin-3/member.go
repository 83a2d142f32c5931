package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// workTime is how long a read, write or commit occupies a slot, and capacity the number of slots of a member.
	workTime = 5 * time.Millisecond
	capacity = 5
	// replicaLag is the mean time that a commit takes to a replica, lagSpread its spread and maxLag its bound, as in the site file.
	replicaLag = 8 * time.Millisecond
	lagSpread  = 0.6
	maxLag     = 48 * time.Millisecond
	// promoteTime is how long behind its acceptance a promotion takes effect.
	promoteTime = 600 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
)

// service is a primary and its replicas, and the platform's call that promotes one of them.
type service struct {
	name string
	// synchronous is how many replicas must have received a commit before it is acknowledged.
	synchronous int
	store       *store
	rec         *record
	stop        chan struct{}

	mu      sync.Mutex
	members []*member
	// source is the member whose log the others receive: the primary, or the last one if it was demoted.
	source *member
	// fence is the highest fencing token seen, and accepted the number of promotions accepted.
	fence    uint64
	accepted int
	// promoted is told of each promotion as it takes effect, with mu held; it may be nil.
	promoted func(m *member)
	// late decides whether a promotion is left unanswered, and sees to it that it is carried out later; it may be nil.
	late func(id string, carryOut func()) bool
}

// member is one database server. The mu of its service guards all that changes.
type member struct {
	id, zone string
	s        *service
	l        net.Listener
	born     int64

	primary, draining, paused, deaf, gone bool
	// slow is how many times as late as usual commits arrive.
	slow int

	term     int
	log      []commit
	sequence int
	conns    map[net.Conn]struct{}
	slots    chan struct{}
}

// commit is one commit in a log.
type commit struct {
	term  int
	id    string
	items map[string]string
}

func newService(name string, st *store, rec *record) *service {
	s := &service{name: name, synchronous: 1, store: st, rec: rec, stop: make(chan struct{})}
	go s.replicate()
	return s
}

// add starts a member with a log, which registers at once. An empty address takes a free one.
func (s *service) add(id, zone, address string, primary bool, term int, log []commit) (*member, error) {
	return s.addLater(id, zone, address, primary, term, log, 0)
}

// addLater is add for a member that registers some time after it has begun to accept connections.
func (s *service) addLater(id, zone, address string, primary bool, term int, log []commit, registersIn time.Duration) (*member, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &member{
		id: id, zone: zone, s: s, l: l, primary: primary, term: term, log: append([]commit(nil), log...), born: time.Now().UnixMilli(),
		conns: map[net.Conn]struct{}{}, slots: make(chan struct{}, capacity),
	}
	s.mu.Lock()
	s.members = append(s.members, m)
	s.mu.Unlock()
	go m.accept()
	time.AfterFunc(registersIn, m.beat)
	return m, nil
}

// leader returns the member that leads the newest term, also if it is gone; nil if none does.
func (s *service) leader() *member {
	var best *member
	for _, m := range s.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// beat writes the member's entry every heartbeat until it is gone.
func (m *member) beat() {
	for m.register() {
		select {
		case <-time.After(heartbeat):
		case <-m.s.stop:
			return
		}
	}
}

// register writes the member's entry, and reports whether the member still runs.
func (m *member) register() bool {
	m.s.mu.Lock()
	m.sequence++
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": m.s.name, "Address": m.l.Addr().String(), "Zone": m.zone, "Version": "v1", "Capacity": capacity, "State": state,
		"WarmupLeftMs": 0, "DbRole": role, "Sequence": m.sequence, "born": m.born,
	}
	gone := m.gone
	m.s.mu.Unlock()
	if !gone && !m.s.store.isDown() {
		m.s.store.set("servers", m.id, entry)
	}
	return !gone
}

// end stops the member and removes its entry.
func (m *member) end() {
	m.stop()
	m.s.store.remove("servers", m.id)
}

// crash stops the member. Its entry expires after three heartbeats of silence.
func (m *member) crash() {
	m.stop()
	time.AfterFunc(3*heartbeat, func() {
		m.s.mu.Lock()
		again := false
		for _, o := range m.s.members {
			again = again || o.id == m.id && !o.gone
		}
		m.s.mu.Unlock()
		if !again {
			m.s.store.remove("servers", m.id)
		}
	})
}

// stop ends the process of the member.
func (m *member) stop() {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.gone = true
	_ = m.l.Close()
	for c := range m.conns {
		_ = c.Close()
	}
}

// replicate sends the commits of the leader to the replicas until the service stops.
func (s *service) replicate() {
	due := map[string]time.Time{}
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		s.mu.Lock()
		// What a primary that was demoted has sent still arrives.
		p := s.leader()
		if p == nil {
			p = s.source
		}
		if s.source = p; p != nil && !p.gone {
			for _, r := range s.members {
				if r != p && !r.gone && !r.paused && !r.deaf && !r.primary {
					r.follow(p, due)
				}
			}
		}
		s.mu.Unlock()
	}
}

// follow takes over from the leader what is due, and drops what the leader does not have; s.mu is held.
func (m *member) follow(p *member, due map[string]time.Time) {
	n := 0
	for n < len(m.log) && n < len(p.log) && m.log[n].id == p.log[n].id {
		n++
	}
	m.log, m.term = m.log[:n], p.term
	for i := n; i < len(p.log); i++ {
		if key := m.id + " " + p.log[i].id; due[key].IsZero() {
			due[key] = time.Now().Add(lag() * time.Duration(max(1, m.slow)))
		}
	}
	for ; n < len(p.log) && !time.Now().Before(due[m.id+" "+p.log[n].id]); n++ {
		m.log = append(m.log, p.log[n])
	}
}

// lag returns how long one commit takes to one replica.
func lag() time.Duration {
	x := math.Exp(lagSpread*rand.NormFloat64() - lagSpread*lagSpread/2)
	return min(time.Duration(x*float64(replicaLag)), maxLag)
}

// carryOut carries out a promotion and returns the status of its answer.
func (s *service) carryOut(id, holder string, fence uint64) int {
	status := s.accept(id, fence)
	s.rec.say("platform: promotion of %s by %s, fence %d -> %d", id, holder, fence, status)
	return status
}

func (s *service) accept(id string, fence uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var m *member
	for _, o := range s.members {
		if o.id == id && !o.gone {
			m = o
		}
	}
	if fence < s.fence || m == nil {
		return http.StatusConflict
	}
	s.fence = fence
	if m == s.leader() {
		return http.StatusOK
	}
	s.accepted++
	number := s.accepted
	time.AfterFunc(promoteTime, func() { s.promote(m, number) })
	return http.StatusOK
}

// promote makes a member the leader of the next term, unless a later promotion was accepted.
func (s *service) promote(m *member, number int) {
	s.mu.Lock()
	if number != s.accepted || m.gone {
		s.mu.Unlock()
		return
	}
	term := 0
	for _, o := range s.members {
		term = max(term, o.term)
		o.primary, o.paused = o == m, false
	}
	m.term = term + 1
	s.rec.write("platform: %s leads term %d with %d commits", m.id, m.term, len(m.log))
	if s.promoted != nil {
		s.promoted(m)
	}
	all := append([]*member(nil), s.members...)
	s.mu.Unlock()
	for _, o := range all {
		o.register()
	}
}

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
		body, acknowledged := m.run(s, f[1], f[2])
		if !acknowledged {
			return // whether the commit is kept is not known
		}
		if _, err := fmt.Fprint(c, body+m.ready(s)); err != nil {
			return
		}
	}
}

func (m *member) ready(s *session) string {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", s.state, m.term, len(m.log))
}

// run runs one statement. It returns false if it wrote and lost the lead before enough replicas had received the commit.
func (m *member) run(s *session, id, text string) (string, bool) {
	if work(text) {
		m.slots <- struct{}{}
		time.Sleep(workTime)
	}
	m.s.mu.Lock()
	if m.gone {
		m.s.mu.Unlock()
		return "", false
	}
	body, position := m.execute(s, id, text)
	term := m.term
	m.s.mu.Unlock()
	if work(text) {
		<-m.slots
	}
	for position > 0 && !m.received(position) {
		m.s.mu.Lock()
		lost := !m.primary || m.term != term || m.gone || len(m.log) < position
		m.s.mu.Unlock()
		if lost {
			return "", false
		}
		time.Sleep(time.Millisecond)
	}
	return body, true
}

// received reports whether enough replicas have received the commit at a position.
func (m *member) received(position int) bool {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	n := 0
	for _, r := range m.s.members {
		if r != m && !r.gone && len(r.log) >= position && len(m.log) >= position && r.log[position-1].id == m.log[position-1].id {
			n++
		}
	}
	return n >= m.s.synchronous
}

// work reports whether a statement occupies a slot.
func work(text string) bool {
	for _, verb := range []string{"READ ", "WRITE ", "EXECUTE ", "COMMIT", "SINCE "} {
		if strings.HasPrefix(text, verb) {
			return true
		}
	}
	return false
}

// execute executes one statement; s.mu is held. It returns the body of the answer and, behind a commit that wrote, its position.
func (m *member) execute(s *session, id, text string) (string, int) {
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
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		kind, ok := s.prepared[name]
		if !ok {
			return "ERROR NOSTMT " + name + "\r\n", 0
		}
		verb, rest = kind, args
	}
	ends := verb == "ROLLBACK" || verb == "COMMIT" && len(s.writes) == 0
	if s.state == "T" && s.plain && !ends && (!m.primary || m.term != s.term) {
		s.state = "E"
		return "ERROR READONLY " + m.id + "\r\n", 0
	}
	done := fmt.Sprintf("COMPLETE %s.%s\r\n", m.id, id)
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
		if len(s.writes) == 0 {
			return done, 0
		}
		return done, m.commit(id, s.writes)
	case "READ":
		m.s.rec.write("member %s runs %s READ %s", m.id, id, item)
		return "DATAROW " + m.value(s, item) + "\r\n" + done, 0
	case "WRITE":
		if !m.primary {
			return "ERROR READONLY " + m.id + "\r\n", 0
		}
		m.s.rec.write("member %s runs %s WRITE %s", m.id, id, item)
		if s.state != "T" {
			return done, m.commit(id, map[string]string{item: data})
		}
		s.writes[item] = data
		return done, 0
	case "PREPARE":
		kind, _, _ := strings.Cut(data, " ")
		s.prepared[item] = kind
	case "DEALLOC":
		delete(s.prepared, item)
	case "RESET":
		clear(s.prepared)
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		term, _ := strconv.Atoi(item)
		m.obey(verb, term)
		return m.status(), 0
	}
	return "COMPLETE -\r\n", 0
}

func (m *member) value(s *session, item string) string {
	if v, ok := s.writes[item]; ok && s.state == "T" {
		return v
	}
	for i := len(m.log) - 1; i >= 0; i-- {
		if v, ok := m.log[i].items[item]; ok {
			return v
		}
	}
	return "none"
}

// commit appends to the log and returns the position.
func (m *member) commit(id string, items map[string]string) int {
	m.log = append(m.log, commit{term: m.term, id: id, items: items})
	return len(m.log)
}

// obey carries out an order; s.mu is held.
func (m *member) obey(verb string, term int) {
	switch {
	case verb == "RESUME":
		m.paused = false
	case verb == "PAUSE" && !m.primary && term > m.term:
		m.paused = true
	case verb == "DEMOTE" && m.primary && term > m.term:
		m.primary = false
		go m.register()
	}
}

func (m *member) status() string {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\nCOMPLETE -\r\n", role, m.term, m.term, len(m.log), m.term, len(m.conns))
}
