package target

import "github.com/cactusfork/cactusfork/internal/connection/socket"

// usable reports whether an idle connection is still open and has no unread input: unsolicited or late input must not be read as the reply to the next exchange.
func (c *Conn) usable() bool { return c.Reusable() && socket.IsIdle(c.netConn) }
