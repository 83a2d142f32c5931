// Package config keeps the published objects in force and brings them to every daemon.
package config
