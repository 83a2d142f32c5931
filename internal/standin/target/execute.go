package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"strings"
)

// transaction is a write transaction; it holds the database until it ends.
type transaction struct {
	statements []loggedStatement
}

// execute runs one statement in the session's transaction block or implicit transaction.
func (s *session) execute(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if s.failed && !endsFailure(st) {
		return nil, fail(codeFailedTransaction, transactionIsAborted)
	}
	switch st.kind {
	case controlStatement:
		return s.control(ctx, st.text)
	case beginStatement:
		s.inBlock = true
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
	return s.runInSlot(ctx, st, args)
}

// endsFailure reports whether a failed transaction block accepts the statement.
func endsFailure(st *statement) bool {
	switch st.kind {
	case commitStatement, rollbackStatement:
		return true
	case savepointStatement:
		return st.verb == "ROLLBACK"
	}
	return false
}

// endBlock ends the transaction block; the tag of the result is COMMIT or ROLLBACK.
func (s *session) endBlock(commit bool) (*result, error) {
	s.inBlock, s.failed, s.readOnly, s.hasSavepoint = false, false, false, false
	if !commit {
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, s.commit()
}

// savepoint runs a savepoint statement. A block that cannot write has nothing to restore, so the statement only clears its failure.
func (s *session) savepoint(ctx context.Context, st *statement) (*result, error) {
	if !s.inBlock {
		return nil, fail("25P01", "%s can only be used in transaction blocks", st.verb)
	}
	if s.readOnly || !s.target.isPrimary() {
		s.failed = false
		return &result{}, nil
	}
	res, err := s.runInSlot(ctx, st, nil)
	if err != nil {
		return nil, err
	}
	s.hasSavepoint, s.failed = true, false
	return res, nil
}

func (t *Target) isPrimary() bool {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.primary
}

// statementContext returns a context that ends with ctx, a cancel request or the call of done.
func (s *session) statementContext(ctx context.Context) (statement context.Context, done func()) {
	statement, cancel := context.WithCancel(ctx)
	s.setInterrupt(cancel)
	return statement, func() {
		s.setInterrupt(nil)
		cancel()
	}
}

func (s *session) setInterrupt(f context.CancelFunc) {
	s.target.network.mu.Lock()
	defer s.target.network.mu.Unlock()
	s.interrupt = f
}

// runInSlot runs a read or a write in a slot; it fails at once if all slots are in use.
func (s *session) runInSlot(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if !s.target.acquireSlot() {
		s.target.refused.Add(1)
		return nil, fail(codeTooManyConnections, noFreeSlot)
	}
	defer s.target.releaseSlot()
	ctx, done := s.statementContext(ctx)
	defer done()
	if d := s.target.cfg.StatementTime; d > 0 {
		if err := s.target.network.clk.Sleep(ctx, d); err != nil {
			return nil, err
		}
	}
	if st.kind == readStatement {
		s.target.reads.Add(1)
		return s.read(ctx, st, args)
	}
	return s.write(ctx, st, args)
}

func (t *Target) acquireSlot() bool {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.cfg.Slots > 0 && t.inFlight >= t.cfg.Slots {
		return false
	}
	t.inFlight++
	return true
}

func (t *Target) releaseSlot() {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.inFlight--
}

func (s *session) read(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	unlock, err := s.lockForStatement(ctx)
	if err != nil {
		return nil, err
	}
	defer unlock()
	return s.target.db.run(ctx, st.sql, args)
}

// lockForStatement locks the database for one statement unless the session's transaction holds it already.
func (s *session) lockForStatement(ctx context.Context) (unlock func(), err error) {
	if s.tx != nil {
		return func() {}, nil
	}
	if err := s.target.lockDatabase(ctx); err != nil {
		return nil, err
	}
	return s.target.unlockDatabase, nil
}

func (s *session) write(ctx context.Context, st *statement, args []driver.Value) (*result, error) {
	if s.readOnly {
		return nil, fail(codeReadOnly, cannotWriteOnReplica)
	}
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	res, err := s.target.db.run(ctx, st.sql, args)
	if err != nil {
		return nil, err
	}
	s.target.writes.Add(1)
	s.tx.statements = append(s.tx.statements, loggedStatement{sql: st.sql, args: args})
	return res, nil
}

// begin starts the write transaction of the session if there is none.
func (s *session) begin(ctx context.Context) error {
	if s.tx != nil {
		return nil
	}
	if !s.target.isPrimary() {
		return fail(codeReadOnly, cannotWriteOnReplica)
	}
	if err := s.target.lockDatabase(ctx); err != nil {
		return err
	}
	if err := s.target.db.exec("BEGIN"); err != nil {
		s.target.unlockDatabase()
		return fmt.Errorf("begin: %w", err)
	}
	s.tx = new(transaction)
	return nil
}

// commit appends the session's writes to the log as one record; without a write transaction it does nothing.
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
	s.target.unlockDatabase()
	return nil
}

// append commits the transaction in the database and appends its record while the target is up, not paused and still the primary.
func (s *session) append() error {
	target := s.target
	if err := target.lockUnpaused(s.ctx); err != nil {
		return err
	}
	defer target.network.mu.Unlock()
	if !target.up {
		return context.Canceled
	}
	if !target.primary || s.epoch != target.epoch {
		return fatal(codeShutdown, endedByChangeOfRole)
	}
	if err := target.db.exec("COMMIT"); err != nil {
		return err
	}
	target.append(s.tx.statements)
	return nil
}

// lockUnpaused waits until the target is not paused and returns with the network's mu held.
func (t *Target) lockUnpaused(ctx context.Context) error {
	for {
		if err := t.waitWhilePaused(ctx); err != nil {
			return err
		}
		t.network.mu.Lock()
		if !t.paused {
			return nil
		}
		t.network.mu.Unlock()
	}
}

// rollback rolls the session's write transaction back and releases the database.
func (s *session) rollback() {
	if s.tx == nil {
		return
	}
	s.target.db.rollback()
	s.tx = nil
	s.target.unlockDatabase()
}

// failTransaction records an error: a block accepts only its rollback, an implicit transaction ends. The writes are kept only if the
// block has savepoints.
func (s *session) failTransaction() {
	s.failed = s.inBlock
	if !s.hasSavepoint {
		s.rollback()
	}
}

// tagOf returns the command tag of a finished statement with n rows.
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
