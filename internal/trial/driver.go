package trial

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// tokenParameter is under which name a session's token travels.
const tokenParameter = "cactusfork.token"

// Statement is one request of a session.
type Statement struct {
	SQL string
	// Simple sends it by the simple protocol, else by the extended one.
	Simple bool
}

// Answer is what came back of a statement.
type Answer struct {
	Rows []Answered
	Fate Fate
	// Code is the SQLSTATE of the error; empty when there was none.
	Code string
}

// Answered is one row of an answer.
type Answered struct {
	ID    string
	Lot   string
	Nonce string
}

// Driver runs a session's statements; a test replaces a field to break a promise.
type Driver struct {
	Run func(ctx context.Context, c *pgconn.PgConn, s Statement) Answer
}

// NewDriver returns the driver of an ordinary caller, which repeats nothing.
func NewDriver() *Driver { return &Driver{Run: run} }

func run(ctx context.Context, c *pgconn.PgConn, s Statement) Answer {
	var (
		rows [][][]byte
		err  error
	)
	if s.Simple {
		rows, err = runSimple(ctx, c, s.SQL)
	} else {
		r := c.ExecParams(ctx, s.SQL, nil, nil, nil, nil).Read()
		rows, err = r.Rows, r.Err
	}
	a := Answer{Fate: fateOf(err), Code: codeOf(err)}
	for _, row := range rows {
		if len(row) >= 4 {
			a.Rows = append(a.Rows, Answered{ID: string(row[0]), Lot: string(row[1]), Nonce: string(row[3])})
		}
	}
	return a
}

func runSimple(ctx context.Context, c *pgconn.PgConn, sql string) ([][][]byte, error) {
	results, err := c.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var rows [][][]byte
	for _, r := range results {
		if r.Err != nil {
			return nil, r.Err
		}
		rows = append(rows, r.Rows...)
	}
	return rows, nil
}

// fateOf reads what an error says of the request.
func fateOf(err error) Fate {
	if err == nil {
		return Acknowledged
	}
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return Unknown
	}
	if pe.Detail == refusal.NotRunDetail {
		return NotRun
	}
	unknown := []string{refusal.UnknownOutcomeCode, "08006", "57P01", "57014"}
	if slices.Contains(unknown, pe.Code) {
		return Unknown
	}
	return Failed
}

// codeOf returns the SQLSTATE of err, "cut" for an error of the connection.
func codeOf(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pe):
		return pe.Code
	}
	return "cut"
}

// connect opens a session's connection to a daemon, with its token when it carries one.
func connect(ctx context.Context, address, token string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("postgres://precios@" + address + "/precios?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("parse address: %w", err)
	}
	if token != "" {
		cfg.RuntimeParams[tokenParameter] = token
	}
	c, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return c, nil
}
