// Package relay serves callers' sessions before groups of targets, apart from any wire format.
//
// A session is a connection of a caller; a connection to a target is borrowed for one
// statement, or from the first statement of a transaction to its end. What the session
// has set is put in force on the borrowed connection before anything else runs there.
//
// A read goes to any target whose log is proven to hold the read's floor: the target
// itself refuses one that it cannot prove. A write, and a transaction that may write,
// goes to the target that accepts it as the primary. A statement is repeated on another
// target only while nothing of the caller's attempt can have taken effect; a write or a
// commit whose answer did not come ends as unknown.
package relay
