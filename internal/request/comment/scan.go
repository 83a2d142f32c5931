package comment

import "strings"

// trailing returns the text inside the block comment that ends sql.
func trailing(sql string) (string, bool) {
	sql = strings.TrimRight(sql, " \t\r\n;")
	if !strings.HasSuffix(sql, "*/") {
		return "", false
	}
	start, ok := lastComment(sql)
	if !ok {
		return "", false
	}
	return sql[start+2 : len(sql)-2], true
}

// lastComment returns where the block comment starts whose end is the end of sql.
// It reads from the front, since only that tells a comment from a literal.
func lastComment(sql string) (int, bool) {
	for i := 0; i < len(sql); {
		switch sql[i] {
		case '\'':
			i = afterString(sql, i)
		case '"':
			i = afterQuoted(sql, i+1, '"')
		case '$':
			i = afterDollar(sql, i)
		case '-':
			i = afterDash(sql, i)
		case '/':
			end := afterSlash(sql, i)
			if end == len(sql) {
				return i, end > i+3
			}
			i = end
		default:
			i++
		}
	}
	return 0, false
}

// afterString skips a string literal; one with the prefix E has backslash escapes.
func afterString(sql string, i int) int {
	if !escaped(sql, i) {
		return afterQuoted(sql, i+1, '\'')
	}
	for i++; i < len(sql); i++ {
		switch sql[i] {
		case '\\':
			i++
		case '\'':
			return i + 1
		}
	}
	return len(sql) + 1
}

func escaped(sql string, quote int) bool {
	if quote == 0 || sql[quote-1]|0x20 != 'e' {
		return false
	}
	return quote == 1 || !identifier(sql[quote-2])
}

// afterQuoted returns one past the end of sql when the quote is not closed, which no comment can follow.
func afterQuoted(sql string, from int, quote byte) int {
	n := strings.IndexByte(sql[from:], quote)
	if n < 0 {
		return len(sql) + 1
	}
	return from + n + 1
}

// afterDollar skips a dollar-quoted literal, or the dollar sign of a parameter or an identifier.
func afterDollar(sql string, i int) int {
	if i > 0 && identifier(sql[i-1]) {
		return i + 1
	}
	end := i + 1
	for end < len(sql) && sql[end] != '$' && identifier(sql[end]) {
		end++
	}
	if end == len(sql) || sql[end] != '$' || digit(sql[i+1]) {
		return i + 1
	}
	tag := sql[i : end+1]
	n := strings.Index(sql[end+1:], tag)
	if n < 0 {
		return len(sql) + 1
	}
	return end + 1 + n + len(tag)
}

func afterDash(sql string, i int) int {
	if !strings.HasPrefix(sql[i:], "--") {
		return i + 1
	}
	n := strings.IndexAny(sql[i:], "\r\n")
	if n < 0 {
		return len(sql) + 1
	}
	return i + n + 1
}

// afterSlash skips a block comment with those nested in it.
func afterSlash(sql string, i int) int {
	if !strings.HasPrefix(sql[i:], "/*") {
		return i + 1
	}
	depth := 1
	for i += 2; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return i + 1
		}
	}
	return len(sql) + 1
}

func identifier(c byte) bool {
	return c == '_' || c == '$' || digit(c) || 'a' <= c|0x20 && c|0x20 <= 'z' || c >= 0x80
}

func digit(c byte) bool { return '0' <= c && c <= '9' }
