package caller

import (
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func encode(f *testing.F, list ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range list {
		var err error
		if b, err = m.Encode(b); err != nil {
			f.Fatal(err)
		}
	}
	return b
}

var fuzzStartup = &pgproto3.StartupMessage{
	ProtocolVersion: pgproto3.ProtocolVersion30,
	Parameters:      map[string]string{"user": "shop", "database": "shop"},
}

// sendRaw sends bytes on a new connection and waits until the server closes it.
func sendRaw(t *testing.T, h *harness, b []byte) {
	netConn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Skip(err)
	}
	defer netConn.Close()
	go func() {
		netConn.Write(b)
		netConn.(*net.TCPConn).CloseWrite()
	}()
	io.Copy(io.Discard, netConn)
}

func FuzzStartup(f *testing.F) {
	f.Add(encode(f, fuzzStartup))
	f.Add(encode(f, &pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, fuzzStartup))
	f.Add(encode(f, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 2})
	h := newHarness(f)
	f.Fuzz(func(t *testing.T, b []byte) { sendRaw(t, h, b) })
}

func FuzzMessages(f *testing.F) {
	f.Add(encode(f, &pgproto3.Query{String: "begin"}, &pgproto3.Query{String: readSQL}, &pgproto3.Query{String: "commit"}))
	f.Add(encode(f, &pgproto3.Parse{Name: "a", Query: readSQL}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Flush{},
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(f, &pgproto3.Parse{Query: writeSQL}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S'}, &pgproto3.Sync{}))
	f.Add(encode(f, &pgproto3.Query{String: "set cactusfork.token = 'x'"}, &pgproto3.Query{String: "set a = 1"}, &pgproto3.Terminate{}))
	h := newHarness(f)
	start := encode(f, fuzzStartup)
	f.Fuzz(func(t *testing.T, b []byte) { sendRaw(t, h, append(start[:len(start):len(start)], b...)) })
}
