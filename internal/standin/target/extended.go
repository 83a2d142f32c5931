package target

import (
	"context"
	"database/sql/driver"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement of a Parse message; st is nil for an empty one.
type preparedStatement struct {
	st   *statement
	oids []uint32
}

// portal is a bound statement; res is nil until it runs, and rows holds the rows that are not sent yet.
type portal struct {
	*preparedStatement
	args    []driver.Value
	formats []int16
	res     *result
	rows    [][]driver.Value
}

// extended handles the messages of the extended query protocol.
func (s *session) extended(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(ctx, m)
	case *pgproto3.Execute:
		return s.executePortal(ctx, m)
	case *pgproto3.Close:
		return s.closeObject(m)
	}
	return fail(codeProtocol, "message %T is not supported", msg)
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements := split(m.Query)
	if len(statements) > 1 {
		return fail(codeSyntax, severalCommandsPrepared)
	}
	p := &preparedStatement{}
	if len(statements) == 1 {
		p.st = &statements[0]
		p.oids = make([]uint32, p.st.parameters)
		copy(p.oids, m.ParameterOIDs)
	}
	s.prepared[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return fail(codeInvalidStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return fail(codeProtocol, "bind message supplies %d parameters, want %d", len(m.Parameters), len(p.oids))
	}
	args := make([]driver.Value, len(p.oids))
	for i, raw := range m.Parameters {
		v, err := decode(raw, p.oids[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		args[i] = v
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{preparedStatement: p, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) portal(name string) (*portal, error) {
	if p := s.portals[name]; p != nil {
		return p, nil
	}
	return nil, fail(codeInvalidPortal, "portal %q does not exist", name)
}

func (s *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, err := s.portal(m.Name)
		if err != nil {
			return err
		}
		return s.describeColumns(ctx, p.preparedStatement, p.formats)
	}
	p := s.prepared[m.Name]
	if p == nil {
		return fail(codeInvalidStatement, "prepared statement %q does not exist", m.Name)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	return s.describeColumns(ctx, p, nil)
}

func (s *session) describeColumns(ctx context.Context, p *preparedStatement, formats []int16) error {
	columns, err := s.columns(ctx, p)
	if err != nil {
		return err
	}
	if len(columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(describeRow(columns, formats))
	return nil
}

// columns returns the result columns of a statement without running it.
func (s *session) columns(ctx context.Context, p *preparedStatement) ([]column, error) {
	if p.st == nil {
		return nil, nil
	}
	switch p.st.kind {
	case controlStatement:
		return controls[p.st.text].columns, nil
	case readStatement, writeStatement:
	default:
		return nil, nil
	}
	if s.failed {
		return nil, fail(codeFailedTransaction, transactionIsAborted)
	}
	ctx, done := s.statementContext(ctx)
	defer done()
	unlock, err := s.lockForStatement(ctx)
	if err != nil {
		return nil, err
	}
	defer unlock()
	return s.target.db.describe(p.st.sql)
}

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	p, err := s.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.st == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.res == nil {
		res, err := s.execute(ctx, p.st, p.args)
		if err != nil {
			return err
		}
		p.res, p.rows = res, res.rows
	}
	limit := len(p.rows)
	if m.MaxRows > 0 {
		limit = min(limit, int(m.MaxRows))
	}
	if err := s.sendRows(p.res, p.rows[:limit], p.formats); err != nil {
		return err
	}
	p.rows = p.rows[limit:]
	if len(p.rows) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	n := p.res.affected
	if len(p.res.columns) > 0 {
		n = int64(limit)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tagOf(p.st, n, p.res))})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.prepared, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}
