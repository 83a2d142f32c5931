package entry

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// Policy is the name of a routing policy.
type Policy string

// The routing policies.
const (
	// Default sends a read to a replica where the session's consistency and the read's maximum age allow it.
	Default Policy = "default"
	// PrimaryOnly sends all requests to the primary. It serves as a baseline for measurements.
	PrimaryOnly Policy = "primary-only"
)

// ParsePolicy returns the policy with the given name, or an error if there is none.
func ParsePolicy(text string) (Policy, error) {
	switch p := Policy(text); p {
	case Default, PrimaryOnly:
		return p, nil
	}
	return "", fmt.Errorf("got policy %q, want %s or %s", text, Default, PrimaryOnly)
}

// apply returns n with a read routed like a write if the policy sends reads to the primary.
func (p Policy) apply(n route.Need) route.Need {
	if p == PrimaryOnly {
		n.Request.Kind = service.Write
	}
	return n
}
