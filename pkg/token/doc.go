// Package token encodes and decodes the opaque text with which a caller carries a session's point from one proxy to another.
package token
