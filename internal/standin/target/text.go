package target

import (
	"strconv"
	"strings"
)

// kind is the kind of a statement, which decides how the session runs it.
type kind int

const (
	readStatement kind = iota + 1
	writeStatement
	beginStatement
	commitStatement
	rollbackStatement
	savepointStatement
	settingStatement
	controlStatement
)

// statement is one statement of a query.
type statement struct {
	text       string // as the caller wrote it, without leading comments
	sql        string // with parameters rewritten from $1 to ?1 for SQLite
	verb       string // first word in upper case
	kind       kind
	parameters int // highest parameter number
}

var kindsOfVerbs = map[string]kind{
	"SELECT": readStatement, "VALUES": readStatement, "EXPLAIN": readStatement,
	"BEGIN": beginStatement, "START": beginStatement,
	"COMMIT": commitStatement, "END": commitStatement,
	"ROLLBACK": rollbackStatement, "ABORT": rollbackStatement,
	"SAVEPOINT": savepointStatement, "RELEASE": savepointStatement,
	"SET": settingStatement, "RESET": settingStatement, "DISCARD": settingStatement, "DEALLOCATE": settingStatement,
}

// kindOf returns the kind of a statement by its verb; an unknown verb is a write.
func kindOf(verb string) kind {
	if k, ok := kindsOfVerbs[strings.ToUpper(verb)]; ok {
		return k
	}
	return writeStatement
}

func newStatement(text, sql string, parameters int) statement {
	s := statement{
		text:       strings.TrimSpace(text),
		sql:        strings.TrimSpace(sql),
		verb:       strings.ToUpper(verbOf(text)),
		parameters: parameters,
	}
	s.kind = kindOf(s.verb)
	upper := strings.ToUpper(s.text)
	switch {
	case isControl(s.text):
		s.kind = controlStatement
	case s.verb == "WITH" && !changesRows(upper):
		s.kind = readStatement
	case s.kind == rollbackStatement && strings.Contains(upper, " TO "):
		s.kind = savepointStatement
	}
	return s
}

// changesRows reports whether a statement in upper case contains a word that changes rows.
func changesRows(upper string) bool {
	for _, word := range strings.FieldsFunc(upper, func(r rune) bool { return !isWordChar(r) }) {
		switch word {
		case "INSERT", "UPDATE", "DELETE":
			return true
		}
	}
	return false
}

func isWordChar(r rune) bool {
	return r == '_' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
}

// verbOf returns the first word after leading comments.
func verbOf(sql string) string {
	sql = skipComments(sql)
	end := strings.IndexFunc(sql, func(r rune) bool { return !isWordChar(r) })
	if end < 0 {
		return sql
	}
	return sql[:end]
}

func skipComments(sql string) string {
	for {
		sql = strings.TrimSpace(sql)
		n := commentLength(sql)
		if n == 0 {
			return sql
		}
		sql = sql[n:]
	}
}

// commentLength returns the length of the comment at the start of sql, or 0 if there is none.
func commentLength(sql string) int {
	switch {
	case strings.HasPrefix(sql, "--"):
		if i := strings.IndexByte(sql, '\n'); i >= 0 {
			return i + 1
		}
		return len(sql)
	case strings.HasPrefix(sql, "/*"):
		if i := strings.Index(sql, "*/"); i >= 0 {
			return i + 2
		}
		return len(sql)
	}
	return 0
}

// quotedLength returns the length of the quoted text at the start of sql, or 0 if there is none.
func quotedLength(sql string) int {
	if sql[0] != '\'' && sql[0] != '"' {
		return 0
	}
	if i := strings.IndexByte(sql[1:], sql[0]); i >= 0 {
		return i + 2
	}
	return len(sql)
}

// parameterLength returns the length of the parameter, such as $1 or ?1, at the start of sql, or 0 if there is none.
func parameterLength(sql string) int {
	if sql[0] != '$' && sql[0] != '?' {
		return 0
	}
	n := 1
	for n < len(sql) && sql[n] >= '0' && sql[n] <= '9' {
		n++
	}
	if n == 1 {
		return 0
	}
	return n
}

// split splits a query into its statements and omits empty ones.
func split(query string) []statement {
	var out []statement
	var sql strings.Builder
	start, highest := 0, 0
	end := func(i int) {
		text := skipComments(query[start:i])
		if text != "" {
			out = append(out, newStatement(text, sql.String(), highest))
		}
		sql.Reset()
		highest = 0
	}
	for i := 0; i < len(query); {
		rest := query[i:]
		n := max(commentLength(rest), quotedLength(rest))
		p := parameterLength(rest)
		switch {
		case n > 0:
			sql.WriteString(rest[:n])
		case p > 0:
			n = p
			number, _ := strconv.Atoi(rest[1:p])
			highest = max(highest, number)
			sql.WriteString("?" + rest[1:p])
		case rest[0] == ';':
			end(i)
			start, n = i+1, 1
		default:
			n = 1
			sql.WriteByte(rest[0])
		}
		i += n
	}
	end(len(query))
	return out
}

// countParameters returns the highest parameter number of the first statement in sql.
func countParameters(sql string) int {
	for _, s := range split(sql) {
		return s.parameters
	}
	return 0
}
