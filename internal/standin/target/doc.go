// Package target is a stand-in database server for tests and trials: the PostgreSQL wire protocol over an in-memory database with a statement log that replicas stream.
//
// Statements are replayed on replicas, so they must not depend on time or chance. A writing transaction keeps other statements of its target waiting until it ends.
package target
