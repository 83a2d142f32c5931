// Package caller serves callers over the PostgreSQL wire protocol and relays their exchanges to targets.
//
// One exchange is everything up to a Sync, or one simple query. Its answer is
// held back until the proxy knows that it may be given: at a primary once a
// majority of the group holds the point that a position query, sent right behind
// the exchange, returned; at a replica once a position query sent in front of the
// exchange has shown that the floor was applied before the exchange ran. Rows of
// a large answer are forwarded early, never what acknowledges a commit.
//
// An exchange is repeated on another lease only while nothing of it has been
// sent, or when it is a read of which nothing was forwarded; at a primary a
// request declared as read counts as one only if its statements read by their
// form. A write whose answer did not come ends in 08007, and the caller's
// connection goes on.
//
// BEGIN on its own is answered by the proxy and sent along with the first
// statement, whose name routes the transaction. When a transaction is lost before
// its COMMIT was sent, the caller gets 08006 with detail "not run" and has to
// roll back, as after any error in a transaction.
//
// COPY, function calls, and a Flush behind an Execute outside a transaction are
// refused with 0A000. See package session for SET and for tokens.
package caller
