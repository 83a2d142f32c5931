// Package command implements the command line of cactusfork, one file per subcommand.
package command
