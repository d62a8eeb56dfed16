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
	c.Description = "validate configuration documents before they are published: check FILE..."
	return c
}

// run exits with 0 if all documents would be accepted, 1 if one is invalid, 2 if one cannot be read or none is given.
func (*checkCommand) run(context.Context) error {
	code := checker.Checker{}.Check(os.Stdout, subcommandArguments("check")...)
	if code != 0 {
		return exitError(code)
	}
	return nil
}

// subcommandArguments returns the arguments of the subcommand, or nil if another one was called.
func subcommandArguments(command string) []string {
	if len(os.Args) < 2 || os.Args[1] != command {
		return nil
	}
	return os.Args[2:]
}
