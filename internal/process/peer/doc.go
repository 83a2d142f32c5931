// Package peer maintains the membership of the daemons by gossip and implements the requests between them.
package peer
