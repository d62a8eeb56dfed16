package main

import (
	"context"
	"os"

	"github.com/fuchsiaspoke/fuchsiaspoke/demo/demonstrator"
	"github.com/integrii/flaggy"
)

type demoCommand struct{}

func (*demoCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("demo")
	c.Description = "run a demonstration in one process: stand-ins, three VMs, a streamed answer, a payment and a graceful VM shutdown"
	return c
}

func (*demoCommand) run(ctx context.Context) error {
	d := demonstrator.Demonstrator{Out: os.Stdout}
	return d.Run(ctx)
}
