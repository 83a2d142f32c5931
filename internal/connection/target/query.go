package target

import (
	"context"
	"errors"
	"fmt"
	"math"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// ErrMalformedReply means that a reply to a control statement does not have the expected columns or values.
var ErrMalformedReply = errors.New("malformed reply from target")

// PositionReply is the reply to PositionQuery.
type PositionReply struct {
	// Primary is true if the target accepts writes.
	Primary bool
	// Applied is the last log record that is visible to reads on the target.
	Applied position.Point
}

// row holds the text values of a reply's single row.
type row []string

// Status requests the target's status: its promise, role and log positions.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	r, err := c.query(ctx, StatusQuery)
	if err != nil {
		return group.Status{}, fmt.Errorf("query status: %w", err)
	}
	return parseStatus(r)
}

// Position requests the target's role and its last applied point.
func (c *Conn) Position(ctx context.Context) (PositionReply, error) {
	defer c.BindContext(ctx)()
	c.SendPosition()
	if err := c.Flush(); err != nil {
		return PositionReply{}, fmt.Errorf("query position: %w", err)
	}
	return c.ReceivePosition()
}

// encodedPositionQuery is PositionQuery in wire format, encoded once.
var encodedPositionQuery = encodeQuery(PositionQuery)

func encodeQuery(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // Encode fails only for a message above the length limit, which the constant queries are far below.
	}
	return b
}

// SendPosition buffers PositionQuery; ReceivePosition reads its reply.
func (c *Conn) SendPosition() { c.SendEncoded(encodedPositionQuery, 1) }

// ReceivePosition reads the reply to PositionQuery up to its ReadyForQuery.
func (c *Conn) ReceivePosition() (PositionReply, error) {
	p, err := c.receivePosition()
	if err != nil {
		return PositionReply{}, fmt.Errorf("read position reply: %w", err)
	}
	return p, nil
}

// receivePosition parses the row without copying it, since it runs once per exchange.
func (c *Conn) receivePosition() (PositionReply, error) {
	var p PositionReply
	replyErr := errNoRow
	for {
		msg, err := c.Receive()
		if err != nil {
			return PositionReply{}, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			p, replyErr = parsePosition(m.Values)
		case *pgproto3.ErrorResponse:
			replyErr = serverError(m)
		case *pgproto3.ReadyForQuery:
			return p, replyErr
		}
	}
}

// errNoRow means that the reply to PositionQuery has no row.
var errNoRow = fmt.Errorf("no row in position reply: %w", ErrMalformedReply)

// Run executes statements in one simple query and ignores the rows that they return.
func (c *Conn) Run(ctx context.Context, sql string) error {
	_, err := c.query(ctx, sql)
	return err
}

// query runs a simple query and returns its last row.
func (c *Conn) query(ctx context.Context, sql string) (row, error) {
	defer c.BindContext(ctx)()
	c.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		return nil, err
	}
	return c.readReply()
}

// readReply reads one reply up to ReadyForQuery and returns its last row, or the target's error as a *ServerError.
func (c *Conn) readReply() (row, error) {
	var r row
	var replyErr error
	for {
		msg, err := c.Receive()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r = textRow(m)
		case *pgproto3.ErrorResponse:
			replyErr = serverError(m)
		case *pgproto3.ReadyForQuery:
			return r, replyErr
		}
	}
}

func textRow(m *pgproto3.DataRow) row {
	r := make(row, len(m.Values))
	for i, v := range m.Values {
		r[i] = string(v)
	}
	return r
}

const (
	statusColumns   = 8
	positionColumns = 3
)

func parseStatus(r row) (group.Status, error) {
	if len(r) != statusColumns {
		return group.Status{}, fmt.Errorf("status row has %d columns, want %d: %w", len(r), statusColumns, ErrMalformedReply)
	}
	promise, err := parseUint(r[0])
	if err != nil {
		return group.Status{}, err
	}
	received, err := parsePoint(r[4], r[5])
	if err != nil {
		return group.Status{}, err
	}
	applied, err := parsePoint(r[6], r[7])
	if err != nil {
		return group.Status{}, err
	}
	primary, err := parseFlag(r[2])
	if err != nil {
		return group.Status{}, err
	}
	return group.Status{
		Promise:   position.Term(promise),
		Holder:    group.DaemonID(r[1]),
		Primary:   primary,
		Following: group.TargetID(r[3]),
		Received:  received,
		Applied:   applied,
	}, nil
}

func parsePosition(r [][]byte) (PositionReply, error) {
	if len(r) != positionColumns {
		return PositionReply{}, fmt.Errorf("position row has %d columns, want %d: %w", len(r), positionColumns, ErrMalformedReply)
	}
	primary, err := parseFlag(r[0])
	if err != nil {
		return PositionReply{}, err
	}
	point, err := parsePoint(r[1], r[2])
	if err != nil {
		return PositionReply{}, err
	}
	return PositionReply{Primary: primary, Applied: point}, nil
}

func parseFlag[T string | []byte](s T) (bool, error) {
	switch string(s) {
	case "t":
		return true, nil
	case "f":
		return false, nil
	default:
		return false, fmt.Errorf("boolean %q is neither t nor f: %w", s, ErrMalformedReply)
	}
}

func parsePoint[T string | []byte](term, pos T) (position.Point, error) {
	t, err := parseUint(term)
	if err != nil {
		return position.Point{}, err
	}
	n, err := parseUint(pos)
	if err != nil {
		return position.Point{}, err
	}
	return position.Point{Term: position.Term(t), Position: position.Position(n)}, nil
}

// parseUint parses decimal digits; strconv would need an allocation for a byte slice.
func parseUint[T string | []byte](s T) (uint64, error) {
	if len(s) == 0 || len(s) > maxUint64Digits {
		return 0, fmt.Errorf("number %q: %w", s, ErrMalformedReply)
	}
	var n uint64
	for i := range len(s) {
		d := uint64(s[i] - '0')
		if d > 9 || n > (math.MaxUint64-d)/10 {
			return 0, fmt.Errorf("number %q: %w", s, ErrMalformedReply)
		}
		n = n*10 + d
	}
	return n, nil
}

// maxUint64Digits is the number of decimal digits of the largest uint64.
const maxUint64Digits = 20
