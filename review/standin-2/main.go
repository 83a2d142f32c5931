// The program standin-2 plays one case: it runs a store, members and clients as stand-ins, and daemons of target/cactusfork as
// separate processes. Its exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// template is deploy/edge.ini.template, which build-2.sh copies here.
//
//go:embed edge.ini.template
var template string

// play is what a case works with.
type play struct {
	record  *record
	store   *store
	fleet   *fleet
	trouble bool
}

var cases = map[string]func(p *play) error{
	"freeze": freezeCase,
	"return": returnCase,
	"strong": strongCase,
	"resume": resumeCase,
	"thaw":   thawCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("want a case and its folder")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	s, err := newStore(r)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	p := &play{record: r, store: s, fleet: &fleet{dir: dir, store: s.address, record: r}, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.fleet.stop()
	if err := cases[name](p); err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	time.Sleep(100 * time.Millisecond)
	n, first := r.close()
	if n > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", n, first)
		return 1
	}
	fmt.Println("rule held")
	return 0
}

// config returns a configuration with one route of each type to a service.
func config(version int, service string, sync int) map[string]any {
	route := func(name, host, kind string, timeout, slo, staleness int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/", "Type": kind, "TimeoutMs": timeout, "SloMs": slo, "Priority": 1, "Service": service,
			"Attempts": 2, "MaxStalenessMs": staleness,
		}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-strong", "dbstrong", "primary", 1000, 200, 0), route("r-own", "dbown", "read_your_writes", 1000, 400, 2500),
			route("r-old", "dbold", "bounded_staleness", 3000, 800, 1500),
		},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": 33, "Protocol": "h1", "Tls": false, "SyncReplicas": sync}},
		"Limits":   map[string]any{"TxIdleMs": 5000},
	}
}
