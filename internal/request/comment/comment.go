package comment

import (
	"net/url"
	"strings"

	"github.com/cactusfork/cactusfork/internal/version/service"
)

// key is the field that carries the request's name.
const key = "request"

// Request returns the name in a trailing comment like /*request='quote.create'*/, or the empty name when there is none or it is damaged.
func Request(sql string) service.RequestName {
	text, ok := trailing(sql)
	if !ok {
		return ""
	}
	var name service.RequestName
	for rest := text; ; {
		k, v, tail, more, ok := field(rest)
		if !ok {
			return ""
		}
		if k == key {
			if name != "" || v == "" {
				return ""
			}
			name = service.RequestName(v)
		}
		if !more {
			return name
		}
		rest = tail
	}
}

// field reads one key='value' off the front of text and whether a comma follows it.
func field(text string) (k, v, tail string, more, ok bool) {
	k, rest, found := strings.Cut(text, "=")
	if !found {
		return "", "", "", false, false
	}
	k = strings.TrimSpace(k)
	rest = strings.TrimLeft(rest, " ")
	if k == "" || !strings.HasPrefix(rest, "'") {
		return "", "", "", false, false
	}
	v, tail, ok = value(rest[1:])
	if !ok {
		return "", "", "", false, false
	}
	tail = strings.TrimLeft(tail, " ")
	if tail == "" {
		return k, v, "", false, true
	}
	return k, v, tail[1:], true, tail[0] == ','
}

// value reads up to the closing quote and undoes the url encoding.
func value(text string) (v, tail string, ok bool) {
	end := strings.IndexByte(text, '\'')
	if end < 0 {
		return "", "", false
	}
	v, tail = text[:end], text[end+1:]
	// A quote is url-encoded in this form, so a backslash is damage.
	if strings.IndexByte(v, '\\') >= 0 {
		return "", "", false
	}
	if strings.IndexByte(v, '%') < 0 {
		return v, tail, true
	}
	v, err := url.PathUnescape(v)
	return v, tail, err == nil
}
