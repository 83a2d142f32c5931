package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/request/limit"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const period = 250 * clock.Millis(1)

func newTable(n int) *peer.Table {
	t := peer.NewTable(peer.Member{ID: "d0", Address: "10.20.0.0:7432", DataCentre: centre(0), Incarnation: 1}, peer.Defaults(period))
	var all []peer.Entry
	for i := 1; i < n; i++ {
		all = append(all, peer.Entry{State: peer.Alive, Member: peer.Member{
			ID:          group.DaemonID(fmt.Sprintf("daemon-%04d", i)),
			Address:     fmt.Sprintf("10.20.%d.%d:7432", i/250, i%250),
			DataCentre:  centre(i % 44),
			Incarnation: 1,
		}})
	}
	t.Merge(0, all)
	return t
}

func tables() measure {
	const ticks = 500
	return measure{
		slopes: []Slope{
			{ID: MemberBytes, What: "memory of the members' table", Size: "member", Unit: "B"},
			{ID: TickCPU, What: "start of a period and the list of live members", Size: "member", Unit: "µs"},
		},
		sizes: []int{8, 60, 240, 1000},
		run: func(_ context.Context, n int) ([]float64, error) {
			before := held()
			t := newTable(n)
			memory := held() - before
			cpu, err := repeated(ticks, func() {
				t.Tick(0)
				t.Live(0)
			})
			runtime.KeepAlive(t)
			return []float64{memory, cpu}, err
		},
	}
}

func shares() measure {
	const rounds = 500
	return measure{
		slopes: []Slope{{ID: ShareCPU, What: "one target's slots divided among the daemons", Size: "member", Unit: "µs"}},
		sizes:  []int{8, 60, 240, 1000},
		run: func(_ context.Context, n int) ([]float64, error) {
			var demands []limit.Demand
			for i := range n {
				demands = append(demands, limit.Demand{Daemon: group.DaemonID(fmt.Sprintf("daemon-%04d", i)), Want: i % 7})
			}
			pool := limit.Pool{Target: "database-00001-a", Total: 100}
			cpu, err := repeated(rounds, func() { pool.Share("daemon-0000", demands) })
			return []float64{cpu}, err
		},
	}
}
