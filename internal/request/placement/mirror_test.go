package placement

import (
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

func peersWithMirrors(n int) []Peer {
	var list []Peer
	for i := range n {
		list = append(list, Peer{ID: group.DaemonID(fmt.Sprint("d", i)), DataCentre: "here", MirrorAddress: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return append(list, Peer{ID: "far", DataCentre: "there", MirrorAddress: "10.1.0.1:1"}, Peer{ID: "no-mirror", DataCentre: "here"})
}

func TestMirrors(t *testing.T) {
	tests := []struct {
		daemons int
		direct  int
	}{{2, 2}, {5, 5}, {6, 2}, {14, 2}, {59, 2}}
	for _, tt := range tests {
		list := peersWithMirrors(tt.daemons)
		direct, served := 0, map[group.DaemonID]int{}
		for _, p := range list[:tt.daemons] {
			m, role := Mirror(p.ID, list, "here")
			if role != MirrorClient {
				direct++
				continue
			}
			served[m.ID]++
			if _, role := Mirror(m.ID, list, "here"); role != RootMirror {
				t.Errorf("%d daemons: got mirror %s, which does not read the store", tt.daemons, m.ID)
			}
		}
		if direct != tt.direct {
			t.Errorf("%d daemons: got %d daemons that read the store, want %d", tt.daemons, direct, tt.direct)
		}
		for id, n := range served {
			if tt.daemons >= 14 && n > tt.daemons*4/5 {
				t.Errorf("%d daemons: got %d daemons that use mirror %s, want the load shared", tt.daemons, n, id)
			}
		}
	}
}

func TestRemovedMirrorIsReplaced(t *testing.T) {
	list := peersWithMirrors(14)
	var first Peer
	for _, p := range list {
		if m, role := Mirror(p.ID, list, "here"); role == MirrorClient {
			first = m
		}
	}
	var remaining []Peer
	for _, p := range list {
		if p.ID != first.ID {
			remaining = append(remaining, p)
		}
	}
	for _, p := range remaining[:13] {
		if m, _ := Mirror(p.ID, remaining, "here"); m.ID == first.ID {
			t.Errorf("got %s, which was removed", m.ID)
		}
	}
}

func TestTwoDaemonsReadStoreForAllDataCentres(t *testing.T) {
	var list []Peer
	for i := range 60 {
		list = append(list, Peer{ID: group.DaemonID(fmt.Sprint("d", i)), DataCentre: group.DataCentre(fmt.Sprint("c", i%6)), MirrorAddress: "a:1"})
	}
	list = append(list, Peer{ID: "small", DataCentre: "small", MirrorAddress: "a:1"})
	reading, remote := 0, 0
	for _, p := range list {
		m, role := Mirror(p.ID, list, p.DataCentre)
		switch {
		case role == RootMirror:
			reading++
		case role == Standalone && p.ID != "small":
			t.Errorf("got %s reading the store itself, want it to use a mirror", p.ID)
		case role == MirrorClient && m.DataCentre != p.DataCentre:
			remote++
			if _, role := Mirror(m.ID, list, m.DataCentre); role != RootMirror {
				t.Errorf("got mirror %s in another data centre, want one that reads the store", m.ID)
			}
		}
	}
	if reading != mirrorCount || remote > 6*mirrorCount {
		t.Errorf("got %d daemons that read the store and %d that use a mirror in another data centre, want %d and at most %d", reading, remote, mirrorCount, 6*mirrorCount)
	}
}
