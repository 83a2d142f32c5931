package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// Settings holds the times, in milliseconds, of failure detection and of a change of primary; zero fields take their defaults.
type Settings struct {
	// ProbeInterval is the time between two probes of one target.
	ProbeInterval clock.Millis
	// ProbeTimeout is how long a probe waits for a reply.
	ProbeTimeout clock.Millis
	// SuspectAfter is how long requests to a target must time out before it is suspect.
	SuspectAfter clock.Millis
	// ConfirmInterval is the time between two rounds of asking the peers for their view.
	ConfirmInterval clock.Millis
	// ConfirmAloneAfter is how long a primary must stay suspect for its failure to be confirmed while peer views are absent or balanced.
	ConfirmAloneAfter clock.Millis
	// CutOffAfter is how long a primary may stream to less than a majority before it is replaced.
	CutOffAfter clock.Millis
	// StallAfter is how long the point held by a majority may stay the same while the primary is ahead of it.
	StallAfter clock.Millis
	// OrderTimeout is the time after which an unanswered order is sent again.
	OrderTimeout clock.Millis
	// StragglerWait is how long a change with enough fenced targets waits for the remaining ones.
	StragglerWait clock.Millis
	// PlatformWait is how long a change waits for the platform before it proceeds on the promises alone.
	PlatformWait clock.Millis
	// PhaseTimeout is the time after which a phase without progress is abandoned, and after which another daemon takes it over.
	PhaseTimeout clock.Millis
	// Stagger is the upper bound of the random delay that keeps daemons from acting at the same moment.
	Stagger clock.Millis
	// FollowRetry is the minimum time between two follow orders to one target.
	FollowRetry clock.Millis
	// RecordRetry is the minimum time between two attempts to update an outdated stored record.
	RecordRetry clock.Millis
	// BackoffMin is the nominal delay after the first abandoned change; the actual delay is between half and one and a half times that.
	BackoffMin clock.Millis
	// BackoffMax is the upper bound of the nominal delay, which doubles with each abandoned change.
	BackoffMax clock.Millis
}

// DefaultSettings returns the times that apply unless configured.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:     100,
		ProbeTimeout:      250,
		SuspectAfter:      300,
		ConfirmInterval:   150,
		ConfirmAloneAfter: 600,
		CutOffAfter:       600,
		StallAfter:        1500,
		OrderTimeout:      400,
		StragglerWait:     50,
		PlatformWait:      300,
		PhaseTimeout:      800,
		Stagger:           60,
		FollowRetry:       500,
		RecordRetry:       1000,
		BackoffMin:        100,
		BackoffMax:        3200,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	set := func(v *clock.Millis, def clock.Millis) {
		if *v == 0 {
			*v = def
		}
	}
	set(&s.ProbeInterval, d.ProbeInterval)
	set(&s.ProbeTimeout, d.ProbeTimeout)
	set(&s.SuspectAfter, d.SuspectAfter)
	set(&s.ConfirmInterval, d.ConfirmInterval)
	set(&s.ConfirmAloneAfter, d.ConfirmAloneAfter)
	set(&s.CutOffAfter, d.CutOffAfter)
	set(&s.StallAfter, d.StallAfter)
	set(&s.OrderTimeout, d.OrderTimeout)
	set(&s.StragglerWait, d.StragglerWait)
	set(&s.PlatformWait, d.PlatformWait)
	set(&s.PhaseTimeout, d.PhaseTimeout)
	set(&s.Stagger, d.Stagger)
	set(&s.FollowRetry, d.FollowRetry)
	set(&s.RecordRetry, d.RecordRetry)
	set(&s.BackoffMin, d.BackoffMin)
	set(&s.BackoffMax, d.BackoffMax)
	return s
}
