// Package entry is one running daemon: it routes callers' requests and joins the parts that live as long as the process.
package entry
