package capacity

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// scripted is a target that answers every statement with the same row and tells its position; its own cost is small and the same on all paths.
type scripted struct {
	address string
	primary string
	// position rises with each statement of a primary, so that each write hands out a new token.
	position atomic.Uint64
}

// newScripted starts a scripted target that ends with ctx.
func newScripted(ctx context.Context, primary bool) (*scripted, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &scripted{address: l.Addr().String(), primary: "f"}
	if primary {
		s.primary = "t"
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(ctx, conn)
		}
	}()
	return s, nil
}

func (s *scripted) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	back := pgproto3.NewBackend(conn, conn)
	if _, err := back.ReceiveStartupMessage(); err != nil {
		return
	}
	back.Send(&pgproto3.AuthenticationOk{})
	back.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for back.Flush() == nil {
		msg, err := back.Receive()
		if err != nil {
			return
		}
		if q, ok := msg.(*pgproto3.Query); ok {
			s.answer(back, q.String)
		}
	}
}

var (
	item   = [][]byte{[]byte("1"), []byte("a value of some thirty-two bytes")}
	itemOf = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("id")}, {Name: []byte("v")}}}
	placed = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("p")}, {Name: []byte("t")}, {Name: []byte("l")}}}
)

// at is the position as text: that of a primary past all statements, that of a replica fixed.
func (s *scripted) at() []byte {
	if s.primary == "f" {
		return []byte("900")
	}
	return strconv.AppendUint(nil, 1000+s.position.Load(), 10)
}

func (s *scripted) answer(back *pgproto3.Backend, sql string) {
	if sql == target.PositionQuery {
		back.Send(placed)
		back.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(s.primary), []byte("1"), s.at()}})
	} else {
		s.position.Add(1)
		back.Send(itemOf)
		back.Send(&pgproto3.DataRow{Values: item})
	}
	back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
