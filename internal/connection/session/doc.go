// Package session keeps the state of a caller connection that applies to every target that serves it: the floor in its
// group, the token and the parameters that the caller has set.
//
// Parameters that a caller sets with SET are recorded and set again on each target connection that serves the caller. A
// target connection whose parameters differ is first put back with RESET ALL. Values that are set inside a transaction
// count from its COMMIT on. A statement that leaves state which cannot be set again (LISTEN, PREPARE, DECLARE WITH HOLD,
// temporary tables, LOAD) is refused. So are a SET that shares a query with other statements, and a ROLLBACK TO after a
// SET. The package does not detect the state that functions leave behind, such as session locks and set_config, and
// callers must not rely on it.
//
// A damaged or forged token and a token of another group are refused. At SET the refusal has SQLSTATE 22023 and leaves
// the session as it was. At startup it has the fatal SQLSTATE 28000, because the daemon then does not know what the
// caller has seen.
package session
