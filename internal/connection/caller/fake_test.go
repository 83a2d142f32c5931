package caller

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// fault is what a fake target does wrong when it comes to a statement.
type fault int

const (
	none fault = iota
	cutBefore
	cutMiddle
	cutAfter
	doubled
	garbage
	fatalError
	silent
)

// fakeTarget speaks the protocol of a target by a script.
type fakeTarget struct {
	l  net.Listener
	mu sync.Mutex
	// primary and point answer position queries.
	primary bool
	point   position.Point
	// faults by a text that the statement holds; each is used once.
	faults map[string]fault
	// log of the statements that ran, unless it is unlogged.
	log      []string
	unlogged bool
	cancels  int
	rows     int
	conns    []net.Conn
	// followers apply every write at once.
	followers []*fakeTarget
}

func newFakeTarget(tb testing.TB, primary bool) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	f := &fakeTarget{l: l, primary: primary, point: position.Point{Term: 1, Position: 100}, faults: map[string]fault{}, rows: 1}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			wire, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, wire)
			f.mu.Unlock()
			wg.Go(func() { f.serve(wire) })
		}
	})
	tb.Cleanup(func() {
		l.Close()
		f.mu.Lock()
		for _, c := range f.conns {
			c.Close()
		}
		f.mu.Unlock()
		wg.Wait()
	})
	return f
}

func (f *fakeTarget) statements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.log...)
}

func (f *fakeTarget) ran(sql string) int {
	n := 0
	for _, s := range f.statements() {
		if strings.Contains(s, sql) {
			n++
		}
	}
	return n
}

func (f *fakeTarget) take(sql string) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unlogged {
		return none
	}
	f.log = append(f.log, sql)
	for text, v := range f.faults {
		if strings.Contains(sql, text) {
			delete(f.faults, text)
			return v
		}
	}
	return none
}

// fakeSession is one connection to a fake target.
type fakeSession struct {
	f        *fakeTarget
	wire     net.Conn
	back     *pgproto3.Backend
	status   byte
	failed   bool
	prepared map[string]string
	portals  map[string]string
}

func (f *fakeTarget) serve(wire net.Conn) {
	defer wire.Close()
	s := &fakeSession{f: f, wire: wire, back: pgproto3.NewBackend(wire, wire), status: 'I', prepared: map[string]string{}, portals: map[string]string{}}
	msg, err := s.back.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := msg.(*pgproto3.CancelRequest); ok {
		f.mu.Lock()
		f.cancels++
		f.mu.Unlock()
		return
	}
	s.back.Send(&pgproto3.AuthenticationOk{})
	s.back.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	s.back.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.back.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.ready()
	for s.batch() {
	}
}

// batch answers one message.
func (s *fakeSession) batch() bool {
	msg, err := s.back.Receive()
	if err != nil {
		return false
	}
	if _, ok := msg.(*pgproto3.Sync); s.failed && !ok {
		return true
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Parse:
		if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
			s.fail("42P05", "prepared statement exists")
			return true
		}
		if strings.Contains(m.Query, "syntax error") {
			s.fail("42601", "syntax error")
			return true
		}
		s.prepared[m.Name] = strings.Clone(m.Query)
		s.back.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000", "no such prepared statement")
			return true
		}
		s.portals[m.DestinationPortal] = sql
		s.back.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := s.portals[m.Name]
		if m.ObjectType == 'S' {
			var ok bool
			if sql, ok = s.prepared[m.Name]; !ok {
				s.fail("26000", "no such prepared statement")
				return true
			}
			s.back.Send(&pgproto3.ParameterDescription{})
		}
		if returnsRows(sql) {
			s.back.Send(oneColumn())
		} else {
			s.back.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		sql, ok := s.portals[m.Portal]
		if !ok {
			s.fail("34000", "no such portal")
			return true
		}
		return s.run(sql, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		s.back.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.failed = false
		s.ready()
	}
	return true
}

func (s *fakeSession) query(sql string) bool {
	if sql == target.PositionQuery {
		s.place()
		return true
	}
	for _, part := range strings.Split(sql, ";") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		if !s.run(strings.TrimSpace(part), true) {
			return false
		}
		if s.failed {
			break
		}
	}
	s.failed = false
	s.ready()
	return true
}

func (s *fakeSession) place() {
	s.f.mu.Lock()
	primary, p := "f", s.f.point
	if s.f.primary {
		primary = "t"
	}
	s.f.mu.Unlock()
	s.back.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a")}, {Name: []byte("b")}, {Name: []byte("c")}}})
	s.back.Send(&pgproto3.DataRow{Values: [][]byte{
		[]byte(primary), strconv.AppendUint(nil, uint64(p.Term), 10), strconv.AppendUint(nil, uint64(p.Position), 10),
	}})
	s.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	s.ready()
}

// run executes one statement and reports whether the connection lives on.
func (s *fakeSession) run(sql string, described bool) bool {
	if strings.TrimSpace(sql) == "" {
		s.back.Send(&pgproto3.EmptyQueryResponse{})
		return true
	}
	v := s.f.take(sql)
	switch v {
	case cutBefore:
		return false
	case garbage:
		s.back.Flush()
		s.wire.Write([]byte("\xff\x00\x00\x00\x10nonsense"))
		return false
	case fatalError:
		s.back.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "going"})
		s.back.Flush()
		return false
	case silent:
		s.back.Flush()
		s.wire.Read(make([]byte, 1))
		return false
	}
	if strings.Contains(sql, "fails") {
		s.fail("23505", "duplicate key")
		return true
	}
	if s.status == 'E' && !strings.HasPrefix(strings.ToLower(sql), "rollback") && !strings.HasPrefix(strings.ToLower(sql), "commit") {
		s.fail("25P02", "transaction is aborted")
		return true
	}
	s.result(sql, described, v)
	if v == doubled {
		s.ready()
		s.result(sql, described, v)
	}
	return v != cutMiddle && v != cutAfter
}

func (s *fakeSession) result(sql string, described bool, v fault) {
	word := strings.ToUpper(strings.Fields(sql)[0])
	if returnsRows(sql) {
		if described {
			s.back.Send(oneColumn())
		}
		for range s.f.rows {
			s.back.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
		}
		word = "SELECT " + strconv.Itoa(s.f.rows)
	}
	switch {
	case word == "BEGIN":
		s.status = 'T'
	case word == "COMMIT" && s.status == 'E':
		word, s.status = "ROLLBACK", 'I'
	case word == "COMMIT" || word == "ROLLBACK":
		s.status = 'I'
	case word == "INSERT":
		word = "INSERT 0 1"
		s.f.write()
	}
	if v == cutMiddle {
		s.back.Flush()
		return
	}
	s.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	if v == cutAfter {
		s.back.Flush()
	}
}

func (f *fakeTarget) write() {
	f.mu.Lock()
	f.point.Position++
	p := f.point
	f.mu.Unlock()
	for _, r := range f.followers {
		r.mu.Lock()
		r.point = p
		r.mu.Unlock()
	}
}

func (s *fakeSession) fail(code, message string) {
	s.back.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
	s.failed = true
	if s.status == 'T' {
		s.status = 'E'
	}
}

// ready sends what was answered, as a database server does behind each ReadyForQuery.
func (s *fakeSession) ready() {
	s.back.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.back.Flush()
}

func returnsRows(sql string) bool {
	return strings.HasPrefix(strings.ToLower(sql), "select")
}

func oneColumn() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
}
