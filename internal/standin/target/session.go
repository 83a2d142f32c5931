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
	target      *Target
	ctx         context.Context
	end         context.CancelFunc
	conn        net.Conn
	backend     *pgproto3.Backend
	pid         uint32
	key         []byte
	idleTimeout clock.Millis // applies outside a transaction block; 0 means none

	epoch     uint64             // the target's epoch at the start of the session; guarded by the network's mu
	interrupt context.CancelFunc // cancels the running statement; guarded by the network's mu

	inBlock        bool         // in a transaction block
	failed         bool         // the block accepts only its rollback
	readOnly       bool         // the block was started with READ ONLY
	hasSavepoint   bool         // the block has savepoints
	multiStatement bool         // the running simple query has more than one statement
	tx             *transaction // nil without a write

	skipToSync bool // ignore messages of the extended protocol until the next Sync
	prepared   map[string]*preparedStatement
	portals    map[string]*portal
}

// serve runs one session until it ends.
func (t *Target) serve(ctx context.Context, conn net.Conn) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s := &session{
		target:   t,
		ctx:      ctx,
		end:      end,
		conn:     conn,
		backend:  pgproto3.NewBackend(conn, conn),
		key:      make([]byte, keyBytes),
		prepared: make(map[string]*preparedStatement),
		portals:  make(map[string]*portal),
	}
	defer s.close()
	if err := t.network.clk.Sleep(ctx, t.cfg.ConnectDelay); err != nil {
		return
	}
	if !s.startUp() {
		return
	}
	s.loop(ctx)
}

func (s *session) close() {
	s.rollback()
	s.target.network.mu.Lock()
	defer s.target.network.mu.Unlock()
	delete(s.target.sessions, s)
	if s.target.lockOwner == s {
		s.target.lockOwner = nil
	}
}

// loop handles messages until the session ends.
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
			s.sendFatal(err)
			return
		}
		select {
		case next <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
	}
}

// receive passes messages to the loop one at a time, because a message is valid only until the next call of Receive.
func (s *session) receive(in chan<- pgproto3.FrontendMessage, next <-chan struct{}) {
	defer s.end()
	for {
		msg, err := s.backend.Receive()
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

// next waits for a message; it returns a fatal error if the idle timeout passes first.
func (s *session) next(in <-chan pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	var idleTimeout <-chan struct{}
	if s.idleTimeout > 0 && !s.inBlock {
		idleTimeout = s.target.network.clk.After(s.idleTimeout)
	}
	select {
	case msg := <-in:
		return msg, s.target.waitWhilePaused(s.ctx)
	case <-idleTimeout:
		return nil, fatal(codeIdleSession, endedByIdleTimeout)
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// sendFatal sends err to the client if it is fatal.
func (s *session) sendFatal(err error) {
	e := asSQLError(err)
	if !e.fatal {
		return
	}
	s.backend.Send(e.response())
	_ = s.flush()
}

// isCurrent reports whether the session began after the target last stopped being the primary.
func (s *session) isCurrent() bool {
	s.target.network.mu.Lock()
	defer s.target.network.mu.Unlock()
	return s.epoch == s.target.epoch
}

// handle handles one message; an error ends the session.
func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	if !s.isCurrent() {
		return fatal(codeShutdown, endedByChangeOfRole)
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return context.Canceled
	case *pgproto3.Query:
		s.skipToSync = false
		return s.query(ctx, m.String)
	case *pgproto3.Sync:
		s.skipToSync = false
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	default:
		if s.skipToSync {
			return nil
		}
		err = s.extended(ctx, msg)
	}
	if err == nil {
		return nil
	}
	s.skipToSync = true
	return s.refuse(err)
}

// refuse sends the error of a statement to the client; it returns a fatal error, which ends the session, instead.
func (s *session) refuse(err error) error {
	e := asSQLError(err)
	if e.fatal {
		return e
	}
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	s.failTransaction()
	s.backend.Send(e.response())
	return nil
}

// sync ends an implicit transaction and reports that the session is ready.
func (s *session) sync() error {
	if !s.inBlock {
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
	case s.inBlock:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

// flush sends the buffered messages; while the target is paused it waits.
func (s *session) flush() error {
	if err := s.target.waitWhilePaused(s.ctx); err != nil {
		return err
	}
	return s.backend.Flush()
}

// query runs the statements of a simple query as one implicit transaction.
func (s *session) query(ctx context.Context, text string) error {
	statements := split(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	s.multiStatement = len(statements) > 1
	for i := range statements {
		if err := s.runSimple(ctx, &statements[i]); err != nil {
			if err := s.refuse(err); err != nil {
				return err
			}
			break
		}
	}
	s.multiStatement = false
	return s.sync()
}

func (s *session) runSimple(ctx context.Context, st *statement) error {
	if st.parameters > 0 {
		return fail(codeProtocol, "a simple query has no parameters")
	}
	res, err := s.execute(ctx, st, nil)
	if err != nil {
		return err
	}
	if len(res.columns) > 0 {
		s.backend.Send(describeRow(res.columns, nil))
	}
	if err := s.sendRows(res, res.rows, nil); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tagOf(st, res.affected, res))})
	return nil
}
