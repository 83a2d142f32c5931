package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case, within the pages' limits.
const (
	historyTime = 20 * time.Second
	cutTime     = 5500 * time.Millisecond
	stormTime   = 4 * time.Second
	stormGap    = 330 * time.Millisecond
	applyTime   = 3 * time.Second
	contactTime = 4 * time.Second
	// configBytes is the size for which a configuration gets idle routes; with it an object has about 0.85 MB, and 1 MiB at most.
	configBytes = 720_000
)

// configuration returns a configuration of the given size with a database of each given name.
func configuration(version, size, timeout int, databases ...string) map[string]any {
	var routes []any
	add := func(host, kind string) {
		routes = append(routes, map[string]any{
			"Name": "r-" + host, "Host": host, "PathPrefix": "/", "Type": kind, "TimeoutMs": timeout, "SloMs": 200, "Priority": 1, "Service": "svc",
			"Attempts": 2, "MaxStalenessMs": 1500,
		})
	}
	for _, d := range databases {
		add(d, "bounded_staleness")
	}
	const routeBytes = 165
	for i := 0; i*routeBytes < size; i++ {
		add(fmt.Sprintf("idle%06d", i), "bounded_staleness")
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "TxIdleMs": 3000},
		"Services": []any{map[string]any{"Name": "svc", "HealthPath": "/healthz", "MaxConns": 33, "Protocol": "h1", "Tls": false, "SyncReplicas": 0}},
	}
}

// backlog cuts one daemon off from the store for 5.5 s in which the configuration changes in quick succession, and then asks both
// daemons for the route of the last change.
func backlog(dir string, trouble bool, rec *record) (bool, error) {
	s := newStore()
	svc := newService(0, s, rec)
	defer close(svc.stop)
	for i, zone := range []string{"stgo-a", "stgo-b", "rancagua"} {
		if _, err := svc.add(fmt.Sprintf("i-%d", i), zone, "", i == 0, 1, nil); err != nil {
			return false, err
		}
	}
	version := 7
	publish := func(size int, databases ...string) {
		version += 2
		c := configuration(version, size, 1000+version, databases...)
		s.set("config", "main", c)
		rec.write("operator: version %d acknowledged, %d routes", version, len(c["Routes"].([]any)))
	}
	publish(configBytes, "first")
	duty := httpServer(http.HandlerFunc(svc.promotion))
	defer duty.Close()
	var fleet []*process
	var cuts []*relay
	for i, zone := range []string{"stgo-a", "talca"} {
		name := fmt.Sprintf("front-%s-1", zone)
		d := &door{s: s, refuses: func() bool { return false }, seen: func(call string, status, size int) {
			if strings.Contains(call, "/config") {
				rec.write("store: %s: %s -> %d, %d bytes", name, call, status, size)
			}
		}}
		server := d.start()
		defer server.Close()
		r, err := newRelay(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			return false, err
		}
		p, err := newProcess(dir, name, zone, fmt.Sprintf("127.0.0.%d", 11+i), r.address(), strings.TrimPrefix(duty.URL, "http://"), d, nil)
		if err != nil {
			return false, err
		}
		if err := p.start(); err != nil {
			return false, err
		}
		defer p.stop()
		fleet, cuts = append(fleet, p), append(cuts, r)
	}
	time.Sleep(10 * time.Second)
	for _, p := range fleet {
		c, answer := connect(p.caller, "first", "c0")
		if c == nil {
			return false, fmt.Errorf("%s does not serve the first configuration: %s", p.name, answer)
		}
		c.close()
	}
	if trouble {
		rec.say("front-talca-1 is cut off from the store for %v", cutTime)
		cuts[1].setCut(true)
	}
	cutAt := time.Now()
	for n := 1; n <= int(stormTime/stormGap); n++ {
		time.Sleep(time.Until(cutAt.Add(time.Duration(n) * stormGap)))
		if n < int(stormTime/stormGap) {
			publish(configBytes, "first")
		} else {
			publish(configBytes, "first", "added")
		}
	}
	ackedAt := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	cuts[1].setCut(false)
	healedAt := time.Now()
	rec.say("the path is whole again")
	// From both times on the rule holds, with half a second in hand.
	judgeFrom := healedAt.Add(contactTime + 500*time.Millisecond)
	if t := ackedAt.Add(applyTime + 500*time.Millisecond); t.After(judgeFrom) {
		judgeFrom = t
	}
	var mu sync.Mutex
	broken := 0
	var all sync.WaitGroup
	for _, p := range fleet {
		all.Add(1)
		go func() {
			defer all.Done()
			refused, served := 0, 0
			for n := 0; time.Since(healedAt) < 30*time.Second; n++ {
				sentAt := time.Now()
				c, answer := connect(p.caller, "added", fmt.Sprintf("%s-%d", p.name, n))
				if c != nil {
					answer = c.query("READ x1")
					c.close()
				}
				rec.write("client at %s: READ in database added, sent %.1f s after the cut -> %s", p.name, sentAt.Sub(healedAt).Seconds(), answer)
				if sentAt.After(judgeFrom) {
					if strings.Contains(answer, "NODB") {
						refused++
					} else if strings.HasPrefix(answer, "DATAROW") {
						served++
					}
				}
				time.Sleep(250 * time.Millisecond)
			}
			rec.say("%s: in touch and later than ConfigApplyMs: %d refused with NODB, %d served", p.name, refused, served)
			mu.Lock()
			broken += refused
			mu.Unlock()
		}()
	}
	all.Wait()
	return broken > 0, nil
}
