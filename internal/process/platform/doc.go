// Package platform is a client of the platform's object API: versions, conditional updates, watches and the VM list.
package platform
