package control

import (
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// sampleSpread thins out old samples: neighbours of a sample of age a may be a/sampleSpread apart.
	sampleSpread = 8
	// sampleLimit bounds the samples kept for a group.
	sampleLimit = 64
	// sampleAge is how long a sample is kept.
	sampleAge = 10 * 60 * clock.Second
)

// thin adds s to the samples and drops those that old neighbours stand in for.
func thin(all []route.Sample, s route.Sample, now clock.Millis) []route.Sample {
	out := make([]route.Sample, 0, len(all)+1)
	for i, old := range all {
		age := now - old.AskedAt
		if age > sampleAge {
			continue
		}
		next := s.AskedAt
		if i+1 < len(all) {
			next = all[i+1].AskedAt
		}
		if len(out) > 0 && next-out[len(out)-1].AskedAt < age/sampleSpread {
			continue
		}
		out = append(out, old)
	}
	out = append(out, s)
	if len(out) > sampleLimit {
		out = out[len(out)-sampleLimit:]
	}
	return out
}
