package target

import (
	"context"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// session is one connection of a caller, a proxy or a daemon.
type session struct {
	t    *Target
	ctx  context.Context
	end  context.CancelFunc
	conn net.Conn
	wire *pgproto3.Backend
	pid  uint32
	key  []byte
	idle clock.Millis // how long the session may be idle; 0 is for ever

	epoch     uint64             // guarded by the network's mu
	interrupt context.CancelFunc // guarded by the network's mu; ends the statement at work

	block    bool // in a transaction block
	failed   bool // the block waits for its rollback
	readOnly bool
	saved    bool // the block has savepoints
	several  bool // the statement is one of several in a query
	tx       *transaction

	skip     bool // until the next Sync
	prepared map[string]*prepared
	portals  map[string]*portal
}

// serve runs one session until it ends.
func (t *Target) serve(ctx context.Context, conn net.Conn) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s := &session{
		t:        t,
		ctx:      ctx,
		end:      end,
		conn:     conn,
		wire:     pgproto3.NewBackend(conn, conn),
		key:      make([]byte, keyBytes),
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
	}
	defer s.close()
	if err := t.n.clk.Sleep(ctx, t.cfg.ConnectDelay); err != nil {
		return
	}
	if !s.startUp() {
		return
	}
	s.loop(ctx)
}

func (s *session) close() {
	s.rollback()
	s.t.n.mu.Lock()
	defer s.t.n.mu.Unlock()
	delete(s.t.sessions, s)
	if s.t.lockOwner == s {
		s.t.lockOwner = nil
	}
}

// loop answers messages until the session ends.
func (s *session) loop(ctx context.Context) {
	in, next := make(chan pgproto3.FrontendMessage), make(chan struct{})
	var reader sync.WaitGroup
	defer reader.Wait()
	defer s.end()
	reader.Go(func() { s.receive(in, next) })
	for {
		msg, err := s.next(in)
		if err == nil {
			err = s.handle(ctx, msg)
		}
		if err != nil {
			s.leave(err)
			return
		}
		select {
		case next <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
	}
}

// receive passes on one message at a time, as each is valid only until the next.
func (s *session) receive(in chan<- pgproto3.FrontendMessage, next <-chan struct{}) {
	defer s.end()
	for {
		msg, err := s.wire.Receive()
		if err != nil {
			return
		}
		select {
		case in <- msg:
		case <-s.ctx.Done():
			return
		}
		select {
		case <-next:
		case <-s.ctx.Done():
			return
		}
	}
}

// next waits for a message, for as long as the session may be idle.
func (s *session) next(in <-chan pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	var idle <-chan struct{}
	if s.idle > 0 && !s.block {
		idle = s.t.n.clk.After(s.idle)
	}
	select {
	case msg := <-in:
		return msg, s.t.running(s.ctx)
	case <-idle:
		return nil, fatal(codeIdleSession, endedByIdleTimeout)
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// leave tells the other side why the session ends, if there is something to say.
func (s *session) leave(err error) {
	e := asSQLError(err)
	if !e.fatal {
		return
	}
	s.wire.Send(e.response())
	_ = s.flush()
}

// current reports whether the target has not been restarted as a replica since the session began.
func (s *session) current() bool {
	s.t.n.mu.Lock()
	defer s.t.n.mu.Unlock()
	return s.epoch == s.t.epoch
}

// handle answers one message; an error ends the session.
func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	if !s.current() {
		return fatal(codeShutdown, endedByChangeOfRole)
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return context.Canceled
	case *pgproto3.Query:
		s.skip = false
		return s.query(ctx, m.String)
	case *pgproto3.Sync:
		s.skip = false
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	default:
		if s.skip {
			return nil
		}
		err = s.extended(ctx, msg)
	}
	if err == nil {
		return nil
	}
	s.skip = true
	return s.refuse(err)
}

// refuse answers a statement with an error; a fatal one is returned.
func (s *session) refuse(err error) error {
	e := asSQLError(err)
	if e.fatal {
		return e
	}
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	s.fail()
	s.wire.Send(e.response())
	return nil
}

// sync ends an implicit transaction.
func (s *session) sync() error {
	if !s.block {
		clear(s.portals)
		if err := s.commit(); err != nil {
			if err := s.refuse(err); err != nil {
				return err
			}
		}
	}
	return s.ready()
}

func (s *session) ready() error {
	status := byte('I')
	switch {
	case s.failed:
		status = 'E'
	case s.block:
		status = 'T'
	}
	s.wire.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

// flush sends what is buffered, unless the target is paused.
func (s *session) flush() error {
	if err := s.t.running(s.ctx); err != nil {
		return err
	}
	return s.wire.Flush()
}

// query runs the statements of a simple query as one implicit transaction.
func (s *session) query(ctx context.Context, text string) error {
	statements := split(text)
	if len(statements) == 0 {
		s.wire.Send(&pgproto3.EmptyQueryResponse{})
	}
	s.several = len(statements) > 1
	for i := range statements {
		if err := s.answer(ctx, &statements[i]); err != nil {
			if err := s.refuse(err); err != nil {
				return err
			}
			break
		}
	}
	s.several = false
	return s.sync()
}

func (s *session) answer(ctx context.Context, st *statement) error {
	if st.parameters > 0 {
		return fail(codeProtocol, "a simple query has no parameters")
	}
	res, err := s.execute(ctx, st, nil)
	if err != nil {
		return err
	}
	if len(res.columns) > 0 {
		s.wire.Send(describeRow(res.columns, nil))
	}
	if err := s.sendRows(res, res.rows, nil); err != nil {
		return err
	}
	s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(tagOf(st, res.affected, res))})
	return nil
}
