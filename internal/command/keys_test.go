package command

import (
	"strings"
	"testing"
)

func TestReadPassword(t *testing.T) {
	tests := []struct {
		name, text, want, fault string
	}{
		{"line", "geheim\n", "geheim", ""},
		{"spaces are kept", " a b \r\n", " a b ", ""},
		{"empty", "\n", "", "want one line"},
		{"two lines", "a\nb\n", "", "want one line"},
	}
	for _, tt := range tests {
		got, err := readPassword(write(t, "password", tt.text))
		if got != tt.want || (err == nil) != (tt.fault == "") || err != nil && !strings.Contains(err.Error(), tt.fault) {
			t.Errorf("%s: got %q, %v, want %q, %q", tt.name, got, err, tt.want, tt.fault)
		}
		if err != nil && strings.Contains(err.Error(), "geheim") {
			t.Errorf("%s: got the password in %v", tt.name, err)
		}
	}
	if got, err := readPassword(""); got != "" || err != nil {
		t.Errorf("got %q, %v without a file, want none", got, err)
	}
}
