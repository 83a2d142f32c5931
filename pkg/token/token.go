package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// MinKeyBytes is the least length of a key in bytes.
	MinKeyBytes = 16
	// MaxTextBytes is the longest text that Decode looks at, in bytes.
	MaxTextBytes = 1024
	// MaxGroupBytes is the longest name of a group in a token, in bytes.
	MaxGroupBytes = 255

	formatVersion = 1
	pointBytes    = 16
	headBytes     = 1 + pointBytes
)

// Strict decoding leaves exactly one text for each token.
var encoding = base64.RawURLEncoding.Strict()

// Token says up to which point of a group's log a session has written or read.
type Token struct {
	Group string
	Point position.Point
}

// Keys signs with the current key and accepts the previous ones as well.
type Keys struct {
	current  []byte
	accepted [][]byte
}

// NewKeys returns a set of keys of which current signs; it fails with ErrKeyTooShort.
func NewKeys(current []byte, previous ...[]byte) (*Keys, error) {
	k := &Keys{}
	for i, key := range append([][]byte{current}, previous...) {
		if len(key) < MinKeyBytes {
			return nil, fmt.Errorf("key %d has %d bytes, needs %d: %w", i, len(key), MinKeyBytes, ErrKeyTooShort)
		}
		k.accepted = append(k.accepted, append([]byte(nil), key...))
	}
	k.current = k.accepted[0]
	return k, nil
}

// Encode writes t as signed base64url text; a group name past MaxGroupBytes gives text that Decode refuses.
func (k *Keys) Encode(t Token) string {
	body := make([]byte, headBytes, headBytes+len(t.Group)+sha256.Size)
	body[0] = formatVersion
	binary.BigEndian.PutUint64(body[1:], uint64(t.Point.Term))
	binary.BigEndian.PutUint64(body[9:], uint64(t.Point.Position))
	body = append(body, t.Group...)
	body = append(body, sign(k.current, body)...)
	return encoding.EncodeToString(body)
}

// Decode checks and reads text; it fails with ErrDamaged, ErrVersion or ErrForged.
func (k *Keys) Decode(text string) (Token, error) {
	if len(text) > MaxTextBytes {
		return Token{}, fmt.Errorf("%d bytes of text: %w", len(text), ErrDamaged)
	}
	raw, err := decodeText(text)
	if err != nil {
		return Token{}, err
	}
	if raw[0] != formatVersion {
		return Token{}, fmt.Errorf("version %d: %w", raw[0], ErrVersion)
	}
	if len(raw) < headBytes+sha256.Size {
		return Token{}, fmt.Errorf("%d bytes: %w", len(raw), ErrDamaged)
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !k.signed(body, mac) {
		return Token{}, ErrForged
	}
	return decodeBody(body)
}

func decodeText(text string) ([]byte, error) {
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if len(raw) == 0 {
		return nil, fmt.Errorf("no text: %w", ErrDamaged)
	}
	// The decoder skips line ends, which a signed text never holds.
	if encoding.EncodedLen(len(raw)) != len(text) {
		return nil, fmt.Errorf("line end in text: %w", ErrDamaged)
	}
	return raw, nil
}

func decodeBody(body []byte) (Token, error) {
	group := body[headBytes:]
	if len(group) > MaxGroupBytes {
		return Token{}, fmt.Errorf("group of %d bytes: %w", len(group), ErrDamaged)
	}
	return Token{
		Group: string(group),
		Point: position.Point{
			Term:     position.Term(binary.BigEndian.Uint64(body[1:])),
			Position: position.Position(binary.BigEndian.Uint64(body[9:])),
		},
	}, nil
}

// signed tries every key, so that the time taken does not tell which one fits.
func (k *Keys) signed(body, mac []byte) bool {
	ok := false
	for _, key := range k.accepted {
		if hmac.Equal(mac, sign(key, body)) {
			ok = true
		}
	}
	return ok
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}
