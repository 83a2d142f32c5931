// Package peer keeps the membership of the daemons and carries what they ask of each other.
package peer
