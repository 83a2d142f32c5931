package command

import (
	"strings"
	"testing"
)

func TestReadPassword(t *testing.T) {
	tests := []struct {
		name, text, want, wantErr string
	}{
		{"one line", "geheim\n", "geheim", ""},
		{"spaces are kept", " a b \r\n", " a b ", ""},
		{"empty", "\n", "", "want one line"},
		{"two lines", "a\nb\n", "", "want one line"},
	}
	for _, tt := range tests {
		got, err := readPassword(writeFile(t, "password", tt.text))
		if got != tt.want || (err == nil) != (tt.wantErr == "") || err != nil && !strings.Contains(err.Error(), tt.wantErr) {
			t.Errorf("%s: got %q, %v, want %q, %q", tt.name, got, err, tt.want, tt.wantErr)
		}
		if err != nil && strings.Contains(err.Error(), "geheim") {
			t.Errorf("%s: error contains the password: %v", tt.name, err)
		}
	}
	if got, err := readPassword(""); got != "" || err != nil {
		t.Errorf("got %q, %v without a file, want no password and no error", got, err)
	}
}
