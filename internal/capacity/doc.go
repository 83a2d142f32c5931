// Package capacity measures what the parts of a daemon cost at several sizes and works out what a fleet of a given size costs.
package capacity
