package target

import "github.com/cactusfork/cactusfork/internal/connection/socket"

// usable reports whether an idle connection is still open and the target has sent nothing on it: what comes unasked, or late, must not be taken for the answer to the next exchange.
func (c *Conn) usable() bool { return c.Reusable() && socket.Quiet(c.netConn) }
