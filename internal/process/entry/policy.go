package entry

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// Policy names a way of routing.
type Policy string

// The policies.
const (
	// Default uses replicas where the session and the stated age allow it.
	Default Policy = "default"
	// PrimaryOnly sends all requests to the primary, as a baseline to measure against.
	PrimaryOnly Policy = "primary-only"
)

// ParsePolicy checks the name of a policy.
func ParsePolicy(text string) (Policy, error) {
	switch p := Policy(text); p {
	case Default, PrimaryOnly:
		return p, nil
	}
	return "", fmt.Errorf("got policy %q, want %s or %s", text, Default, PrimaryOnly)
}

// apply turns a read into a request for the primary where the policy says so.
func (p Policy) apply(n route.Need) route.Need {
	if p == PrimaryOnly {
		n.Request.Kind = service.Write
	}
	return n
}
