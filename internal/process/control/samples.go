package control

import (
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// spacingDivisor thins out old samples: a sample of age a is dropped if the samples before and after it are less than a/spacingDivisor apart.
	spacingDivisor = 8
	// maxSamples is the maximum number of samples kept for a group.
	maxSamples = 64
	// maxSampleAge is how long a sample is kept, in milliseconds: 10 minutes.
	maxSampleAge = 10 * 60 * clock.Second
)

// appendThinned appends s to the samples, which are sorted by time, and drops those that are too old or too close to their neighbours.
func appendThinned(all []route.Sample, s route.Sample, now clock.Millis) []route.Sample {
	out := make([]route.Sample, 0, len(all)+1)
	for i, old := range all {
		age := now - old.RequestedAt
		if age > maxSampleAge {
			continue
		}
		next := s.RequestedAt
		if i+1 < len(all) {
			next = all[i+1].RequestedAt
		}
		if len(out) > 0 && next-out[len(out)-1].RequestedAt < age/spacingDivisor {
			continue
		}
		out = append(out, old)
	}
	out = append(out, s)
	if len(out) > maxSamples {
		out = out[len(out)-maxSamples:]
	}
	return out
}
