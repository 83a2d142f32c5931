package session

import "strings"

// StatementKind says how the proxy handles a statement.
type StatementKind int

// The kinds of statement.
const (
	// Plain statements are sent to a target unchanged.
	Plain StatementKind = iota
	// Begin opens a transaction.
	Begin
	// Commit commits a transaction.
	Commit
	// Rollback rolls back a transaction.
	Rollback
	// RollbackTo rolls back to a savepoint and leaves the transaction open.
	RollbackTo
	// SetParameter sets a parameter for the session.
	SetParameter
	// ResetParameter resets a parameter to its default.
	ResetParameter
	// SetToken sets the token of the session.
	SetToken
	// ShowToken returns the token of the session.
	ShowToken
	// Unsupported statements leave state on the target connection that cannot be set again on another one.
	Unsupported
)

// Statement is the parsed form of one SQL statement, as far as the proxy needs it.
type Statement struct {
	Kind StatementKind
	// Name is the name of the parameter that is set, reset or shown, in lower case.
	Name string
	// Value is the token of a SetToken statement.
	Value string
	// SQL is the statement without the comments in front of it and without its semicolon.
	SQL string
	// Reads is true if the statement changes nothing unless a function that it calls does.
	Reads bool
}

// Parse parses one statement and determines its kind.
func Parse(sql string) Statement {
	start := skipSpace(sql, 0)
	word, next := keyword(sql, start)
	s := Statement{SQL: strings.TrimSpace(sql[start:])}
	switch word {
	case "begin", "start":
		s.Kind = Begin
	case "commit", "end":
		s.Kind = Commit
	case "rollback", "abort":
		s.Kind = rollbackKind(sql, next)
	case "set":
		parseSet(&s, sql, next)
	case "reset":
		s.Kind = ResetParameter
		s.Name, _ = parameterName(sql, next)
	case "discard":
		s.Kind = ResetParameter
		s.Name = allParameters
	case "select", "show", "values", "table", "explain":
		s.Reads = true
		parseShow(&s, word, sql, next)
	case "listen", "unlisten", "prepare", "execute", "load", "declare", "create", "copy":
		s.Kind = sessionStateKind(word, sql, next)
	}
	return s
}

// rollbackKind distinguishes ROLLBACK from ROLLBACK TO, which leaves the transaction open.
func rollbackKind(sql string, i int) StatementKind {
	word, next := keyword(sql, skipSpace(sql, i))
	if word == "work" || word == "transaction" {
		word, _ = keyword(sql, skipSpace(sql, next))
	}
	if word == "to" {
		return RollbackTo
	}
	return Rollback
}

// sessionStateKind returns Unsupported for a statement whose effect stays in the session of the target, and Plain otherwise.
func sessionStateKind(word, sql string, i int) StatementKind {
	second, next := keyword(sql, skipSpace(sql, i))
	switch word {
	case "create":
		if second == "or" {
			_, next = keyword(sql, skipSpace(sql, next))
			second, next = keyword(sql, skipSpace(sql, next))
		}
		if second == "temp" || second == "temporary" {
			return Unsupported
		}
		if second == "local" || second == "global" {
			third, _ := keyword(sql, skipSpace(sql, next))
			if third == "temp" || third == "temporary" {
				return Unsupported
			}
		}
		return Plain
	case "declare":
		if containsWords(sql[i:], "with", "hold") {
			return Unsupported
		}
		return Plain
	default:
		return Unsupported
	}
}

// containsWords reports whether the two words follow each other in sql, in any case.
func containsWords(sql, first, second string) bool {
	words := strings.Fields(strings.ToLower(sql))
	for i := 0; i+1 < len(words); i++ {
		if words[i] == first && words[i+1] == second {
			return true
		}
	}
	return false
}

// parseSet fills s for a SET statement, whose text after SET starts at i.
func parseSet(s *Statement, sql string, i int) {
	word, next := keyword(sql, skipSpace(sql, i))
	switch word {
	case "local", "transaction", "constraints":
		return
	case "role":
		// RESET ALL does not reset the role.
		s.Kind = Unsupported
		return
	case "session":
		second, _ := keyword(sql, skipSpace(sql, next))
		if second == "characteristics" || second == "authorization" || second == "role" {
			s.Kind = Unsupported
			return
		}
		i = next
	}
	name, end := parameterName(sql, i)
	if name == "time" {
		name = "timezone"
	}
	s.Kind = SetParameter
	s.Name = name
	if name == TokenParameter {
		s.Kind = SetToken
		s.Value = parameterValue(sql, end)
	}
}

// parseShow fills s for a SHOW of the token.
func parseShow(s *Statement, word, sql string, i int) {
	if word != "show" {
		return
	}
	name, _ := parameterName(sql, i)
	if name == TokenParameter {
		s.Kind = ShowToken
		s.Name = name
	}
}

// parameterName returns the parameter name at i in lower case and the index after it. The name may contain dots and quoted
// parts.
func parameterName(sql string, i int) (string, int) {
	i = skipSpace(sql, i)
	var b strings.Builder
	for i < len(sql) {
		switch c := sql[i]; {
		case c == '"':
			end := strings.IndexByte(sql[i+1:], '"')
			if end < 0 {
				return strings.ToLower(b.String()), len(sql)
			}
			b.WriteString(sql[i+1 : i+1+end])
			i += end + 2
		case isIdentifierByte(c) || c == '.':
			b.WriteByte(c)
			i++
		default:
			return strings.ToLower(b.String()), i
		}
	}
	return strings.ToLower(b.String()), i
}

// parameterValue returns the quoted or bare value after "=" or TO.
func parameterValue(sql string, i int) string {
	i = skipSpace(sql, i)
	if i < len(sql) && sql[i] == '=' {
		i++
	} else if word, next := keyword(sql, i); word == "to" {
		i = next
	}
	i = skipSpace(sql, i)
	if i < len(sql) && sql[i] == '\'' {
		rest := sql[i+1:]
		end := strings.IndexByte(rest, '\'')
		if end < 0 {
			return rest
		}
		return rest[:end]
	}
	end := i
	for end < len(sql) && (isIdentifierByte(sql[end]) || sql[end] == '-') {
		end++
	}
	return sql[i:end]
}
