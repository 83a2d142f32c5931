// Package token writes and reads the opaque text in which a caller carries a session's point between proxies.
package token
