// Package socket sets and looks at what a TCP connection does below its protocol.
package socket
