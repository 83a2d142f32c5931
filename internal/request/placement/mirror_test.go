package placement

import (
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

func mirrorFleet(n int) []Peer {
	var list []Peer
	for i := range n {
		list = append(list, Peer{ID: group.DaemonID(fmt.Sprint("d", i)), DataCentre: "here", Mirror: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return append(list, Peer{ID: "far", DataCentre: "there", Mirror: "10.1.0.1:1"}, Peer{ID: "mute", DataCentre: "here"})
}

func TestMirrors(t *testing.T) {
	tests := []struct {
		daemons int
		direct  int
	}{{2, 2}, {5, 5}, {6, 2}, {14, 2}, {59, 2}}
	for _, tt := range tests {
		list := mirrorFleet(tt.daemons)
		direct, served := 0, map[group.DaemonID]int{}
		for _, p := range list[:tt.daemons] {
			m, role := Mirror(p.ID, list, "here")
			if role != ByMirror {
				direct++
				continue
			}
			served[m.ID]++
			if _, role := Mirror(m.ID, list, "here"); role != ForOthers {
				t.Errorf("%d daemons: got %s as a mirror, which asks another", tt.daemons, m.ID)
			}
		}
		if direct != tt.direct {
			t.Errorf("%d daemons: got %d that read the store, want %d", tt.daemons, direct, tt.direct)
		}
		for id, n := range served {
			if tt.daemons >= 14 && n > tt.daemons*4/5 {
				t.Errorf("%d daemons: got %d behind %s, want them shared", tt.daemons, n, id)
			}
		}
	}
}

func TestLostMirrorIsReplaced(t *testing.T) {
	list := mirrorFleet(14)
	var first Peer
	for _, p := range list {
		if m, role := Mirror(p.ID, list, "here"); role == ByMirror {
			first = m
		}
	}
	var left []Peer
	for _, p := range list {
		if p.ID != first.ID {
			left = append(left, p)
		}
	}
	for _, p := range left[:13] {
		if m, _ := Mirror(p.ID, left, "here"); m.ID == first.ID {
			t.Errorf("got %s, which is passed over", m.ID)
		}
	}
}

func TestTwoDaemonsReadTheStoreForAllDataCentres(t *testing.T) {
	var list []Peer
	for i := range 60 {
		list = append(list, Peer{ID: group.DaemonID(fmt.Sprint("d", i)), DataCentre: group.DataCentre(fmt.Sprint("c", i%6)), Mirror: "a:1"})
	}
	list = append(list, Peer{ID: "small", DataCentre: "small", Mirror: "a:1"})
	reading, far := 0, 0
	for _, p := range list {
		m, role := Mirror(p.ID, list, p.DataCentre)
		switch {
		case role == ForOthers:
			reading++
		case role == Alone && p.ID != "small":
			t.Errorf("got %s alone, want it to ask a mirror", p.ID)
		case role == ByMirror && m.DataCentre != p.DataCentre:
			far++
			if _, role := Mirror(m.ID, list, m.DataCentre); role != ForOthers {
				t.Errorf("got %s asked from another data centre, want one that reads the store", m.ID)
			}
		}
	}
	if reading != mirrors || far > 6*mirrors {
		t.Errorf("got %d that read the store and %d that ask another data centre, want %d and %d at most", reading, far, mirrors, 6*mirrors)
	}
}
