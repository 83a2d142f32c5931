package event

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestDraw(t *testing.T) {
	all := []Event{
		{At: Stamp{Millis: 10, Daemon: "entry-1"}, Kind: FirstWrite, Group: "g", Target: "a", Term: 1},
		{At: Stamp{Millis: 20, Daemon: "entry-1"}, Kind: Suspected, Group: "g", Target: "a", Term: 1},
		{At: Stamp{Millis: 50, Daemon: "entry-2"}, Kind: FirstWrite, Group: "g", Target: "<b>", Term: 2},
	}
	var w bytes.Buffer
	if err := Draw(&w, "a & b", all); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		part string
		want int
	}{{`class="mark"`, 3}, {`class="gap"`, 1}, {">entry-1</text>", 1}, {"first-write &lt;b&gt; term 2</text>", 1}, {"g without writes for 30 ms</text>", 1}} {
		if got := strings.Count(w.String(), tt.part); got != tt.want {
			t.Errorf("got %d of %q, want %d", got, tt.part, tt.want)
		}
	}
	dec := xml.NewDecoder(&w)
	for {
		_, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("got %v, want valid XML", err)
		}
	}
}

func TestDrawTooManyMarks(t *testing.T) {
	if err := Draw(io.Discard, "", make([]Event, MaxMarks+1)); !errors.Is(err, ErrTooManyMarks) {
		t.Errorf("got %v, want %v", err, ErrTooManyMarks)
	}
}
