package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playNewline sends one statement whose last field holds a line feed, and looks at what the members ran.
func playNewline(s *scene) (bool, error) {
	c, err := connect("client-1", s.fleet.daemons[0].front, dbStrong, s.record)
	if err != nil {
		return false, err
	}
	defer c.close()
	if !completed(c.query("WRITE price-7 1200", time.Second)) {
		return false, fmt.Errorf("the first write failed")
	}
	own := c.id
	smuggled := newID()
	text := "WRITE note-1 first line"
	if s.trouble {
		text += "\nQUERY " + smuggled + " WRITE price-7 0"
	}
	c.query(text, time.Second)
	second := c.id
	time.Sleep(300 * time.Millisecond)
	sent := map[string][]string{own: {"price-7", "1200"}, second: {"note-1", strings.TrimPrefix(text, "WRITE note-1 ")}}
	s.svc.mu.Lock()
	defer s.svc.mu.Unlock()
	broken := false
	for _, k := range s.svc.primary().log {
		want, ok := sent[k.id]
		switch {
		case !ok:
			broken = true
			s.record.say(fmt.Sprintf("UNASKED: the member committed %s %q, which no client sent as a request", k.id, k.writes))
		case strings.Join(want, " ") != strings.Join(k.writes, " "):
			broken = true
			s.record.say(fmt.Sprintf("UNASKED: the member committed %s as %q, the client sent %q", k.id, k.writes, want))
		}
	}
	return broken, nil
}

// playStop stops a daemon that has open transactions, and looks for statements that a member works on and that are not
// answered.
func playStop(s *scene) (bool, error) {
	const sessions = 6
	s.svc.work = func(string, string) time.Duration { return 400 * time.Millisecond }
	d := s.fleet.daemons[0]
	var wg sync.WaitGroup
	var stoppedAt atomic.Int64
	var cut, answered atomic.Int64
	begun := make(chan error, sessions)
	for i := range sessions {
		wg.Go(func() {
			c, err := connect(fmt.Sprintf("client-%d", i+1), d.front, dbBounded, s.record)
			if err == nil {
				defer c.close()
				if reply := c.query("BEGIN READ", time.Second); !completed(reply) {
					err = fmt.Errorf("begin: %s", reply)
				}
			}
			begun <- err
			if err != nil {
				return
			}
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // so that the statements do not run in step
			for range 12 {
				sent := time.Now()
				reply := c.query("READ 1a4", 4*time.Second)
				if strings.Contains(reply, "broken") {
					after := float64(sent.UnixMilli()-stoppedAt.Load()) / 1000
					if _, ran := s.svc.ran.Load(c.id); !ran || after <= 3 {
						return // not passed on to a member, or within the excuse of the rule
					}
					cut.Add(1)
					s.record.say(fmt.Sprintf("LOST: read %s, sent %.2f s after the SIGTERM, was cut off after %.0f ms: %s", c.id, after, time.Since(sent).Seconds()*1000, reply))
					return
				}
				answered.Add(1)
				if strings.Contains(reply, "ERROR") {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			c.query("COMMIT", 4*time.Second)
		})
	}
	for range sessions {
		if err := <-begun; err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	stoppedAt.Store(time.Now().UnixMilli())
	if s.trouble {
		s.record.add("platform", "SIGTERM to "+d.name)
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		// SIGKILL follows after GraceS.
		time.AfterFunc(6*time.Second, func() {
			if d.running() {
				_ = d.cmd.Process.Signal(os.Kill)
			}
		})
	}
	wg.Wait()
	s.record.say(fmt.Sprintf("%d statements answered, %d cut off", answered.Load(), cut.Load()))
	return cut.Load() > 0, nil
}
