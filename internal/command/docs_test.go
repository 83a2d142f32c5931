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

// examples is the folder with the example files of the documentation.
const examples = "../../docs/examples"

func TestExamplesAreValid(t *testing.T) {
	text, err := os.ReadFile(examples + "/entry-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := settings.Parse("entry-1.ini", text)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := access.Load("entry-1.ini", cfg, clock.System(), func(error) {}); err != nil {
		t.Error(err)
	}
	if text, err = os.ReadFile(examples + "/precios.ini"); err != nil {
		t.Fatal(err)
	}
	if _, err := service.Parse("precios.ini", text); err != nil {
		t.Error(err)
	}
}

// documentedCommands returns the arguments of each command line in the documentation, except for those of a synopsis.
func documentedCommands(t *testing.T) [][]string {
	t.Helper()
	pages := []string{"../../README.md", "../../docs/OPERATORS.md"}
	commandPages, err := filepath.Glob("../../docs/commands/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var commands [][]string
	for _, page := range append(pages, commandPages...) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		_, synopsis, _ := strings.Cut(string(text), "## Synopsis")
		synopsis, _, _ = strings.Cut(synopsis, "## Description")
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.HasPrefix(line, "    ") && !strings.Contains(synopsis, line) {
				if args := strings.Fields(line); args[0] == "cactusfork" {
					commands = append(commands, args[1:])
				}
			}
		}
	}
	return commands
}

// offline reports whether a command needs no network and no files besides the examples.
func offline(args []string) bool {
	if slices.Contains(args, "--admin") || slices.Contains(args, "--out") || strings.Contains(strings.Join(args, " "), "/tmp/") {
		return false
	}
	return slices.Contains([]string{"check", "timeline", "token", "completion"}, args[0])
}

func TestDocumentedCommandsRun(t *testing.T) {
	commands := documentedCommands(t)
	t.Chdir(examples)
	executed := 0
	for _, args := range commands {
		if offline(args) {
			executed++
			for i := range args {
				args[i] = strings.TrimPrefix(args[i], "docs/examples/")
			}
		} else {
			// --help checks the flags without running the command; it accepts no file names.
			if args[0] == "publish" {
				args = args[:len(args)-1]
			}
			args = append(args, "--help")
		}
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			if status, _, stderr := runCommand(t, args...); status != 0 {
				t.Errorf("got %d, %s, want 0", status, stderr)
			}
		})
	}
	if executed < 8 || len(commands) < 25 {
		t.Errorf("got %d of %d commands run, want at least 8 of 25", executed, len(commands))
	}
}

func TestTryPageDocumentsEveryFault(t *testing.T) {
	text, err := os.ReadFile("../../docs/commands/try.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range trial.Faults() {
		if !strings.Contains(string(text), string(f)) {
			t.Errorf("fault %s is missing on the page", f)
		}
	}
}

func TestPagesDocumentEveryOption(t *testing.T) {
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
				t.Errorf("option %s is missing on %s", want, page)
			}
		}
	}
}
