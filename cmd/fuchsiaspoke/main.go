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

// version is the release version of the program.
const version = "0.1.0"

const (
	// exitFailed is the exit code of a command that failed while running.
	exitFailed = 1
	// exitUsage is the exit code for invalid arguments or settings.
	exitUsage = 2
)

// command is one subcommand of the program.
type command interface {
	// declare sets default values and returns the subcommand with its flags.
	declare() *flaggy.Subcommand
	// run executes the subcommand until it is done or the context is cancelled.
	run(ctx context.Context) error
}

// usageError reports invalid arguments or settings; the program exits with exitUsage.
type usageError struct{ error }

// exitError makes the program exit with this code without printing an error.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// quicBufferWarningVariable disables quic-go's warning about small socket buffers, which would go to standard error between
// the structured log lines.
const quicBufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

func main() {
	os.Exit(execute())
}

func execute() int {
	flaggy.SetName("fuchsiaspoke")
	flaggy.SetDescription("serves many LoRA adapters and plain services through a few entry VMs")
	flaggy.SetVersion("fuchsiaspoke " + version)
	commands := []command{
		&serveCommand{}, &entryCommand{}, &explainCommand{}, &checkCommand{}, &timelineCommand{}, &statusCommand{}, &demoCommand{}, &benchCommand{}, &standinCommand{}, &versionCommand{},
	}
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = c.declare()
		flaggy.AttachSubcommand(subcommands[i], 1)
	}
	// flaggy cannot declare the variable number of file arguments of check and explain.
	flaggy.DefaultParser.ShowHelpOnUnexpected = !listsFiles(subcommandArguments("check")) && len(subcommandArguments("explain")) == 0
	flaggy.Parse()
	if err := os.Setenv(quicBufferWarningVariable, "true"); err != nil {
		return exitCode(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, c := range commands {
		if subcommands[i].Used {
			return exitCode(c.run(ctx))
		}
	}
	flaggy.ShowHelp("")
	return exitUsage
}

func exitCode(err error) int {
	defer klog.Flush()
	var exitErr exitError
	var usageErr usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exitErr):
		return int(exitErr)
	case errors.As(err, &usageErr):
		fmt.Fprintln(os.Stderr, "fuchsiaspoke: "+err.Error())
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "fuchsiaspoke: "+err.Error())
	return exitFailed
}

type versionCommand struct{}

func (*versionCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("version")
	c.Description = "print the version"
	return c
}

func (*versionCommand) run(context.Context) error {
	fmt.Println("fuchsiaspoke " + version)
	return nil
}
