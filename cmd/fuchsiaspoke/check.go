package main

import (
	"context"
	"os"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/checker"
	"github.com/integrii/flaggy"
)

type checkCommand struct{}

func (*checkCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("check")
	c.Description = "tell whether documents would be accepted if they were published: check FILE..."
	return c
}

// run exits with 0 if all documents would be accepted, 1 if one has faults, 2 if one cannot be read.
func (*checkCommand) run(context.Context) error {
	code := checker.Checker{}.Check(os.Stdout, arguments("check")...)
	if code != 0 {
		return exitError(code)
	}
	return nil
}

// arguments returns what follows the subcommand's name, if it is the one that was called.
func arguments(command string) []string {
	if len(os.Args) < 2 || os.Args[1] != command {
		return nil
	}
	return os.Args[2:]
}
