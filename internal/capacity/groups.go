package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// settleFor passes before a window is measured, window is its length.
	settleFor = 700 * time.Millisecond
	window    = 2 * time.Second
)

// record is that of the i-th group, whose first target is primary.
func record(i int) group.Record {
	id := fmt.Sprintf("database-%05d", i)
	rec := group.Record{ID: group.ID(id), Term: 1, Primary: group.TargetID(id + "-a")}
	for j := range 3 {
		rec.Targets = append(rec.Targets, group.Target{
			ID:          group.TargetID(fmt.Sprintf("%s-%c", id, 'a'+j)),
			Address:     fmt.Sprintf("10.%d.%d.%d:5432", 30+j, i/250, i%250),
			DataCentre:  centre((i + j) % 44),
			Slots:       100,
			Connections: 300,
		})
	}
	return rec
}

// statusOf is what the j-th target of a healthy group says.
func statusOf(rec *group.Record, j int) group.Status {
	s := group.Status{Promise: 1, Received: position.Point{Term: 1, Position: 900}, Applied: position.Point{Term: 1, Position: 900}}
	if s.Primary = j == 0; !s.Primary {
		s.Following = rec.Primary
	}
	return s
}

// dialNothing returns links that answer without a network.
func dialNothing(_ context.Context, t group.Target) (probe.Link, error) {
	rec := group.Record{Primary: t.ID[:len(t.ID)-1] + "a"}
	s := statusOf(&rec, int(t.ID[len(t.ID)-1]-'a'))
	return probe.Link{
		Status: func(context.Context) (group.Status, error) { return s, nil },
		Close:  func() {},
	}, nil
}

// newLoop returns a loop that asks each target once in an interval.
func newLoop(interval clock.Millis) *control.Loop {
	machine := group.DefaultSettings()
	machine.ProbeInterval = interval
	return control.New(&control.Config{
		Self:    "d0",
		Machine: machine,
		Probe:   probe.Settings{Interval: interval, Timeout: 250, Pause: 1},
	}, clock.System(), control.Seams{
		Dial:   dialNothing,
		Store:  &platform.Store{},
		Random: rand.Float64,
		Load:   func(group.TargetID) admission.Load { return admission.Load{} },
		Report: func(event.Event) {},
	})
}

func published(n int) *control.Published {
	p := &control.Published{Groups: map[group.ID]control.Versioned{}}
	for i := range n {
		rec := record(i)
		p.Groups[rec.ID] = control.Versioned{Record: rec, Version: 1}
	}
	return p
}

func loops() measure {
	return measure{
		slopes: []Slope{
			{ID: LoopCPU, What: "second of a group of 3 healthy targets asked every 100 ms, links without network", Size: "group", Unit: "µs/s"},
			{ID: LoopBytes, What: "memory of a group: machine, view, samples of 2 s, 3 probers", Size: "group", Unit: "B"},
		},
		sizes: []int{1, 50, 300, 700},
		run: func(ctx context.Context, n int) ([]float64, error) {
			return loopCost(ctx, n, 100)
		},
	}
}

func slowLoops() measure {
	return measure{
		slopes: []Slope{{ID: SlowLoopCPU, What: "the same, each target asked once a second", Size: "group", Unit: "µs/s"}},
		sizes:  []int{1, 50, 700},
		run: func(ctx context.Context, n int) ([]float64, error) {
			cost, err := loopCost(ctx, n, clock.Second)
			if err != nil {
				return nil, err
			}
			return cost[:1], nil
		},
	}
}

// loopCost returns the processor time of a second and the memory of a loop that holds n groups.
func loopCost(ctx context.Context, n int, interval clock.Millis) ([]float64, error) {
	ctx, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	before := held()
	l := newLoop(interval)
	work.Go(func() { l.Run(ctx) })
	l.Publish(ctx, published(n))
	time.Sleep(settleFor)
	u, err := during(func() error {
		time.Sleep(window)
		return nil
	})
	memory := held() - before
	return []float64{u.cpu / window.Seconds(), memory}, err
}

// views are those of n healthy groups.
func views(n int) []*route.View {
	var out []*route.View
	for i := range n {
		rec := record(i)
		v := &route.View{Record: rec, Samples: []route.Sample{{Point: position.Point{Term: 1, Position: 900}, AskedAt: 1000}}}
		for j, t := range rec.Targets {
			v.Targets = append(v.Targets, route.TargetView{Target: t, Status: statusOf(&rec, j), AskedAt: 1000})
		}
		out = append(out, v)
	}
	return out
}

func machines() measure {
	const rounds = 300
	return measure{
		slopes: []Slope{
			{ID: StepCPU, What: "answer of a target taken in by each group's machine", Size: "group", Unit: "µs"},
			{ID: ChooseCPU, What: "target chosen for a read in each group", Size: "group", Unit: "µs"},
		},
		sizes: []int{1, 50, 700},
		run: func(_ context.Context, n int) ([]float64, error) {
			step, err := stepCost(n, rounds)
			if err != nil {
				return nil, err
			}
			all := views(n)
			need := route.Need{Request: service.Request{Kind: service.Read, MaxAge: 5000, Weight: 1}, DataCentre: centre(0), Arrived: 1000}
			choose, err := repeated(rounds, func() {
				for _, v := range all {
					route.Choose(v, 1000, need, rand.IntN)
				}
			})
			return []float64{step, choose}, err
		},
	}
}

func stepCost(n, rounds int) (float64, error) {
	var all []*group.Machine
	var answers []group.Answered
	for i := range n {
		rec := record(i)
		all = append(all, group.New("d0", rec, group.DefaultSettings(), rand.Float64))
		answers = append(answers, group.Answered{Target: rec.Primary, Status: statusOf(&rec, 0)})
	}
	now := clock.Second
	return repeated(rounds, func() {
		now++
		for i, m := range all {
			answers[i].AskedAt = now
			m.Step(now, answers[i])
		}
	})
}
