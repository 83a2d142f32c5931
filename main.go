// Command cactusfork is a database proxy with session consistency.
package main

import (
	"context"
	"os"

	"github.com/cactusfork/cactusfork/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
