package session

import (
	"sort"
	"strings"
)

// Settings are the parameters that a caller has set, for setting them again on another target connection; the zero value has none.
type Settings struct {
	values  map[string]string
	pending []change
	state   string
}

// change is a SET, or a RESET when sql is empty; name "all" is RESET ALL.
type change struct {
	name string
	sql  string
}

const (
	allParameters = "all"
	// separator keeps a statement that ends in a line comment from taking the next one in.
	separator = "\n;"
)

// Set notes that name was set by the statement sql.
func (s *Settings) Set(name, sql string) {
	s.apply([]change{{strings.ToLower(name), sql}})
}

// Pend notes a SET or (with an empty sql) a RESET inside an open transaction.
func (s *Settings) Pend(name, sql string) {
	s.pending = append(s.pending, change{strings.ToLower(name), sql})
}

// Pending reports whether anything was noted inside the open transaction.
func (s *Settings) Pending() bool { return len(s.pending) > 0 }

// Commit puts what was noted inside the transaction into force.
func (s *Settings) Commit() {
	if len(s.pending) > 0 {
		s.apply(s.pending)
	}
	s.pending = nil
}

// Rollback forgets what was noted inside the transaction.
func (s *Settings) Rollback() { s.pending = nil }

// State names the parameters set; equal states are the same on any target connection, and none set is the empty one.
func (s *Settings) State() string { return s.state }

func (s *Settings) apply(list []change) {
	if s.values == nil {
		s.values = map[string]string{}
	}
	for _, c := range list {
		switch {
		case c.sql != "":
			s.values[c.name] = c.sql
		case c.name == allParameters:
			clear(s.values)
		default:
			delete(s.values, c.name)
		}
	}
	s.state = s.join()
}

func (s *Settings) join() string {
	list := make([]string, 0, len(s.values))
	for _, sql := range s.values {
		list = append(list, sql)
	}
	sort.Strings(list)
	return strings.Join(list, separator)
}

// Replay returns the statements that bring a connection from any state to state.
func Replay(state string) string {
	if state == "" {
		return "RESET ALL"
	}
	return "RESET ALL" + separator + state
}
