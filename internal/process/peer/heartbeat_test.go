package peer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
)

// BenchmarkHeartbeat measures a heartbeat from one table to another: composing, encoding, decoding and merging.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 60, 240} {
		for _, all := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/all=%t", n, all), func(b *testing.B) {
				f := newCluster(n, 1, 1, func(*Settings) {})
				benchmarkHeartbeat(b, f.tables[f.ids[0]], f.tables[f.ids[1]], all)
			})
		}
	}
}

func benchmarkHeartbeat(b *testing.B, from, to *Table, all bool) {
	size := 0
	for b.Loop() {
		out := outgoingHeartbeat{Heartbeat: from.Heartbeat(0, to.self.ID, all)}.out()
		wire, err := proto.Marshal(out)
		if err != nil {
			b.Fatal(err)
		}
		size = len(wire)
		var in peerv1.Heartbeat
		if err := proto.Unmarshal(wire, &in); err != nil {
			b.Fatal(err)
		}
		got, _ := heartbeatIn(0, &in)
		to.MergeHeartbeat(0, got)
	}
	b.ReportMetric(float64(size), "bytes/heartbeat")
}
