// Package target is the client side of the PostgreSQL wire protocol: it sends statements, status requests and orders to the database servers of a group.
package target
