package comment

import (
	"net/url"
	"strings"

	"github.com/cactusfork/cactusfork/internal/version/service"
)

// requestKey is the key of the field that holds the name of the request.
const requestKey = "request"

// RequestName returns the request name in a trailing comment such as /*request='quote.create'*/.
// It returns the empty name if there is no such comment, or if the comment is malformed or names several requests.
func RequestName(sql string) service.RequestName {
	text, ok := trailingComment(sql)
	if !ok {
		return ""
	}
	var name service.RequestName
	for rest := text; ; {
		key, value, tail, more, ok := cutField(rest)
		if !ok {
			return ""
		}
		if key == requestKey {
			if name != "" || value == "" {
				return ""
			}
			name = service.RequestName(value)
		}
		if !more {
			return name
		}
		rest = tail
	}
}

// cutField splits one key='value' field off the front of text; more reports whether a comma follows it.
func cutField(text string) (key, value, tail string, more, ok bool) {
	key, rest, found := strings.Cut(text, "=")
	if !found {
		return "", "", "", false, false
	}
	key = strings.TrimSpace(key)
	rest = strings.TrimLeft(rest, " ")
	if key == "" || !strings.HasPrefix(rest, "'") {
		return "", "", "", false, false
	}
	value, tail, ok = cutValue(rest[1:])
	if !ok {
		return "", "", "", false, false
	}
	tail = strings.TrimLeft(tail, " ")
	if tail == "" {
		return key, value, "", false, true
	}
	return key, value, tail[1:], true, tail[0] == ','
}

// cutValue returns the text up to the closing quote, with its URL encoding decoded, and the text after the quote.
func cutValue(text string) (value, tail string, ok bool) {
	end := strings.IndexByte(text, '\'')
	if end < 0 {
		return "", "", false
	}
	value, tail = text[:end], text[end+1:]
	// A quote inside a value is URL-encoded, so a backslash is invalid.
	if strings.IndexByte(value, '\\') >= 0 {
		return "", "", false
	}
	if strings.IndexByte(value, '%') < 0 {
		return value, tail, true
	}
	value, err := url.PathUnescape(value)
	return value, tail, err == nil
}
