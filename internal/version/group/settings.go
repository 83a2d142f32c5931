package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// Settings are the times that detection and a change of primary keep to; zero fields take their defaults.
type Settings struct {
	// ProbeInterval is the time between two questions to one target.
	ProbeInterval clock.Millis
	// ProbeTimeout is how long a question may go unanswered.
	ProbeTimeout clock.Millis
	// SuspectAfter is how long questions must time out before their target is suspect.
	SuspectAfter clock.Millis
	// ConfirmTimeout is the time between two rounds of asking peers for their view.
	ConfirmTimeout clock.Millis
	// AloneAfter is how long a target must stay suspect to be confirmed when no peer has a view.
	AloneAfter clock.Millis
	// CutOffAfter is how long a primary may be without the streams of a majority.
	CutOffAfter clock.Millis
	// StallAfter is how long the point held by a majority may stand still while the primary is ahead.
	StallAfter clock.Millis
	// OrderTimeout is when an unanswered order is sent again.
	OrderTimeout clock.Millis
	// ThirdWait is how long a fenced majority waits for the answers of the rest.
	ThirdWait clock.Millis
	// PlatformWait is how long a change waits for the platform before the promises alone arbitrate.
	PlatformWait clock.Millis
	// StepTimeout is when a step without progress is given up, and when another daemon takes it over.
	StepTimeout clock.Millis
	// Stagger bounds the random delay that keeps daemons from acting at the same moment.
	Stagger clock.Millis
	// FollowRetry is the time between two orders to follow to one target.
	FollowRetry clock.Millis
	// RecordRetry is the time between two attempts to bring the platform's record up to date.
	RecordRetry clock.Millis
	// BackoffMin is the first delay after an abandoned change.
	BackoffMin clock.Millis
	// BackoffMax bounds the delay, which doubles with each abandoned change.
	BackoffMax clock.Millis
}

// DefaultSettings returns the times used unless configured.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:  100,
		ProbeTimeout:   250,
		SuspectAfter:   300,
		ConfirmTimeout: 150,
		AloneAfter:     600,
		CutOffAfter:    600,
		StallAfter:     1500,
		OrderTimeout:   400,
		ThirdWait:      50,
		PlatformWait:   300,
		StepTimeout:    800,
		Stagger:        60,
		FollowRetry:    500,
		RecordRetry:    1000,
		BackoffMin:     100,
		BackoffMax:     3200,
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
	set(&s.ConfirmTimeout, d.ConfirmTimeout)
	set(&s.AloneAfter, d.AloneAfter)
	set(&s.CutOffAfter, d.CutOffAfter)
	set(&s.StallAfter, d.StallAfter)
	set(&s.OrderTimeout, d.OrderTimeout)
	set(&s.ThirdWait, d.ThirdWait)
	set(&s.PlatformWait, d.PlatformWait)
	set(&s.StepTimeout, d.StepTimeout)
	set(&s.Stagger, d.Stagger)
	set(&s.FollowRetry, d.FollowRetry)
	set(&s.RecordRetry, d.RecordRetry)
	set(&s.BackoffMin, d.BackoffMin)
	set(&s.BackoffMax, d.BackoffMax)
	return s
}
