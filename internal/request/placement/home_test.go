package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// peersInDataCentres returns the given number of daemons in each data centre.
func peersInDataCentres(centres, each int) []Peer {
	var all []Peer
	for c := range centres {
		for i := range each {
			all = append(all, Peer{ID: group.DaemonID(fmt.Sprintf("d-%d-%d", c, i)), DataCentre: group.DataCentre(fmt.Sprint("c", c))})
		}
	}
	return all
}

func TestHomesCount(t *testing.T) {
	tests := []struct {
		name        string
		peers       []Peer
		connections int
		want        int
	}{
		{"enough connections for every daemon", peersInDataCentres(4, 2), 33, 0},
		{"too few connections for every daemon", peersInDataCentres(4, 16), 49, 2},
		{"many connections, but more daemons", peersInDataCentres(5, 14), 156, 2},
		{"fewer connections than a home needs", peersInDataCentres(4, 16), 10, 1},
		{"no limit", peersInDataCentres(4, 16), 0, 0},
	}
	for _, tt := range tests {
		if got := len(Homes("g", tt.peers, "c0", tt.connections)); got != tt.want {
			t.Errorf("%s: got %d homes, want %d", tt.name, got, tt.want)
		}
	}
}

// TestWindowBounds checks that homes that use their whole windows keep a target busy without overfilling its queue.
func TestWindowBounds(t *testing.T) {
	for _, tt := range []struct{ slots, homes, queue int }{{3, 10, 24}, {6, 8, 48}, {2, 4, 16}, {5, 1, 40}} {
		all := Window(tt.slots, tt.homes) * tt.homes
		if all < 2*tt.slots || all > tt.slots+tt.queue {
			t.Errorf("%d slots, %d homes: got %d statements in flight, want %d to %d", tt.slots, tt.homes, all, 2*tt.slots, tt.slots+tt.queue)
		}
	}
}

func TestHomesAreBalancedAndStable(t *testing.T) {
	peers := peersInDataCentres(4, 16)
	load := make(map[group.DaemonID]int)
	moved := 0
	const groups = 200
	for i := range groups {
		g := group.ID(fmt.Sprint("g", i))
		homes := Homes(g, peers, "c0", 49)
		for _, h := range homes {
			if h.DataCentre != "c0" {
				t.Fatalf("got home %v, want one in data centre c0", h)
			}
			load[h.ID]++
		}
		if Homes(g, peers[1:], "c0", 49)[0].ID != homes[0].ID {
			moved++
		}
	}
	if len(load) != 16 {
		t.Errorf("got %d daemons that are homes, want 16", len(load))
	}
	// Only the groups of the removed daemon may move: 1 in 16 of the first homes.
	if moved > groups/8 {
		t.Errorf("got %d of %d groups moved, want at most 1 in 8", moved, groups)
	}
}

func TestInitialConnections(t *testing.T) {
	for _, tt := range []struct{ connections, daemons, want int }{{23, 3, 3}, {33, 7, 2}, {156, 10, 7}, {125, 12, 5}, {8, 9, 0}, {9, 0, 4}} {
		if got := InitialConnections(tt.connections, tt.daemons); got != tt.want {
			t.Errorf("%d connections, %d daemons: got %d, want %d", tt.connections, tt.daemons, got, tt.want)
		}
	}
}

// TestHomesHaveHighestRanks compares the homes with all daemons of the data centre sorted by rank.
func TestHomesHaveHighestRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := peersInDataCentres(rapid.IntRange(1, 6).Draw(t, "centres"), rapid.IntRange(1, 30).Draw(t, "each"))
		here := peers[rapid.IntRange(0, len(peers)-1).Draw(t, "here")].DataCentre
		g := group.ID(rapid.StringMatching("[a-z]{3}").Draw(t, "group"))
		var local []Peer
		for _, p := range peers {
			if p.DataCentre == here {
				local = append(local, p)
			}
		}
		slices.SortFunc(local, func(a, b Peer) int { return cmp.Compare(rank(g, b.ID), rank(g, a.ID)) })
		got := Homes(g, peers, here, rapid.IntRange(1, 3*len(peers)).Draw(t, "connections"))
		if len(got) > 0 && !slices.Equal(got, local[:len(got)]) {
			t.Errorf("got %v, want a prefix of %v", got, local)
		}
	})
}

func BenchmarkHomes(b *testing.B) {
	peers := peersInDataCentres(6, 49)
	for b.Loop() {
		Homes("group-7", peers, peers[0].DataCentre, 125)
	}
}
