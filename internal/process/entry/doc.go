// Package entry assembles a daemon: it connects the components that run as long as the process, and routes the requests of callers.
package entry
