// Package command holds the command line, one file a command.
package command
