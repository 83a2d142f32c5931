package event

import "testing"

func TestParseStamp(t *testing.T) {
	tests := []struct {
		text string
		want Stamp
		ok   bool
	}{
		{"12.3.entry-1", Stamp{Millis: 12, Counter: 3, Daemon: "entry-1"}, true},
		{"12.3.a.b", Stamp{Millis: 12, Counter: 3, Daemon: "a.b"}, true},
		{"12.3", Stamp{}, false},
		{"x.3.a", Stamp{}, false},
		{"12.-1.a", Stamp{}, false},
		{"", Stamp{}, false},
	}
	for _, tt := range tests {
		got, err := ParseStamp(tt.text)
		if got != tt.want || (err == nil) != tt.ok {
			t.Errorf("%q: got %v, %v, want %v, ok %v", tt.text, got, err, tt.want, tt.ok)
		}
		if tt.ok && got.String() != tt.text {
			t.Errorf("got %s, want %s", got, tt.text)
		}
	}
}
