// Package socket sets TCP options on connections and checks the state of their sockets.
package socket
