// Package config holds the published objects that are in force at a daemon, and updates them from the platform and from peers.
package config
