package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	dialect "github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// alterSystem is an ALTER SYSTEM statement; stage stores its values until a reload applies them.
type alterSystem struct {
	pattern *regexp.Regexp
	stage   func(s *settings, values []string) error
}

var alterSystems = []alterSystem{
	{patternOf(dialect.SetTerm), stageTerm},
	{patternOf(dialect.SetHolder), stageHolder},
	{patternOf(dialect.StopFollowing), stageNoUpstream},
	{patternOf(dialect.FollowPrimary), stageUpstream},
}

var statusColumns = textColumns("promise", "holder", "primary", "following", "received_term", "received", "applied_term", "applied")

// controls maps the control statements that return a row to its columns and to the function that runs them with the network's mu
// held.
var controls = map[string]struct {
	columns []column
	run     func(t *Target, s *session) []string
}{
	dialect.StatusQuery:   {statusColumns, statusRow},
	dialect.PositionQuery: {textColumns("primary", "term", "position"), positionRow},
	dialect.LockQuery:     {textColumns("pg_try_advisory_lock"), lockRow},
	dialect.UnlockQuery:   {textColumns("pg_advisory_unlock"), unlockRow},
	dialect.Reload:        {textColumns("pg_reload_conf"), reloadRow},
	dialect.Promotion:     {textColumns("pg_promote"), promoteRow},
}

// setIdlePattern matches a SET of the idle timeout; without a unit the value is in milliseconds.
var setIdlePattern = regexp.MustCompile(`(?i)^SET\s+(?:SESSION\s+)?idle_session_timeout\s*(?:=|TO)\s*'?(\d+)(ms|s)?'?$`)

// patternOf returns a pattern for a statement format, in which %d and %s capture the values.
func patternOf(format string) *regexp.Regexp {
	p := regexp.QuoteMeta(format)
	p = strings.ReplaceAll(p, "%d", `(\d+)`)
	p = strings.ReplaceAll(p, "%s", `([^' ]*)`)
	return regexp.MustCompile("^" + p + "$")
}

func textColumns(names ...string) []column {
	out := make([]column, len(names))
	for i, n := range names {
		out[i] = column{name: n, oid: textOID}
	}
	return out
}

func isControl(text string) bool {
	if _, ok := controls[text]; ok {
		return true
	}
	return strings.HasPrefix(text, "ALTER SYSTEM ")
}

// control runs a control statement; the reply to a promotion waits until the promotion has ended.
func (s *session) control(ctx context.Context, text string) (*result, error) {
	r, err := s.runControl(text)
	if err != nil || text != dialect.Promotion {
		return r, err
	}
	return r, s.awaitPromotion(ctx)
}

// runControl runs a control statement, which needs neither a slot nor the database.
func (s *session) runControl(text string) (*result, error) {
	s.target.control.Add(1)
	s.target.network.mu.Lock()
	defer s.target.network.mu.Unlock()
	if c, ok := controls[text]; ok {
		return rowOf(c.columns, c.run(s.target, s)), nil
	}
	for _, st := range alterSystems {
		values := st.pattern.FindStringSubmatch(text)
		if values == nil {
			continue
		}
		if s.inBlock || s.multiStatement {
			return nil, fail(codeActiveTransaction, alterSystemInBlock)
		}
		return &result{}, st.stage(&s.target.staged, values[1:])
	}
	return nil, fail(codeNotSupported, "unknown setting: %s", text)
}

func rowOf(columns []column, values []string) *result {
	row := make([]driver.Value, len(values))
	for i, v := range values {
		row[i] = v
	}
	return &result{columns: columns, rows: [][]driver.Value{row}, affected: 1}
}

func stageTerm(s *settings, values []string) error {
	n, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return fail(codeInvalidText, "invalid term %q", values[0])
	}
	s.term = position.Term(n)
	return nil
}

func stageHolder(s *settings, values []string) error {
	s.holder = group.DaemonID(values[0])
	return nil
}

func stageNoUpstream(s *settings, _ []string) error {
	s.upstream = ""
	return nil
}

func stageUpstream(s *settings, values []string) error {
	s.upstream = group.TargetID(values[2])
	return nil
}

// boolText returns the text format of a boolean.
func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func statusRow(t *Target, _ *session) []string {
	st := t.status()
	return []string{
		fmt.Sprint(st.Promise),
		string(st.Holder),
		boolText(st.Primary),
		string(st.Following),
		fmt.Sprint(st.Received.Term),
		fmt.Sprint(st.Received.Position),
		fmt.Sprint(st.Applied.Term),
		fmt.Sprint(st.Applied.Position),
	}
}

func positionRow(t *Target, _ *session) []string {
	at := t.pointAt(t.applied)
	return []string{boolText(t.primary), fmt.Sprint(at.Term), fmt.Sprint(at.Position)}
}

// lockRow tries to take the advisory lock. It refuses the lock while a promotion runs, because the session that requested the
// promotion keeps the lock even after its connection is closed.
func lockRow(t *Target, s *session) []string {
	if t.lockOwner == nil && !t.promoting {
		t.lockOwner = s
	}
	return []string{boolText(t.lockOwner == s)}
}

func unlockRow(t *Target, s *session) []string {
	held := t.lockOwner == s
	if held {
		t.lockOwner = nil
	}
	return []string{boolText(held)}
}

func reloadRow(t *Target, s *session) []string {
	t.reload(s)
	return []string{"t"}
}

// awaitPromotion waits until no promotion is running.
func (s *session) awaitPromotion(ctx context.Context) error {
	for {
		s.target.network.mu.Lock()
		promoting, changed := s.target.promoting, s.target.changed
		s.target.network.mu.Unlock()
		if !promoting {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// promoteRow starts a promotion, which ends once all received records are applied. It returns false on a primary.
func promoteRow(t *Target, _ *session) []string {
	if t.primary {
		return []string{"f"}
	}
	t.promoting = true
	t.promotionTerm = t.promise
	t.followUpstream()
	t.notifyChange()
	return []string{"t"}
}

// reload applies the staged settings. If they turn a primary into a replica, it ends all sessions except the requesting one, which may
// be nil. The caller holds the network's mu.
func (t *Target) reload(requester *session) {
	t.promise, t.holder, t.upstream = t.staged.term, t.staged.holder, t.staged.upstream
	if t.primary && t.upstream != "" {
		t.primary = false
		t.endSessions(requester)
	}
	t.network.reconnect()
}

// endSessions ends all sessions except one, because a real target has to restart to become a replica.
func (t *Target) endSessions(except *session) {
	t.epoch++
	for s := range t.sessions {
		if s == except {
			s.epoch = t.epoch
			continue
		}
		s.end()
	}
}

// becomePrimary completes a promotion with an empty record at the term that was promised when the promotion was requested. The caller
// holds the database and the network's mu.
func (t *Target) becomePrimary() {
	t.promoting = false
	t.primary = true
	t.upstream, t.staged.upstream = "", ""
	t.logTerm = t.promotionTerm
	t.append(nil)
	t.network.reconnect()
}

// setIdleTimeout applies a SET of the idle timeout and reports whether text is a valid one.
func (s *session) setIdleTimeout(text string) bool {
	m := setIdlePattern.FindStringSubmatch(text)
	if m == nil {
		return false
	}
	unit := m[2]
	if unit == "" {
		unit = "ms"
	}
	d, err := time.ParseDuration(m[1] + unit)
	if err != nil {
		return false
	}
	s.idleTimeout = clock.FromDuration(d)
	return true
}
