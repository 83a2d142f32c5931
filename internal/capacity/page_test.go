package capacity

import (
	"errors"
	"testing"
)

const page = "# Prose\n<!-- a: begin -->\nold\n<!-- a: end -->\nmore $1 prose\n<!-- b: begin -->\n<!-- b: end -->\nlast"

func TestRewrite(t *testing.T) {
	tables := []Table{{"a", "new\n"}, {"b", "| b |\n"}}
	want := "# Prose\n<!-- a: begin -->\nnew\n<!-- a: end -->\nmore $1 prose\n<!-- b: begin -->\n| b |\n<!-- b: end -->\nlast"
	got, err := Rewrite([]byte(page), tables)
	if err != nil || string(got) != want {
		t.Fatalf("got %q and %v, want %q", got, err, want)
	}
	again, err := Rewrite(got, tables)
	if err != nil || string(again) != want {
		t.Errorf("got %q and %v on the second run, want %q", again, err, want)
	}
}

func TestRewriteRefuses(t *testing.T) {
	for name, page := range map[string]string{
		"no markers":   "# Prose\n",
		"no begin":     "<!-- a: end -->\n",
		"no end":       "<!-- a: begin -->\n",
		"out of order": "<!-- a: end -->\n<!-- a: begin -->\n",
		"doubled":      "<!-- a: begin -->\n<!-- a: end -->\n<!-- a: begin -->\n<!-- a: end -->\n",
		"another":      "<!-- b: begin -->\n<!-- b: end -->\n",
	} {
		if got, err := Rewrite([]byte(page), []Table{{"a", "new\n"}}); !errors.Is(err, ErrMarkers) || got != nil {
			t.Errorf("%s: got %q and %v, want %v", name, got, err, ErrMarkers)
		}
	}
}
