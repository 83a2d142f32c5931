package session

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// TokenParameter is the parameter in which a session's token travels.
const TokenParameter = "cactusfork.token"

// Session is the state of one caller connection that reads must respect; it is for one goroutine.
type Session struct {
	group    group.ID
	keys     func() *token.Keys
	floor    position.Point
	floored  bool
	carried  bool
	settings Settings
}

// New returns a session that has seen nothing yet; keys returns those in force.
func New(g group.ID, keys func() *token.Keys) *Session { return &Session{group: g, keys: keys} }

// Group is the database group that the session speaks to.
func (s *Session) Group() group.ID { return s.group }

// Floor is the point that a target must have applied to serve the session.
func (s *Session) Floor() position.Point { return s.floor }

// Floored reports whether the session has a floor: from a token, a write or a sample.
func (s *Session) Floored() bool { return s.floored }

// Carried reports whether a token came with the session.
func (s *Session) Carried() bool { return s.carried }

// Raise lifts the floor to p; a lower p leaves it.
func (s *Session) Raise(p position.Point) {
	s.floor = position.Max(s.floor, p)
	s.floored = true
}

// Accept takes a token; one that is damaged, forged or of another group changes nothing and gives a *refusal.Error with code 22023.
func (s *Session) Accept(text string) error {
	t, err := s.keys().Decode(text)
	if err != nil {
		return refusal.BadToken(fmt.Sprintf("invalid value for %s: %v", TokenParameter, err))
	}
	if t.Group != string(s.group) {
		return refusal.BadToken(fmt.Sprintf("%s is of group %q, not %q", TokenParameter, t.Group, s.group))
	}
	s.carried = true
	s.Raise(t.Point)
	return nil
}

// Token returns the token of the present floor; it is empty while there is no floor.
func (s *Session) Token() string {
	if !s.floored {
		return ""
	}
	return s.keys().Encode(token.Token{Group: string(s.group), Point: s.floor})
}

// Settings are the parameters that the caller has set.
func (s *Session) Settings() *Settings { return &s.settings }
