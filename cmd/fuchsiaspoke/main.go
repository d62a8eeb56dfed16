// Command fuchsiaspoke runs the serving layer and its tools.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// version is the release that the command reports.
const version = "0.1.0"

const (
	// exitFailed is the exit code of a command that ran and failed.
	exitFailed = 1
	// exitUsage is the exit code of a command that was called wrongly.
	exitUsage = 2
)

// command is one subcommand of the program.
type command interface {
	// declare names the subcommand and its flags.
	declare() *flaggy.Subcommand
	// run carries the subcommand out until it ends or the context does.
	run(ctx context.Context) error
}

// usageError is the cause of a call with settings that are not allowed.
type usageError struct{ error }

// exitError ends the program with a code and prints nothing more.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// quietQUIC keeps quic-go from writing about small socket buffers to standard error, between our structured lines.
const quietQUIC = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

func main() {
	os.Exit(start())
}

func start() int {
	flaggy.SetName("fuchsiaspoke")
	flaggy.SetDescription("serves very many LoRA adapters and plain services through a few entry VMs")
	flaggy.SetVersion("fuchsiaspoke " + version)
	commands := []command{
		&serveCommand{}, &entryCommand{}, &explainCommand{}, &checkCommand{}, &timelineCommand{}, &statusCommand{}, &demoCommand{}, &benchCommand{}, &standinCommand{}, &versionCommand{},
	}
	declared := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		declared[i] = c.declare()
		flaggy.AttachSubcommand(declared[i], 1)
	}
	// The files of check and explain are more values than flaggy can declare.
	flaggy.DefaultParser.ShowHelpOnUnexpected = len(arguments("check")) == 0 && len(arguments("explain")) == 0
	flaggy.Parse()
	if err := os.Setenv(quietQUIC, "true"); err != nil {
		return exitCode(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, c := range commands {
		if declared[i].Used {
			return exitCode(c.run(ctx))
		}
	}
	flaggy.ShowHelp("")
	return exitUsage
}

func exitCode(err error) int {
	defer klog.Flush()
	var exit exitError
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return int(exit)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "fuchsiaspoke: "+err.Error())
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "fuchsiaspoke: "+err.Error())
	return exitFailed
}

type versionCommand struct{}

func (*versionCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("version")
	c.Description = "print the release"
	return c
}

func (*versionCommand) run(context.Context) error {
	fmt.Println("fuchsiaspoke " + version)
	return nil
}
