// Package admission decides which of the waiting requests uses a target's next free slot, and which is refused.
package admission
