// Package caller is the server side of the PostgreSQL wire protocol: it accepts callers and relays their exchanges to targets.
//
// An exchange is one simple query, or all messages up to a Sync. The proxy holds
// its reply back until the consistency check has passed. At a primary, a position
// query follows the exchange, and a majority of the group has to hold the point
// that it returns. At a replica, a position query precedes the exchange, and the
// point that it returns has to reach the session's floor. Rows of a large reply are
// forwarded early; a message that acknowledges a commit never is.
//
// An exchange is retried on another lease if nothing of it has been sent, or if it
// is a read of which nothing has been forwarded. At a primary, a request that is
// declared as a read counts as one only if the syntax of its statements is
// read-only. A write whose reply is lost ends in SQLSTATE 08007, and the caller's
// connection stays open.
//
// The proxy itself replies to a BEGIN that comes alone and sends it to the target
// together with the first statement, whose request name routes the transaction. If
// a transaction is lost before its COMMIT was sent, the caller gets SQLSTATE 08006
// with detail "not run" and has to roll back, as after any error in a transaction.
//
// COPY, function calls, and a Flush after an Execute outside a transaction are
// refused with SQLSTATE 0A000. Package session describes SET and tokens.
package caller
