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

// arguments returns what follows the subcommand's name; flaggy takes no open list of positional values.
func arguments(command string) []string {
	for i, argument := range os.Args {
		if argument == command {
			return os.Args[i+1:]
		}
	}
	return nil
}
