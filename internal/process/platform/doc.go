// Package platform speaks the platform's object API: versions, conditional updates, watches and the VM list.
package platform
