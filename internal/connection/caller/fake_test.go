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

// fault is a failure that a fake target simulates when it executes a statement.
type fault int

const (
	noFault fault = iota
	// closeBeforeReply closes the connection before the statement runs.
	closeBeforeReply
	// closeMidReply closes the connection after the rows, before CommandComplete.
	closeMidReply
	// closeBeforeReady closes the connection after CommandComplete.
	closeBeforeReady
	// duplicateReply executes the statement and replies to it twice.
	duplicateReply
	// garbageReply sends an invalid message and closes the connection.
	garbageReply
	// fatalErrorReply sends a FATAL error and closes the connection.
	fatalErrorReply
	// noReply never replies; the connection stays open until the peer closes it.
	noReply
)

// fakeTarget is a scripted target: it speaks the wire protocol, logs statements and simulates faults.
type fakeTarget struct {
	listener net.Listener
	mu       sync.Mutex
	// primary and point are the reply to position queries.
	primary bool
	point   position.Point
	// faults maps a text to the fault of the first statement that contains it; each fault occurs once.
	faults map[string]fault
	// log lists the statements that ran. logDisabled turns the log and the faults off, for benchmarks.
	log         []string
	logDisabled bool
	// cancelRequests is the number of cancel requests received.
	cancelRequests int
	// rows is the number of rows that a select returns.
	rows  int
	conns []net.Conn
	// followers reach the point of every write at once.
	followers []*fakeTarget
}

func newFakeTarget(tb testing.TB, primary bool) *fakeTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	f := &fakeTarget{listener: listener, primary: primary, point: position.Point{Term: 1, Position: 100}, faults: map[string]fault{}, rows: 1}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, netConn)
			f.mu.Unlock()
			wg.Go(func() { f.serve(netConn) })
		}
	})
	tb.Cleanup(func() {
		listener.Close()
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

// runCount returns how many statements that contain sql ran.
func (f *fakeTarget) runCount(sql string) int {
	n := 0
	for _, s := range f.statements() {
		if strings.Contains(s, sql) {
			n++
		}
	}
	return n
}

// record logs a statement and returns the fault to simulate for it.
func (f *fakeTarget) record(sql string) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logDisabled {
		return noFault
	}
	f.log = append(f.log, sql)
	for text, v := range f.faults {
		if strings.Contains(sql, text) {
			delete(f.faults, text)
			return v
		}
	}
	return noFault
}

// fakeSession is one connection to a fake target.
type fakeSession struct {
	server   *fakeTarget
	netConn  net.Conn
	backend  *pgproto3.Backend
	status   byte
	failed   bool
	prepared map[string]string
	portals  map[string]string
}

func (f *fakeTarget) serve(netConn net.Conn) {
	defer netConn.Close()
	s := &fakeSession{server: f, netConn: netConn, backend: pgproto3.NewBackend(netConn, netConn), status: 'I', prepared: map[string]string{}, portals: map[string]string{}}
	msg, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := msg.(*pgproto3.CancelRequest); ok {
		f.mu.Lock()
		f.cancelRequests++
		f.mu.Unlock()
		return
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.sendReady()
	for s.handleMessage() {
	}
}

// handleMessage replies to one message and reports whether the connection stays open.
func (s *fakeSession) handleMessage() bool {
	msg, err := s.backend.Receive()
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
			s.sendError("42P05", "prepared statement exists")
			return true
		}
		if strings.Contains(m.Query, "syntax error") {
			s.sendError("42601", "syntax error")
			return true
		}
		s.prepared[m.Name] = strings.Clone(m.Query)
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.sendError("26000", "no such prepared statement")
			return true
		}
		s.portals[m.DestinationPortal] = sql
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := s.portals[m.Name]
		if m.ObjectType == 'S' {
			var ok bool
			if sql, ok = s.prepared[m.Name]; !ok {
				s.sendError("26000", "no such prepared statement")
				return true
			}
			s.backend.Send(&pgproto3.ParameterDescription{})
		}
		if returnsRows(sql) {
			s.backend.Send(oneColumn())
		} else {
			s.backend.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		sql, ok := s.portals[m.Portal]
		if !ok {
			s.sendError("34000", "no such portal")
			return true
		}
		return s.runStatement(sql, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.failed = false
		s.sendReady()
	}
	return true
}

func (s *fakeSession) query(sql string) bool {
	if sql == target.PositionQuery {
		s.sendPosition()
		return true
	}
	for _, part := range strings.Split(sql, ";") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		if !s.runStatement(strings.TrimSpace(part), true) {
			return false
		}
		if s.failed {
			break
		}
	}
	s.failed = false
	s.sendReady()
	return true
}

// sendPosition replies to a position query.
func (s *fakeSession) sendPosition() {
	s.server.mu.Lock()
	primary, p := "f", s.server.point
	if s.server.primary {
		primary = "t"
	}
	s.server.mu.Unlock()
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a")}, {Name: []byte("b")}, {Name: []byte("c")}}})
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{
		[]byte(primary), strconv.AppendUint(nil, uint64(p.Term), 10), strconv.AppendUint(nil, uint64(p.Position), 10),
	}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	s.sendReady()
}

// runStatement executes one statement and reports whether the connection stays open. A statement that contains "fails" ends in a unique violation.
func (s *fakeSession) runStatement(sql string, described bool) bool {
	if strings.TrimSpace(sql) == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return true
	}
	v := s.server.record(sql)
	switch v {
	case closeBeforeReply:
		return false
	case garbageReply:
		s.backend.Flush()
		s.netConn.Write([]byte("\xff\x00\x00\x00\x10nonsense"))
		return false
	case fatalErrorReply:
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "going"})
		s.backend.Flush()
		return false
	case noReply:
		s.backend.Flush()
		s.netConn.Read(make([]byte, 1))
		return false
	}
	if strings.Contains(sql, "fails") {
		s.sendError("23505", "duplicate key")
		return true
	}
	if s.status == 'E' && !strings.HasPrefix(strings.ToLower(sql), "rollback") && !strings.HasPrefix(strings.ToLower(sql), "commit") {
		s.sendError("25P02", "transaction is aborted")
		return true
	}
	s.sendResult(sql, described, v)
	if v == duplicateReply {
		s.sendReady()
		s.sendResult(sql, described, v)
	}
	return v != closeMidReply && v != closeBeforeReady
}

// sendResult replies to a statement and updates the transaction status; described adds the row description of a simple query.
func (s *fakeSession) sendResult(sql string, described bool, v fault) {
	tag := strings.ToUpper(strings.Fields(sql)[0])
	if returnsRows(sql) {
		if described {
			s.backend.Send(oneColumn())
		}
		for range s.server.rows {
			s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
		}
		tag = "SELECT " + strconv.Itoa(s.server.rows)
	}
	switch {
	case tag == "BEGIN":
		s.status = 'T'
	case tag == "COMMIT" && s.status == 'E':
		tag, s.status = "ROLLBACK", 'I'
	case tag == "COMMIT" || tag == "ROLLBACK":
		s.status = 'I'
	case tag == "INSERT":
		tag = "INSERT 0 1"
		s.server.advance()
	}
	if v == closeMidReply {
		s.backend.Flush()
		return
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	if v == closeBeforeReady {
		s.backend.Flush()
	}
}

// advance moves the point of the target and its followers by one write.
func (f *fakeTarget) advance() {
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

func (s *fakeSession) sendError(code, message string) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
	s.failed = true
	if s.status == 'T' {
		s.status = 'E'
	}
}

// sendReady sends ReadyForQuery and flushes, as a database server does.
func (s *fakeSession) sendReady() {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.backend.Flush()
}

func returnsRows(sql string) bool {
	return strings.HasPrefix(strings.ToLower(sql), "select")
}

func oneColumn() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
}
