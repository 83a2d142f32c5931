package event

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Figures are the request counts and failover gaps by which users judge the proxy, by month.
type Figures struct {
	Requests []RequestFigures `json:"requests"`
	Gaps     []GapFigures     `json:"failover-gaps"`
}

// RequestFigures are the counts of requests of one service and kind in one month.
type RequestFigures struct {
	Month        string `json:"month"` // of UTC, as 2006-01
	Service      string `json:"service"`
	Kind         string `json:"kind"`
	Served       int64  `json:"served"`
	ReplicaReads int64  `json:"replica-reads"`
	// ReplicaShare is ReplicaReads divided by Served, from 0 to 1. It is nil for writes and if no request was served.
	ReplicaShare *float64 `json:"replica-share"`
	Refused      int64    `json:"refused"`
	Unknown      int64    `json:"unknown"`
}

// GapFigures are the gaps at changes of primary after a failure, for one group and month.
type GapFigures struct {
	Month   string       `json:"month"` // of UTC, as 2006-01, of the first write
	Group   string       `json:"group"`
	Count   int          `json:"count"`
	Median  clock.Millis `json:"median-ms"`
	Longest clock.Millis `json:"most-ms"`
	Gaps    []Gap        `json:"gaps"`
}

// NewFigures computes the figures from merged events.
func NewFigures(merged []Event) *Figures {
	return &Figures{Requests: requestFigures(merged), Gaps: gapFigures(Gaps(merged))}
}

type requestKey struct{ month, service, kind string }

func requestFigures(merged []Event) []RequestFigures {
	sums := make(map[requestKey]*RequestFigures)
	for i := range merged {
		e := &merged[i]
		if e.Kind != Counted || e.Counts == nil {
			continue
		}
		key := requestKey{month: month(e.At.Millis), service: e.Service, kind: e.Counts.Kind}
		f := sums[key]
		if f == nil {
			f = &RequestFigures{Month: key.month, Service: key.service, Kind: key.kind}
			sums[key] = f
		}
		f.Served += e.Counts.Served
		f.ReplicaReads += e.Counts.ReplicaReads
		f.Refused += e.Counts.Refused
		f.Unknown += e.Counts.Unknown
	}
	out := make([]RequestFigures, 0, len(sums))
	for _, f := range sums {
		f.setShare()
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b RequestFigures) int {
		return cmp.Or(cmp.Compare(a.Month, b.Month), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// readKind is the value of Counts.Kind for reads.
const readKind = "read"

// setShare sets ReplicaShare from the counts.
func (f *RequestFigures) setShare() {
	if f.Kind != readKind || f.Served == 0 {
		return
	}
	share := float64(f.ReplicaReads) / float64(f.Served)
	f.ReplicaShare = &share
}

func gapFigures(gaps []Gap) []GapFigures {
	out := []GapFigures{}
	for _, g := range gaps {
		m := month(g.FirstWrite.Millis)
		i := slices.IndexFunc(out, func(f GapFigures) bool { return f.Month == m && f.Group == g.Group })
		if i < 0 {
			out = append(out, GapFigures{Month: m, Group: g.Group})
			i = len(out) - 1
		}
		out[i].Gaps = append(out[i].Gaps, g)
	}
	for i := range out {
		out[i].summarise()
	}
	slices.SortFunc(out, func(a, b GapFigures) int {
		return cmp.Or(cmp.Compare(a.Month, b.Month), cmp.Compare(a.Group, b.Group))
	})
	return out
}

// summarise sets Count, Median (the lower of the two middle gaps for an even count) and Longest from Gaps.
func (f *GapFigures) summarise() {
	lengths := make([]clock.Millis, 0, len(f.Gaps))
	for _, g := range f.Gaps {
		lengths = append(lengths, g.Length)
	}
	slices.Sort(lengths)
	f.Count = len(lengths)
	f.Median = lengths[(len(lengths)-1)/2]
	f.Longest = lengths[len(lengths)-1]
}

func month(m clock.Millis) string { return time.UnixMilli(int64(m)).UTC().Format("2006-01") }
