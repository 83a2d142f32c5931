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
	// MinKeyBytes is the minimum length of a key, in bytes.
	MinKeyBytes = 16
	// MaxTextBytes is the maximum length of a text that Decode accepts, in bytes.
	MaxTextBytes = 1024
	// MaxGroupBytes is the maximum length of a group's name in a token, in bytes.
	MaxGroupBytes = 255

	formatVersion = 1
	pointBytes    = 16
	headerBytes   = 1 + pointBytes
)

// encoding decodes strictly, so that exactly one text is valid for each token body.
var encoding = base64.RawURLEncoding.Strict()

// Token holds the point of a group's log up to which a session has written or read.
type Token struct {
	Group string
	Point position.Point
}

// Keys signs tokens with the current key, and accepts tokens that it or a previous key has signed.
type Keys struct {
	current  []byte
	accepted [][]byte
}

// NewKeys returns the keys to sign with current and to accept current and previous. It fails with ErrKeyTooShort if one has fewer than MinKeyBytes bytes.
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

// Encode returns t as signed base64url text. Decode rejects the text if the group's name is longer than MaxGroupBytes.
func (k *Keys) Encode(t Token) string {
	body := make([]byte, headerBytes, headerBytes+len(t.Group)+sha256.Size)
	body[0] = formatVersion
	binary.BigEndian.PutUint64(body[1:], uint64(t.Point.Term))
	binary.BigEndian.PutUint64(body[9:], uint64(t.Point.Position))
	body = append(body, t.Group...)
	body = append(body, sign(k.current, body)...)
	return encoding.EncodeToString(body)
}

// Decode verifies and parses text; its error wraps ErrDamaged, ErrVersion or ErrForged.
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
	if len(raw) < headerBytes+sha256.Size {
		return Token{}, fmt.Errorf("%d bytes: %w", len(raw), ErrDamaged)
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !k.validMAC(body, mac) {
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
	// The decoder ignores line ends, which Encode never writes.
	if encoding.EncodedLen(len(raw)) != len(text) {
		return nil, fmt.Errorf("line end in text: %w", ErrDamaged)
	}
	return raw, nil
}

func decodeBody(body []byte) (Token, error) {
	group := body[headerBytes:]
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

// validMAC reports whether one of the keys gives mac. It always tries all keys, so that the time taken does not reveal which key matches.
func (k *Keys) validMAC(body, mac []byte) bool {
	valid := false
	for _, key := range k.accepted {
		if hmac.Equal(mac, sign(key, body)) {
			valid = true
		}
	}
	return valid
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}
