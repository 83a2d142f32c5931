// Package settings reads and validates the INI settings file of a daemon.
package settings
