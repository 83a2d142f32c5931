package session

import (
	"sort"
	"strings"
)

// Settings holds the parameters that a caller has set, so that they can be set on another target connection. The zero value
// holds none.
type Settings struct {
	// statements maps the name of each parameter to the statement that sets it.
	statements map[string]string
	// pending are the changes of the open transaction.
	pending []parameterChange
	// state is the result of State.
	state string
}

// parameterChange is a SET, or a RESET if sql is empty. The name "all" with an empty sql is RESET ALL.
type parameterChange struct {
	name string
	sql  string
}

const (
	allParameters = "all"
	// statementSeparator starts with a line break, so that a statement that ends in a line comment does not comment out the next.
	statementSeparator = "\n;"
)

// Set records that the statement sql has set the parameter name.
func (s *Settings) Set(name, sql string) {
	s.apply([]parameterChange{{strings.ToLower(name), sql}})
}

// AddPending records a SET, or a RESET if sql is empty, inside an open transaction.
func (s *Settings) AddPending(name, sql string) {
	s.pending = append(s.pending, parameterChange{strings.ToLower(name), sql})
}

// HasPending reports whether a change was recorded inside the open transaction.
func (s *Settings) HasPending() bool { return len(s.pending) > 0 }

// Commit applies the changes that were recorded inside the transaction.
func (s *Settings) Commit() {
	if len(s.pending) > 0 {
		s.apply(s.pending)
	}
	s.pending = nil
}

// Rollback drops the changes that were recorded inside the transaction.
func (s *Settings) Rollback() { s.pending = nil }

// State returns a string that identifies the parameters and their values. It is empty if none is set. Target connections with
// the same state are interchangeable.
func (s *Settings) State() string { return s.state }

// Size returns how many bytes the parameters take: as statements, and joined in the state.
func (s *Settings) Size() int {
	size := 2 * len(s.state)
	for i := range s.pending {
		size += len(s.pending[i].name) + len(s.pending[i].sql)
	}
	return size
}

func (s *Settings) apply(list []parameterChange) {
	if s.statements == nil {
		s.statements = map[string]string{}
	}
	for _, c := range list {
		switch {
		case c.sql != "":
			s.statements[c.name] = c.sql
		case c.name == allParameters:
			clear(s.statements)
		default:
			delete(s.statements, c.name)
		}
	}
	s.state = s.joinStatements()
}

// joinStatements returns the SET statements in sorted order, so that equal parameters give equal states.
func (s *Settings) joinStatements() string {
	list := make([]string, 0, len(s.statements))
	for _, sql := range s.statements {
		list = append(list, sql)
	}
	sort.Strings(list)
	return strings.Join(list, statementSeparator)
}

// RestoreSQL returns the statements that bring a connection from any state to the given state.
func RestoreSQL(state string) string {
	if state == "" {
		return "RESET ALL"
	}
	return "RESET ALL" + statementSeparator + state
}
