package refusal

import (
	"errors"
	"fmt"
	"testing"
)

func TestNotRunOnlyIfCertain(t *testing.T) {
	tests := []struct {
		err    *Error
		code   Code
		notRun bool
	}{
		{UnknownOutcome("m"), "08007", false},
		{Interrupted("m"), "57P03", false},
		{ReadDeadline("m"), "57014", false},
		{Overloaded("m"), "53300", true},
		{NoPrimary("m"), "57P03", true},
		{Draining("m"), "57P01", true},
		{Deadline("m"), "57014", true},
		{UnknownService("m"), "3D000", true},
		{BadToken("m"), "22023", true},
	}
	for _, tt := range tests {
		t.Run(tt.err.Error(), func(t *testing.T) {
			if tt.err.Code != tt.code || tt.err.NotRun != tt.notRun {
				t.Errorf("got %s, %v, want %s, %v", tt.err.Code, tt.err.NotRun, tt.code, tt.notRun)
			}
			if got := tt.err.Detail == NotRunDetail; got != tt.notRun {
				t.Errorf("got detail %q, want not run %v", tt.err.Detail, tt.notRun)
			}
		})
	}
}

func TestIsComparesCodes(t *testing.T) {
	err := fmt.Errorf("enter: %w", Overloaded("full"))
	if !errors.Is(err, Overloaded("")) {
		t.Error("got no match for the same code, want one")
	}
	if errors.Is(err, Draining("")) {
		t.Error("got a match for another code, want none")
	}
}
