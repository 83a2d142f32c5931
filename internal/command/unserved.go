package command

import (
	"github.com/cactusfork/cactusfork/internal/process/settings"
)

// refuseUnserved fails for settings that ask for a protection that serve does not give yet.
func refuseUnserved(file string, set *settings.Settings) error {
	keys := []struct {
		section, key string
		given        bool
	}{
		{"callers", "certificate-file", set.Callers.Certificate != ""},
		{"callers", "private-key-file", set.Callers.PrivateKey != ""},
		{"callers", "require-tls", set.Callers.RequireTLS},
		{"callers", "passwords-file", set.Callers.Passwords != ""},
		{"peers", "certificate-file", set.Peers.Certificate != ""},
		{"peers", "private-key-file", set.Peers.PrivateKey != ""},
		{"peers", "authority-file", set.Peers.Authority != ""},
	}
	for _, k := range keys {
		if k.given {
			return &settings.Problem{
				File: file, Section: k.section, Key: k.key,
				Message: "is not supported by serve yet; leave it out, and keep the address where only trusted hosts reach it",
			}
		}
	}
	return nil
}
