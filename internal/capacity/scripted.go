package capacity

import (
	"context"
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// scripted is a target that answers every statement with the same row; its own cost is small and the same on all paths.
type scripted struct {
	address string
	primary string
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

func (s *scripted) answer(back *pgproto3.Backend, sql string) {
	if sql == target.PositionQuery {
		back.Send(placed)
		back.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(s.primary), []byte("1"), []byte("900")}})
	} else {
		back.Send(itemOf)
		back.Send(&pgproto3.DataRow{Values: item})
	}
	back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
