// Package memory keeps the byte account of a daemon, from which all buffers draw that callers can make it retain, and decides whom to
// reject when the account runs low.
package memory
