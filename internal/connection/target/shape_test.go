package target

import (
	"errors"
	"strconv"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

func TestInvalidOrders(t *testing.T) {
	tests := []struct {
		name  string
		order group.Order
	}{
		{"unknown kind", group.Order{Term: 1, Holder: "one"}},
		{"holder with a quote", group.Order{Kind: group.Fence, Term: 1, Holder: "o'ne"}},
		{"primary without a port", group.Order{Kind: group.Follow, Term: 1, Holder: "one", Primary: group.Target{ID: "b", Address: "host"}}},
		{"primary with a named port", group.Order{Kind: group.Follow, Term: 1, Holder: "one", Primary: group.Target{ID: "b", Address: "host:pg"}}},
		{"primary with a space", group.Order{Kind: group.Follow, Term: 1, Holder: "one", Primary: group.Target{ID: "b x", Address: "host:1"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, err := orderStatements(tt.order); err == nil {
				t.Errorf("got %q, want an error", got)
			}
		})
	}
}

// TestMalformedReplies checks that rows with wrong columns or values are rejected, including numbers beyond 64 bits.
func TestMalformedReplies(t *testing.T) {
	positions := []row{
		nil,
		{"t", "1"},
		{"t", "x", "1"},
		{"t", "1", "-1"},
		{"t", "1", "1", "1"},
		{"yes", "1", "1"},
		{"t", "", "1"},
		{"t", "18446744073709551616", "1"},
		{"t", "1", "99999999999999999999"},
		{"t", "1", "000000000000000000001"},
	}
	for _, r := range positions {
		if got, err := parsePosition(r.bytes()); !errors.Is(err, ErrMalformedReply) {
			t.Errorf("got %v and %v for %q, want ErrAnswer", got, err, r)
		}
	}
	statuses := []row{nil, {"1", "h", "t", "", "1", "2", "1"}, {"x", "h", "t", "", "1", "2", "1", "2"}, {"1", "h", "maybe", "", "1", "2", "1", "2"}}
	for _, r := range statuses {
		if got, err := parseStatus(r); !errors.Is(err, ErrMalformedReply) {
			t.Errorf("got %v and %v for %q, want ErrAnswer", got, err, r)
		}
	}
}

func TestPreparedStatementsEvictOldest(t *testing.T) {
	c := &Conn{prepared: newPreparedStatements()}
	for i := range maxPreparedStatements {
		if evicted, full := c.AddPrepared(StatementName(rune(i))); full {
			t.Fatalf("got %q evicted at statement %d, want none", evicted, i)
		}
	}
	evicted, full := c.AddPrepared("one more")
	if !full || evicted != StatementName(rune(0)) || c.HasPrepared(evicted) {
		t.Errorf("got %q evicted (%v), want the oldest statement", evicted, full)
	}
	c.RemovePrepared("one more")
	if c.HasPrepared("one more") {
		t.Error("got a removed statement reported as prepared")
	}
}

func (r row) bytes() [][]byte {
	var list [][]byte
	for _, s := range r {
		list = append(list, []byte(s))
	}
	return list
}

func TestParseUint(t *testing.T) {
	for _, want := range []uint64{0, 7, 1 << 40, 1<<64 - 1} {
		if got, err := parseUint(strconv.FormatUint(want, 10)); got != want || err != nil {
			t.Errorf("got %d and %v, want %d", got, err, want)
		}
	}
}
