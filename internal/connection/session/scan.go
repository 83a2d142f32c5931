package session

import "strings"

// Split splits a query into its statements at the semicolons outside literals and comments. It omits empty statements.
func Split(sql string) []string {
	if end := strings.IndexByte(sql, ';'); end < 0 || strings.TrimSpace(sql[end+1:]) == "" {
		return appendNonEmpty(nil, strings.TrimSuffix(strings.TrimSpace(sql), ";"))
	}
	var list []string
	start := 0
	for i := 0; i < len(sql); {
		if sql[i] == ';' {
			list = appendNonEmpty(list, sql[start:i])
			start = i + 1
		}
		i = skipToken(sql, i)
	}
	return appendNonEmpty(list, sql[start:])
}

// appendNonEmpty appends sql to list unless it contains only white space and comments.
func appendNonEmpty(list []string, sql string) []string {
	if skipSpace(sql, 0) >= len(sql) {
		return list
	}
	return append(list, sql)
}

// skipToken returns the index after the literal, comment or character at i.
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

// skipString returns the index after the string literal at i. A backslash escapes only in a literal with the prefix E.
func skipString(sql string, i int) int {
	escapes := i > 0 && sql[i-1]|0x20 == 'e' && (i == 1 || !isIdentifierByte(sql[i-2]))
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

// skipDollar returns the index after the dollar-quoted literal at i, or after the single dollar sign of a parameter or name.
func skipDollar(sql string, i int) int {
	if i > 0 && isIdentifierByte(sql[i-1]) {
		return i + 1
	}
	end := i + 1
	for end < len(sql) && sql[end] != '$' && isIdentifierByte(sql[end]) {
		end++
	}
	if end >= len(sql) || sql[end] != '$' || '0' <= sql[i+1] && sql[i+1] <= '9' {
		return i + 1
	}
	return skipTo(sql, end+1, sql[i:end+1])
}

// skipTo returns the index after the next occurrence of end, or the length of sql if there is none.
func skipTo(sql string, i int, end string) int {
	n := strings.Index(sql[i:], end)
	if n < 0 {
		return len(sql)
	}
	return i + n + len(end)
}

// skipComment returns the index after the block comment at i; block comments nest.
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

// skipSpace returns the index of the first byte at or after i that is neither white space nor part of a comment.
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

// keyword returns the word at i in lower case and the index after it.
func keyword(sql string, i int) (string, int) {
	end := i
	for end < len(sql) && isIdentifierByte(sql[end]) {
		end++
	}
	return strings.ToLower(sql[i:end]), end
}

// isIdentifierByte reports whether c can be part of an unquoted identifier.
func isIdentifierByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}
