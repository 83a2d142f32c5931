// Package standins runs a stand-in platform and group for daemons that run as separate processes.
package standins
