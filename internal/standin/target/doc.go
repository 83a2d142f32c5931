// Package target is a stand-in database server for tests and trials. It speaks the PostgreSQL wire protocol, keeps its data in an
// in-memory SQLite database and writes a statement log that replicas stream.
//
// Replicas replay the statements of the log, so statements must be deterministic. A write transaction blocks the other statements of
// its target until it ends.
package target
