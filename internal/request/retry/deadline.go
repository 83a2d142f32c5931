package retry

import "github.com/cactusfork/cactusfork/pkg/clock"

// Left returns the time that a deadline leaves at now, to be sent along with a request, since clocks differ between VMs; 0 means no deadline, and a past one leaves 1 ms.
func Left(now, deadline clock.Millis) clock.Millis {
	if deadline == 0 {
		return 0
	}
	return max(deadline-now, 1)
}

// Until returns the deadline by the local clock of a request that arrived at now with left.
func Until(now, left clock.Millis) clock.Millis {
	if left <= 0 {
		return 0
	}
	return now + left
}
