package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"strings"
)

// transaction is a writing transaction; while it is open it holds the database.
type transaction struct {
	statements []logged
}

// execute runs one statement in whatever transaction the session is in.
func (s *session) execute(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if s.failed && !endsFailure(st) {
		return nil, fail(codeFailedTransaction, transactionIsAborted)
	}
	switch st.kind {
	case controlStatement:
		return s.control(ctx, st.text)
	case beginStatement:
		s.block = true
		s.readOnly = strings.Contains(strings.ToUpper(st.text), "READ ONLY")
		return &result{}, nil
	case commitStatement:
		return s.endBlock(!s.failed)
	case rollbackStatement:
		return s.endBlock(false)
	case savepointStatement:
		return s.savepoint(ctx, st)
	case settingStatement:
		s.setIdleTimeout(st.text)
		return &result{}, nil
	}
	return s.work(ctx, st, args)
}

func endsFailure(st *statement) bool {
	switch st.kind {
	case commitStatement, rollbackStatement:
		return true
	case savepointStatement:
		return st.verb == "ROLLBACK"
	}
	return false
}

// endBlock ends the transaction block; the tag of the result tells which way.
func (s *session) endBlock(commit bool) (*result, error) {
	s.block, s.failed, s.readOnly, s.saved = false, false, false, false
	if !commit {
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, s.commit()
}

func (s *session) savepoint(ctx context.Context, st *statement) (*result, error) {
	if !s.block {
		return nil, fail("25P01", "%s can only be used in transaction blocks", st.verb)
	}
	if s.readOnly || !s.t.isPrimary() {
		s.failed = false
		return &result{}, nil
	}
	res, err := s.work(ctx, st, nil)
	if err != nil {
		return nil, err
	}
	s.saved, s.failed = true, false
	return res, nil
}

func (t *Target) isPrimary() bool {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	return t.primary
}

// statementContext ends with the session, a cancel request or the call of done.
func (s *session) statementContext(ctx context.Context) (statement context.Context, done func()) {
	statement, cancel := context.WithCancel(ctx)
	s.setInterrupt(cancel)
	return statement, func() {
		s.setInterrupt(nil)
		cancel()
	}
}

func (s *session) setInterrupt(f context.CancelFunc) {
	s.t.n.mu.Lock()
	defer s.t.n.mu.Unlock()
	s.interrupt = f
}

// work runs a read or a write in a slot.
func (s *session) work(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if !s.t.takeSlot() {
		s.t.refused.Add(1)
		return nil, fail(codeTooManyConnections, noFreeSlot)
	}
	defer s.t.giveSlot()
	ctx, done := s.statementContext(ctx)
	defer done()
	if d := s.t.cfg.StatementTime; d > 0 {
		if err := s.t.n.clk.Sleep(ctx, d); err != nil {
			return nil, err
		}
	}
	if st.kind == readStatement {
		s.t.reads.Add(1)
		return s.read(ctx, st, args)
	}
	return s.write(ctx, st, args)
}

func (t *Target) takeSlot() bool {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if t.cfg.Slots > 0 && t.atWork >= t.cfg.Slots {
		return false
	}
	t.atWork++
	return true
}

func (t *Target) giveSlot() {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.atWork--
}

func (s *session) read(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	unlock, err := s.hold(ctx)
	if err != nil {
		return nil, err
	}
	defer unlock()
	return s.t.db.run(ctx, st.sql, args)
}

// hold takes the database for one statement unless the session's transaction holds it already.
func (s *session) hold(ctx context.Context) (unlock func(), err error) {
	if s.tx != nil {
		return func() {}, nil
	}
	if err := s.t.lockDatabase(ctx); err != nil {
		return nil, err
	}
	return s.t.unlockDatabase, nil
}

func (s *session) write(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if s.readOnly {
		return nil, fail(codeReadOnly, cannotWriteOnReplica)
	}
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	res, err := s.t.db.run(ctx, st.sql, args)
	if err != nil {
		return nil, err
	}
	s.t.writes.Add(1)
	s.tx.statements = append(s.tx.statements, logged{sql: st.sql, args: args})
	return res, nil
}

// begin starts the writing transaction of the session if there is none.
func (s *session) begin(ctx context.Context) error {
	if s.tx != nil {
		return nil
	}
	if !s.t.isPrimary() {
		return fail(codeReadOnly, cannotWriteOnReplica)
	}
	if err := s.t.lockDatabase(ctx); err != nil {
		return err
	}
	if err := s.t.db.exec("BEGIN"); err != nil {
		s.t.unlockDatabase()
		return fmt.Errorf("begin: %w", err)
	}
	s.tx = new(transaction)
	return nil
}

// commit makes the session's writes a record of the log; without any it does nothing.
func (s *session) commit() error {
	if s.tx == nil {
		return nil
	}
	err := s.append()
	if err != nil {
		s.rollback()
		return err
	}
	s.tx = nil
	s.t.unlockDatabase()
	return nil
}

func (s *session) append() error {
	t := s.t
	if err := t.lockRunning(s.ctx); err != nil {
		return err
	}
	defer t.n.mu.Unlock()
	if !t.up {
		return context.Canceled
	}
	if !t.primary || s.epoch != t.epoch {
		return fatal(codeShutdown, endedByChangeOfRole)
	}
	if err := t.db.exec("COMMIT"); err != nil {
		return err
	}
	t.append(s.tx.statements)
	return nil
}

// lockRunning takes mu at a moment when the target is not paused.
func (t *Target) lockRunning(ctx context.Context) error {
	for {
		if err := t.running(ctx); err != nil {
			return err
		}
		t.n.mu.Lock()
		if !t.paused {
			return nil
		}
		t.n.mu.Unlock()
	}
}

// rollback drops the session's writes and frees the database.
func (s *session) rollback() {
	if s.tx == nil {
		return
	}
	s.t.db.rollback()
	s.tx = nil
	s.t.unlockDatabase()
}

// fail notes an error: a block waits for its rollback, an implicit transaction ends.
func (s *session) fail() {
	s.failed = s.block
	if !s.saved {
		s.rollback()
	}
}

// tagOf is the command tag of a finished statement.
func tagOf(st *statement, n int64, res *result) string {
	if res.tag != "" {
		return res.tag
	}
	switch st.verb {
	case "INSERT", "REPLACE":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", st.verb, n)
	case "START":
		return "BEGIN"
	case "CREATE", "DROP", "ALTER":
		return st.verb + " " + strings.ToUpper(verbOf(st.text[len(st.verb):]))
	}
	if len(res.columns) > 0 {
		return fmt.Sprintf("SELECT %d", n)
	}
	return st.verb
}
