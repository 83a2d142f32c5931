package session

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// TokenParameter is the parameter that holds the token of a session.
const TokenParameter = "cactusfork.token"

// Session is the state of one caller connection that its reads depend on. It must be used by one goroutine at a time.
type Session struct {
	group group.ID
	// keys returns the token keys in force.
	keys     func() *token.Keys
	floor    position.Point
	hasFloor bool
	hasToken bool
	settings Settings
}

// New returns a session without a floor; keys returns the token keys in force.
func New(g group.ID, keys func() *token.Keys) *Session { return &Session{group: g, keys: keys} }

// Group returns the database group of the session.
func (s *Session) Group() group.ID { return s.group }

// Floor returns the point that a target must have applied to serve the session.
func (s *Session) Floor() position.Point { return s.floor }

// HasFloor reports whether the session has a floor, from a token, a write or a sample.
func (s *Session) HasFloor() bool { return s.hasFloor }

// HasToken reports whether the session has accepted a token.
func (s *Session) HasToken() bool { return s.hasToken }

// RaiseFloor raises the floor to p. A p below the floor leaves it unchanged.
func (s *Session) RaiseFloor(p position.Point) {
	s.floor = position.Max(s.floor, p)
	s.hasFloor = true
}

// AcceptToken raises the floor to the point of a token. A token that is damaged, forged or of another group changes nothing and
// gives a *refusal.Error with code 22023.
func (s *Session) AcceptToken(text string) error {
	t, err := s.keys().Decode(text)
	if err != nil {
		return refusal.BadToken(fmt.Sprintf("invalid value for %s: %v", TokenParameter, err))
	}
	if t.Group != string(s.group) {
		return refusal.BadToken(fmt.Sprintf("%s is of group %q, not %q", TokenParameter, t.Group, s.group))
	}
	s.hasToken = true
	s.RaiseFloor(t.Point)
	return nil
}

// Token returns the token of the current floor, or an empty string if the session has no floor.
func (s *Session) Token() string {
	if !s.hasFloor {
		return ""
	}
	return s.keys().Encode(token.Token{Group: string(s.group), Point: s.floor})
}

// Settings returns the parameters that the caller has set.
func (s *Session) Settings() *Settings { return &s.settings }
