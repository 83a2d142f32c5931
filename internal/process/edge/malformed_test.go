package edge

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// malformedSpecs are objects of another writer that cannot be used, by what is wrong. Each is a valid target entry of group g but for that.
func malformedSpecs() map[string]string {
	with := func(field, value string) string {
		e := standin.Entry("g", "127.0.0.1:9", 1700000000000)
		delete(e, field)
		b, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		return strings.TrimSuffix(string(b), "}") + `,"` + field + `":` + value + "}"
	}
	deepList := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	deepObject := strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000)
	return map[string]string{
		"nested list":            deepList,
		"nested object":          deepObject,
		"nested field":           with("Service", deepList),
		"nested object in field": with("born", deepObject),
		"capacity over a float":  with("Capacity", "1e999"),
		"capacity over a size":   with("Capacity", "9000000000000000000"),
		"sequence too large":     with("Sequence", "1e300"),
		"warm-up too large":      with("WarmupLeftMs", "1e300"),
		"start too large":        with("born", "99999999999999999999"),
		"start over a date":      with("born", "9000000000000000000"),
		"port out of range":      with("Address", `"127.0.0.1:65536"`),
		"port zero":              with("Address", `"127.0.0.1:0"`),
		"port negative":          with("Address", `"127.0.0.1:-1"`),
		"address with a zone":    with("Address", `"[fe80::1%a b]:80"`),
		"group with a line end":  with("Service", `"g\r\nQUERY - DEMOTE 9"`),
	}
}

// Guards against a malformed object of another writer that ends daemons, or keeps them from reading the others.
func TestMalformedObjectsDoNotAffectOthers(t *testing.T) {
	for name, spec := range malformedSpecs() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			running := env.start("front-1")
			for _, kind := range []string{"servers", "cactusfork-daemons", "cactusfork-claims", "cactusfork-holders", "config"} {
				env.store.Set(kind, "a-malformed", spec)
				env.store.Set(kind, "g", spec)
			}
			started := env.start("front-2")
			env.store.Set("config", "main", testConfig(9, true))
			env.store.Set("servers", "g-2", standin.WrongTypeEntry())
			for _, d := range []*daemon{running, started} {
				env.eventually("the configuration is applied", func() bool { return d.view.Load().config.Version == 9 })
				env.eventually("the change of an entry is read", func() bool {
					target := d.view.Load().findTarget("g", "g-2")
					return target == nil || target.candidate(false).Leaving
				})
				env.eventually("daemons know each other", func() bool { return d.knows("front-1") && d.knows("front-2") })
				if strings.Contains(spec, "127.0.0.1:6") && d.knows("a-malformed") {
					t.Error("got a daemon known whose port is out of range, want it unknown")
				}
				if got := len(d.view.Load().groups["g"].targets); got > 3 {
					t.Errorf("got %d targets, want none for the malformed entry", got)
				}
				if got := d.connect("entries").query("WRITE a 1"); !standin.Completed(got) {
					t.Errorf("got %q, want a success", got)
				}
			}
		})
	}
}

func (d *daemon) knows(id group.DaemonID) bool {
	return slices.ContainsFunc(*d.peers.list.Load(), func(p placement.Peer) bool { return p.ID == id })
}

// Guards against a malformed claim that keeps a group from getting a new primary.
func TestMalformedClaimDoesNotBlockAPromotion(t *testing.T) {
	for name, spec := range malformedSpecs() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			d := env.start("front-1")
			env.store.Set("cactusfork-claims", "g", spec)
			env.group.Targets[0].Crash()
			env.eventually("a write is served by the next primary", func() bool { return standin.Completed(d.connect("entries").query("WRITE a 1")) })
		})
	}
}
