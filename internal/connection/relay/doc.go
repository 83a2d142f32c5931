// Package relay serves the sessions of callers and sends their statements to groups of targets. It does not depend on
// a wire format.
//
// A session is one caller connection. It leases a target connection for one statement, or from the first statement of
// a transaction to the end of the transaction. Before anything else runs on a leased connection, the values that the
// session has set are put in force there.
//
// A read goes to any target whose log is proven to hold the floor of the read: the target itself refuses a read if it
// cannot prove this. A write, or a transaction that may write, goes to the target that accepts it as the primary. A
// statement is retried on another target only while the caller's attempt cannot have taken effect. A write or a commit
// whose reply does not arrive ends with the code statement.Unknown.
package relay
