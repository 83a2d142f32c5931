// Command standin-3 plays the cases of the third review: it starts daemons with the command of the deploy file, and stand-ins of clients,
// members and the platform for them.
package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
)

func httpServer(h http.Handler) *httptest.Server { return httptest.NewServer(h) }

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(dir string, trouble bool, rec *record) (bool, error){
	"handover": handOver,
	"newcomer": newcomer,
	"reborn":   reborn,
	"restart":  restart,
	"settle":   settle,
}

// Exit statuses.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	wantArg = 3
)

func main() {
	if len(os.Args) != wantArg || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	is, err := cases[name](dir, os.Getenv("TROUBLE") != "0", rec)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return notRun
	case is:
		rec.say("rule broken")
		return broken
	}
	rec.say("rule held")
	return held
}
