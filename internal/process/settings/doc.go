// Package settings reads and checks the INI file of one daemon.
package settings
