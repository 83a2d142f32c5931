package target

import (
	"fmt"
	"net"
	"reflect"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// exchange sends messages and returns a short description of each reply up to the next ReadyForQuery.
func exchange(t *testing.T, f *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) []string {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for {
		msg, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return append(got, "ready "+string(m.TxStatus))
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
		case *pgproto3.DataRow:
			got = append(got, fmt.Sprintf("row %q", m.Values))
		case *pgproto3.ParameterStatus, *pgproto3.BackendKeyData, *pgproto3.AuthenticationOk:
		default:
			got = append(got, fmt.Sprintf("%T", m)[len("*pgproto3."):])
		}
	}
}

func TestExtendedMessages(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	mustExec(ctx, t, dial(ctx, t, tg[0]), "INSERT INTO item (id, price) VALUES (1, 10), (2, 20), (3, 30)")
	conn, err := net.Dial("tcp", tg[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f := pgproto3.NewFrontend(conn, conn)
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}
	if got, want := exchange(t, f, start), []string{"ready I"}; !reflect.DeepEqual(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	parse := &pgproto3.Parse{Name: "p", Query: "SELECT id, price FROM item WHERE id >= $1", ParameterOIDs: []uint32{int4OID}}
	bind := &pgproto3.Bind{
		DestinationPortal: "c", PreparedStatement: "p", ParameterFormatCodes: []int16{binaryFormat},
		Parameters: [][]byte{{0, 0, 0, 2}}, ResultFormatCodes: []int16{textFormat, binaryFormat},
	}
	two := `row ["2" "\x00\x00\x00\x00\x00\x00\x00\x14"]`
	three := `row ["3" "\x00\x00\x00\x00\x00\x00\x00\x1e"]`
	tests := []struct {
		name     string
		messages []pgproto3.FrontendMessage
		want     []string
	}{
		{
			"row limit",
			[]pgproto3.FrontendMessage{
				parse, &pgproto3.Describe{ObjectType: 'S', Name: "p"}, bind, &pgproto3.Describe{ObjectType: 'P', Name: "c"},
				&pgproto3.Execute{Portal: "c", MaxRows: 1}, &pgproto3.Flush{}, &pgproto3.Execute{Portal: "c"}, &pgproto3.Sync{},
			},
			[]string{
				"ParseComplete", "ParameterDescription", "RowDescription", "BindComplete", "RowDescription",
				two, "PortalSuspended", three, "SELECT 1", "ready I",
			},
		},
		{
			"portals end with their transaction",
			[]pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "c"}, &pgproto3.Execute{Portal: "c"}, &pgproto3.Sync{}},
			[]string{codeInvalidPortal, "ready I"},
		},
		{
			"statements stay until closed",
			[]pgproto3.FrontendMessage{bind, &pgproto3.Close{ObjectType: 'S', Name: "p"}, bind, &pgproto3.Sync{}},
			[]string{"BindComplete", "CloseComplete", codeInvalidStatement, "ready I"},
		},
		{
			"empty query",
			[]pgproto3.FrontendMessage{&pgproto3.Parse{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}},
			[]string{"ParseComplete", "BindComplete", "EmptyQueryResponse", "ready I"},
		},
		{
			"several statements",
			[]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 1; SELECT 2"}, &pgproto3.Sync{}},
			[]string{codeSyntax, "ready I"},
		},
		{
			"simple query",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "SELECT 1 -- ;\n; SELECT ';' ; "}},
			[]string{"RowDescription", `row ["1"]`, "SELECT 1", "RowDescription", `row [";"]`, "SELECT 1", "ready I"},
		},
		{
			"message that is not supported",
			[]pgproto3.FrontendMessage{&pgproto3.FunctionCall{}, &pgproto3.Sync{}},
			[]string{codeProtocol, "ready I"},
		},
	}
	for _, tt := range tests {
		if got := exchange(t, f, tt.messages...); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
