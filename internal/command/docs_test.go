package command

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/internal/process/access"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/internal/trial"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const examples = "../../docs/examples"

func TestExamples(t *testing.T) {
	text, err := os.ReadFile(examples + "/entry-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	set, err := settings.Parse("entry-1.ini", text)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := access.Load("entry-1.ini", set, clock.System(), func(error) {}); err != nil {
		t.Error(err)
	}
	if text, err = os.ReadFile(examples + "/precios.ini"); err != nil {
		t.Fatal(err)
	}
	if _, err := service.Parse("precios.ini", text); err != nil {
		t.Error(err)
	}
}

// documented returns the command lines of all pages, each as its arguments.
func documented(t *testing.T) [][]string {
	t.Helper()
	pages := []string{"../../README.md", "../../docs/OPERATORS.md"}
	more, err := filepath.Glob("../../docs/commands/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for _, page := range append(pages, more...) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		_, synopsis, _ := strings.Cut(string(text), "## Synopsis")
		synopsis, _, _ = strings.Cut(synopsis, "## Description")
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.HasPrefix(line, "    ") && !strings.Contains(synopsis, line) {
				if args := strings.Fields(line); args[0] == "cactusfork" {
					out = append(out, args[1:])
				}
			}
		}
	}
	return out
}

// offline reports whether a command line needs neither network nor a file that is not an example.
func offline(args []string) bool {
	if slices.Contains(args, "--admin") || slices.Contains(args, "--out") || strings.Contains(strings.Join(args, " "), "/tmp/") {
		return false
	}
	return slices.Contains([]string{"check", "timeline", "token", "completion"}, args[0])
}

func TestDocumentedCommandLines(t *testing.T) {
	lines := documented(t)
	t.Chdir(examples)
	ran := 0
	for _, args := range lines {
		if offline(args) {
			ran++
			for i := range args {
				args[i] = strings.TrimPrefix(args[i], "docs/examples/")
			}
		} else {
			// Only the flags are looked at, and help takes no file names.
			if args[0] == "publish" {
				args = args[:len(args)-1]
			}
			args = append(args, "--help")
		}
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			if status, _, stderr := run(t, args...); status != 0 {
				t.Errorf("got %d, %s, want 0", status, stderr)
			}
		})
	}
	if ran < 8 || len(lines) < 25 {
		t.Errorf("got %d lines run of %d, want at least 8 of 25", ran, len(lines))
	}
}

func TestTryPageNamesEveryFault(t *testing.T) {
	text, err := os.ReadFile("../../docs/commands/try.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range trial.Faults() {
		if !strings.Contains(string(text), string(f)) {
			t.Errorf("got no %s on the page", f)
		}
	}
}

// TestPagesNameEveryOption compares the pages with the commands themselves.
func TestPagesNameEveryOption(t *testing.T) {
	for _, c := range newRoot(nil, nil).Commands {
		page := "../../docs/commands/" + c.Name + ".md"
		if c.Name == "token" {
			c = c.Commands[0]
			page = "../../docs/commands/token-inspect.md"
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range c.Flags {
			if want := "--" + f.Names()[0]; !strings.Contains(string(text), want) {
				t.Errorf("got no %s on %s", want, page)
			}
		}
	}
}
