package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// ErrMarkers means that a page lacks the markers of a table, has them twice or in the wrong order.
var ErrMarkers = errors.New("markers missing, doubled or out of order")

// TableName names the place of a table in a page.
type TableName string

// Table is a rendered table.
type Table struct {
	Name TableName
	Text string
}

// Rewrite returns page with each table put between its markers and all else as it was; its error wraps ErrMarkers.
func Rewrite(page []byte, tables []Table) ([]byte, error) {
	out := slices.Clone(page)
	for _, t := range tables {
		var err error
		if out, err = rewrite(out, t); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func rewrite(page []byte, t Table) ([]byte, error) {
	begin := fmt.Appendf(nil, "<!-- %s: begin -->\n", t.Name)
	end := fmt.Appendf(nil, "<!-- %s: end -->\n", t.Name)
	if bytes.Count(page, begin) != 1 || bytes.Count(page, end) != 1 {
		return nil, fmt.Errorf("table %s: %w", t.Name, ErrMarkers)
	}
	before, rest, _ := bytes.Cut(page, begin)
	_, after, found := bytes.Cut(rest, end)
	if !found {
		return nil, fmt.Errorf("table %s: %w", t.Name, ErrMarkers)
	}
	return slices.Concat(before, begin, []byte(t.Text), end, after), nil
}
