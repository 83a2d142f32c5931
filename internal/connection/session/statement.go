package session

import "strings"

// StatementKind says how the proxy treats a statement.
type StatementKind int

// The kinds of statement.
const (
	// Plain statements go to a target as they are.
	Plain StatementKind = iota
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction without effect.
	Rollback
	// RollbackTo undoes a part of a transaction.
	RollbackTo
	// SetParameter changes a parameter for the session.
	SetParameter
	// ResetParameter puts a parameter back.
	ResetParameter
	// SetToken hands in a token.
	SetToken
	// ShowToken asks for the token.
	ShowToken
	// Unsupported leaves state at the target that cannot be carried over.
	Unsupported
)

// Statement is what the proxy needs to know of one SQL statement.
type Statement struct {
	Kind StatementKind
	// Name of the parameter that is set, reset or shown, in lower case.
	Name string
	// Value is the token that is handed in.
	Value string
	// SQL is the statement without comments around it and without its semicolon.
	SQL string
	// Reads is true for statements that change nothing unless a function they call does.
	Reads bool
}

// Parse classifies one statement.
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
		s.Kind = endKind(sql, next)
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
		s.Kind = carriedKind(word, sql, next)
	}
	return s
}

// endKind tells ROLLBACK from ROLLBACK TO, which leaves the transaction open.
func endKind(sql string, i int) StatementKind {
	word, next := keyword(sql, skipSpace(sql, i))
	if word == "work" || word == "transaction" {
		word, _ = keyword(sql, skipSpace(sql, next))
	}
	if word == "to" {
		return RollbackTo
	}
	return Rollback
}

// carriedKind finds the statements whose effect stays with the target's session.
func carriedKind(word, sql string, i int) StatementKind {
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

func containsWords(sql, first, second string) bool {
	words := strings.Fields(strings.ToLower(sql))
	for i := 0; i+1 < len(words); i++ {
		if words[i] == first && words[i+1] == second {
			return true
		}
	}
	return false
}

func parseSet(s *Statement, sql string, i int) {
	word, next := keyword(sql, skipSpace(sql, i))
	switch word {
	case "local", "transaction", "constraints":
		return
	case "role":
		// RESET ALL would leave it in force.
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

// parameterName reads a possibly dotted and quoted name.
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
		case letter(c) || c == '.':
			b.WriteByte(c)
			i++
		default:
			return strings.ToLower(b.String()), i
		}
	}
	return strings.ToLower(b.String()), i
}

// parameterValue reads what follows = or TO: a quoted or a bare value.
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
	for end < len(sql) && (letter(sql[end]) || sql[end] == '-') {
		end++
	}
	return sql[i:end]
}
