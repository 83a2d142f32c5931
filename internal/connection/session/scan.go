package session

import "strings"

// Split cuts a query into its statements at the semicolons outside literals and comments; empty ones are left out.
func Split(sql string) []string {
	if end := strings.IndexByte(sql, ';'); end < 0 || strings.TrimSpace(sql[end+1:]) == "" {
		return nonEmpty(nil, strings.TrimSuffix(strings.TrimSpace(sql), ";"))
	}
	var list []string
	start := 0
	for i := 0; i < len(sql); {
		if sql[i] == ';' {
			list = nonEmpty(list, sql[start:i])
			start = i + 1
		}
		i = skipToken(sql, i)
	}
	return nonEmpty(list, sql[start:])
}

func nonEmpty(list []string, sql string) []string {
	if skipSpace(sql, 0) >= len(sql) {
		return list
	}
	return append(list, sql)
}

// skipToken returns the index behind the literal, comment or character at i.
func skipToken(sql string, i int) int {
	switch c := sql[i]; {
	case c == '\'':
		return skipString(sql, i)
	case c == '"':
		return skipTo(sql, i+1, `"`)
	case c == '$':
		return skipDollar(sql, i)
	case strings.HasPrefix(sql[i:], "--"):
		return skipTo(sql, i, "\n")
	case strings.HasPrefix(sql[i:], "/*"):
		return skipComment(sql, i)
	default:
		return i + 1
	}
}

func skipString(sql string, i int) int {
	escapes := i > 0 && sql[i-1]|0x20 == 'e' && (i == 1 || !letter(sql[i-2]))
	for i++; i < len(sql); i++ {
		if sql[i] == '\\' && escapes {
			i++
			continue
		}
		if sql[i] == '\'' {
			return i + 1
		}
	}
	return len(sql)
}

// skipDollar skips a dollar-quoted literal, or one dollar sign of a parameter or name.
func skipDollar(sql string, i int) int {
	if i > 0 && letter(sql[i-1]) {
		return i + 1
	}
	end := i + 1
	for end < len(sql) && sql[end] != '$' && letter(sql[end]) {
		end++
	}
	if end >= len(sql) || sql[end] != '$' || '0' <= sql[i+1] && sql[i+1] <= '9' {
		return i + 1
	}
	return skipTo(sql, end+1, sql[i:end+1])
}

func skipTo(sql string, i int, end string) int {
	n := strings.Index(sql[i:], end)
	if n < 0 {
		return len(sql)
	}
	return i + n + len(end)
}

func skipComment(sql string, i int) int {
	depth := 0
	for i+1 < len(sql) {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return len(sql)
}

// skipSpace skips white space and comments.
func skipSpace(sql string, i int) int {
	for i < len(sql) {
		switch {
		case strings.IndexByte(" \t\r\n\f\v", sql[i]) >= 0:
			i++
		case strings.HasPrefix(sql[i:], "--"):
			i = skipTo(sql, i, "\n")
		case strings.HasPrefix(sql[i:], "/*"):
			i = skipComment(sql, i)
		default:
			return i
		}
	}
	return len(sql)
}

// keyword reads the word at i in lower case.
func keyword(sql string, i int) (string, int) {
	end := i
	for end < len(sql) && letter(sql[end]) {
		end++
	}
	return strings.ToLower(sql[i:end]), end
}

func letter(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}
