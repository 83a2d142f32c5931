// Command standin plays the cases of the review. It starts daemons as the deploy file says, and stands in for the platform's
// store, the promotion call, the members and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scene is what a case works with.
type scene struct {
	record  *record
	store   *store
	svc     *service
	duty    *duty
	fleet   *fleet
	trouble bool
}

// The databases of the configuration: one for each type of route.
const (
	dbStrong  = "lepu270"
	dbOwn     = "fiti832ti23"
	dbBounded = "xapu221ny95"
)

var cases = map[string]struct {
	sync int
	// zones are the zones of the daemons.
	zones []string
	play  func(s *scene) (broken bool, err error)
}{
	"newline": {0, []string{"stgo-a", "stgo-b"}, playNewline},
	"stop":    {0, []string{"stgo-a", "stgo-b"}, playStop},
	"quorum":  {1, []string{"stgo-a", "stgo-b", "rancagua"}, playQuorum},
	"grey":    {0, []string{"stgo-a", "stgo-b", "rancagua"}, playGrey},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	s := &scene{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	fail := func(err error) int {
		rec.say("could not run: " + err.Error())
		return 2
	}
	if s.store, err = newStore(); err != nil {
		return fail(err)
	}
	if s.svc, err = newService("huvo11a", c.sync, s.store, rec); err != nil {
		return fail(err)
	}
	defer close(s.svc.stop)
	if s.duty, err = newDuty(s.svc, rec); err != nil {
		return fail(err)
	}
	s.store.set("config", "main", config(1, c.sync))
	if s.fleet, err = newFleet(root, s.store, s.duty, rec); err != nil {
		return fail(err)
	}
	defer s.fleet.stop()
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("out of time")
		s.fleet.stop()
		os.Exit(2)
	})
	if err := s.fleet.start(c.zones...); err != nil {
		return fail(err)
	}
	time.Sleep(4500 * time.Millisecond) // from here on the daemons are in touch
	broken, err := c.play(s)
	if err != nil {
		return fail(err)
	}
	if broken {
		rec.say("BROKEN")
		return 1
	}
	rec.say("held")
	return 0
}

// config is the operator's configuration.
func config(version, syncReplicas int) map[string]any {
	route := func(name, host, kind string, timeout, slo, priority, stale int) map[string]any {
		r := map[string]any{"Name": name, "Host": host, "PathPrefix": "/", "Type": kind, "TimeoutMs": timeout, "SloMs": slo, "Priority": priority, "Service": "huvo11a", "Attempts": 2}
		if stale > 0 {
			r["MaxStalenessMs"] = stale
		}
		return r
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-a", dbStrong, "primary", 1000, 200, 1, 0),
			route("r-b", dbOwn, "read_your_writes", 1000, 400, 2, 2500),
			route("r-c", dbBounded, "bounded_staleness", 3000, 800, 2, 1500),
		},
		"Services": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 33, "Protocol": "h1", "Tls": false, "SyncReplicas": syncReplicas}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
	}
}
