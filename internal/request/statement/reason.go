package statement

import "strings"

// Reasons at the start of the texts of refusals that a home daemon gives whatever the state of its targets.
const (
	// ReasonOverLimit means that the workspace has used up its limit.
	ReasonOverLimit = "workspace is over its limit"
	// ReasonUncheckedLimit means that no daemon that grants operations answered.
	ReasonUncheckedLimit = "quota cannot be checked"
	// ReasonUnknownWorkspace means that the daemon does not know the workspace yet.
	ReasonUnknownWorkspace = "workspace is not known to this daemon yet"
)

// ConcernsTargets reports whether the refusal tells something about the targets of the daemon that gave it.
func (r *Refusal) ConcernsTargets() bool {
	for _, reason := range []string{ReasonOverLimit, ReasonUncheckedLimit, ReasonUnknownWorkspace} {
		if strings.HasPrefix(r.Text, reason) {
			return false
		}
	}
	return r.Code.NotRun()
}
