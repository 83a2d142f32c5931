package token

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/pkg/position"
)

var (
	oldKey = bytes.Repeat([]byte{1}, MinKeyBytes)
	newKey = bytes.Repeat([]byte{2}, MinKeyBytes)
)

func mustKeys(t testing.TB, current []byte, previous ...[]byte) *Keys {
	t.Helper()
	k, err := NewKeys(current, previous...)
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	return k
}

func testToken() Token {
	return Token{Group: "precios-db-1", Point: position.Point{Term: 3, Position: 1 << 40}}
}

func TestKeyRotation(t *testing.T) {
	text := mustKeys(t, oldKey).Encode(testToken())
	tests := []struct {
		name string
		keys *Keys
		want error
	}{
		{"same key", mustKeys(t, oldKey), nil},
		{"rotated", mustKeys(t, newKey, oldKey), nil},
		{"old key removed", mustKeys(t, newKey), ErrForged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := tt.keys.Decode(text)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if err == nil && got != testToken() {
				t.Errorf("got %v, want %v", got, testToken())
			}
		})
	}
}

func TestDecodeRejects(t *testing.T) {
	k := mustKeys(t, newKey)
	valid := k.Encode(testToken())
	tests := []struct {
		name, text string
		want       error
	}{
		{"empty", "", ErrDamaged},
		{"alphabet", "!!" + valid, ErrDamaged},
		{"truncated", valid[:12], ErrDamaged},
		{"line end", valid[:8] + "\n" + valid[8:], ErrDamaged},
		{"too long", strings.Repeat("A", MaxTextBytes+1), ErrDamaged},
		{"version", "Ag" + valid[2:], ErrVersion},
		{"modified", valid[:10] + "_" + valid[11:], ErrForged},
		{"long group", k.Encode(Token{Group: strings.Repeat("g", MaxGroupBytes+1)}), ErrDamaged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := k.Decode(tt.text); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestKeyTooShort(t *testing.T) {
	if _, err := NewKeys(newKey, []byte("short")); !errors.Is(err, ErrKeyTooShort) {
		t.Errorf("got %v, want %v", err, ErrKeyTooShort)
	}
}

func TestRoundTrip(t *testing.T) {
	k := mustKeys(t, newKey)
	rapid.Check(t, func(t *rapid.T) {
		want := Token{
			Group: rapid.StringN(0, 60, MaxGroupBytes).Draw(t, "group"),
			Point: position.Point{
				Term:     position.Term(rapid.Uint64().Draw(t, "term")),
				Position: position.Position(rapid.Uint64().Draw(t, "position")),
			},
		}
		got, err := k.Decode(k.Encode(want))
		if err != nil || got != want {
			t.Fatalf("got %v, %v, want %v", got, err, want)
		}
	})
}

func FuzzDecode(f *testing.F) {
	k := mustKeys(f, newKey)
	f.Add(k.Encode(testToken()))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := k.Decode(text)
		if err == nil && k.Encode(got) != text {
			t.Errorf("got a second text for %v, want exactly one", got)
		}
	})
}
