// Package target speaks to the database servers of a group: statements, status and orders.
package target
