package comment

import "strings"

// trailingComment returns the text inside the block comment that ends sql, apart from trailing white space and semicolons.
func trailingComment(sql string) (string, bool) {
	sql = strings.TrimRight(sql, " \t\r\n;")
	if !strings.HasSuffix(sql, "*/") {
		return "", false
	}
	start, ok := finalComment(sql)
	if !ok {
		return "", false
	}
	return sql[start+2 : len(sql)-2], true
}

// finalComment returns the offset of the block comment that ends exactly at the end of sql.
// It scans from the start of sql, because only that distinguishes a comment from a literal.
//
// The skip functions return the offset behind the element that starts at i,
// or len(sql)+1 if the element is not closed, so that no comment can follow it.
func finalComment(sql string) (int, bool) {
	for i := 0; i < len(sql); {
		switch sql[i] {
		case '\'':
			i = skipString(sql, i)
		case '"':
			i = skipQuoted(sql, i+1, '"')
		case '$':
			i = skipDollar(sql, i)
		case '-':
			i = skipLineComment(sql, i)
		case '/':
			end := skipBlockComment(sql, i)
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

// skipString skips a string literal; a literal with the prefix E has backslash escapes.
func skipString(sql string, i int) int {
	if !hasEscapePrefix(sql, i) {
		return skipQuoted(sql, i+1, '\'')
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

// hasEscapePrefix reports whether the prefix E stands before the quote and is not the end of an identifier.
func hasEscapePrefix(sql string, quote int) bool {
	if quote == 0 || sql[quote-1]|0x20 != 'e' {
		return false
	}
	return quote == 1 || !isIdentifierByte(sql[quote-2])
}

// skipQuoted skips the text from from on up to and including the closing quote.
func skipQuoted(sql string, from int, quote byte) int {
	n := strings.IndexByte(sql[from:], quote)
	if n < 0 {
		return len(sql) + 1
	}
	return from + n + 1
}

// skipDollar skips a dollar-quoted literal, or only the dollar sign if it belongs to a parameter or an identifier.
func skipDollar(sql string, i int) int {
	if i > 0 && isIdentifierByte(sql[i-1]) {
		return i + 1
	}
	end := i + 1
	for end < len(sql) && sql[end] != '$' && isIdentifierByte(sql[end]) {
		end++
	}
	if end == len(sql) || sql[end] != '$' || isDigit(sql[i+1]) {
		return i + 1
	}
	tag := sql[i : end+1]
	n := strings.Index(sql[end+1:], tag)
	if n < 0 {
		return len(sql) + 1
	}
	return end + 1 + n + len(tag)
}

// skipLineComment skips a comment up to the end of the line, or a single minus sign.
func skipLineComment(sql string, i int) int {
	if !strings.HasPrefix(sql[i:], "--") {
		return i + 1
	}
	n := strings.IndexAny(sql[i:], "\r\n")
	if n < 0 {
		return len(sql) + 1
	}
	return i + n + 1
}

// skipBlockComment skips a block comment and the comments nested in it, or a single slash.
func skipBlockComment(sql string, i int) int {
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

func isIdentifierByte(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'z' || c >= 0x80
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
