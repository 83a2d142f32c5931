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

// ErrMalformedReply means that the target's answer does not have the expected shape.
var ErrMalformedReply = errors.New("malformed answer of target")

// PositionReply is the answer to PositionQuery.
type PositionReply struct {
	// Primary is true while the target takes writes.
	Primary bool
	// Applied is the last log record that reads on the target see.
	Applied position.Point
}

// row is the single row of text values of an answer.
type row []string

// Status asks the target what it says of itself.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	r, err := c.query(ctx, StatusQuery)
	if err != nil {
		return group.Status{}, fmt.Errorf("ask status: %w", err)
	}
	return parseStatus(r)
}

// Position asks the target for its role and the last point applied.
func (c *Conn) Position(ctx context.Context) (PositionReply, error) {
	defer c.BindContext(ctx)()
	c.SendPosition()
	if err := c.Flush(); err != nil {
		return PositionReply{}, fmt.Errorf("ask position: %w", err)
	}
	return c.ReceivePosition()
}

// encodedPositionQuery is PositionQuery as it is sent.
var encodedPositionQuery = encodeQuery(PositionQuery)

func encodeQuery(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // it is a constant, far below the limit on length
	}
	return b
}

// SendPosition buffers PositionQuery behind what was buffered before.
func (c *Conn) SendPosition() { c.SendEncoded(encodedPositionQuery, 1) }

// ReceivePosition reads the answer to PositionQuery up to its ReadyForQuery.
func (c *Conn) ReceivePosition() (PositionReply, error) {
	p, err := c.receivePosition()
	if err != nil {
		return PositionReply{}, fmt.Errorf("read position: %w", err)
	}
	return p, nil
}

// receivePosition parses the row in place, since each exchange has one.
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

// errNoRow means that an answer has no row.
var errNoRow = fmt.Errorf("no row: %w", ErrMalformedReply)

// Run executes statements that return nothing of interest, in one simple query.
func (c *Conn) Run(ctx context.Context, sql string) error {
	_, err := c.query(ctx, sql)
	return err
}

func (c *Conn) query(ctx context.Context, sql string) (row, error) {
	defer c.BindContext(ctx)()
	c.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		return nil, err
	}
	return c.readReply()
}

// readReply reads one answer up to ReadyForQuery and returns its last row.
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
		return group.Status{}, fmt.Errorf("status of %d columns: %w", len(r), ErrMalformedReply)
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
		return PositionReply{}, fmt.Errorf("position of %d columns: %w", len(r), ErrMalformedReply)
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
		return false, fmt.Errorf("flag %q: %w", s, ErrMalformedReply)
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

// parseUint reads digits without an allocation, which strconv would need for bytes.
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

// maxUint64Digits is the length of the largest number.
const maxUint64Digits = 20
