package trial

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// tokenParameter is the start-up parameter and the parameter status that carry a session's token.
const tokenParameter = "cactusfork.token"

// Statement is one statement of a session.
type Statement struct {
	SQL string
	// Simple selects the simple query protocol instead of the extended one.
	Simple bool
}

// Reply is the reply to a statement.
type Reply struct {
	Rows    []ReplyRow
	Outcome Outcome
	// Code is the SQLSTATE of the error, "cut" for an error of the connection, or empty without an error.
	Code string
}

// ReplyRow is one row of a reply.
type ReplyRow struct {
	ID    string
	Lot   string
	Nonce string
}

// Driver runs the statements of sessions; a test replaces Run to break a guarantee.
type Driver struct {
	Run func(ctx context.Context, c *pgconn.PgConn, s Statement) Reply
}

// NewDriver returns a driver that sends each statement once and does not retry.
func NewDriver() *Driver { return &Driver{Run: run} }

func run(ctx context.Context, c *pgconn.PgConn, s Statement) Reply {
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
	reply := Reply{Outcome: outcomeOf(err), Code: codeOf(err)}
	for _, row := range rows {
		if len(row) >= 4 {
			reply.Rows = append(reply.Rows, ReplyRow{ID: string(row[0]), Lot: string(row[1]), Nonce: string(row[3])})
		}
	}
	return reply
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

// outcomeOf derives the outcome of a request from its error.
func outcomeOf(err error) Outcome {
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

// codeOf returns the SQLSTATE of err, "cut" for an error of the connection, or an empty string for nil.
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

// connect opens a session's connection to a daemon; a token that is not empty is sent as a start-up parameter.
func connect(ctx context.Context, address, token string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("postgres://precios@" + address + "/precios?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("parse daemon address: %w", err)
	}
	if token != "" {
		cfg.RuntimeParams[tokenParameter] = token
	}
	c, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("connect to daemon: %w", err)
	}
	return c, nil
}
