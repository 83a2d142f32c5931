package retry

import "github.com/cactusfork/cactusfork/pkg/clock"

// Remaining returns the time from now to the deadline. It is sent with a request instead of the deadline, because the clocks of VMs differ.
// The result is 0 if there is no deadline (0), and 1 ms if the deadline has passed.
func Remaining(now, deadline clock.Millis) clock.Millis {
	if deadline == 0 {
		return 0
	}
	return max(deadline-now, 1)
}

// DeadlineAfter returns the deadline by the local clock of a request that arrived at now with the given remaining time.
// The result is 0, no deadline, if remaining is 0.
func DeadlineAfter(now, remaining clock.Millis) clock.Millis {
	if remaining <= 0 {
		return 0
	}
	return now + remaining
}
