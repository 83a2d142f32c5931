// Package session keeps what one caller connection must carry from target to target: its group's floor, its token and the parameters it has set.
//
// Parameters that a caller sets with SET are kept and set again on each target
// connection that serves it; a target connection whose parameters differ is
// first put back with RESET ALL. Values set inside a transaction count from its
// COMMIT on. State that cannot be set again (LISTEN, PREPARE, DECLARE WITH HOLD,
// temporary tables, LOAD) is refused, as is a SET that shares a query with other
// statements, and a ROLLBACK TO behind a SET. What functions leave behind, such as
// session locks and set_config, is not seen and must not be relied on.
//
// A damaged or forged token, and one of another group, is refused: with SQLSTATE
// 22023 at SET, which leaves the session as it was, and with a fatal 28000 at
// startup, since nothing is known then of what the caller has seen.
package session
