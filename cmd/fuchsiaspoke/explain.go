package main

import (
	"context"
	"os"

	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/explainer"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// explainCommand prints the log lines of one request and those of VM events around it.
type explainCommand struct{}

func (*explainCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("explain")
	c.Description = "print the log lines of one request from the logs of all VMs, ordered by time: explain ID [FILE...]; reads standard input if no file is given"
	return c
}

// run exits with 0 if the request was found, 1 if it was not or writing failed, 2 if the id is missing or a log cannot be read.
func (*explainCommand) run(context.Context) error {
	args := subcommandArguments("explain")
	if len(args) == 0 {
		return usageError{errors.New("explain: no request id given; usage: explain ID [FILE...]")}
	}
	e := explainer.Explainer{ID: args[0]}
	if err := readLogs(&e, args[1:]); err != nil {
		return usageError{err}
	}
	found, err := e.Write(os.Stdout)
	if err != nil {
		return err
	}
	if !found {
		return errors.Errorf("explain: no log line has the request id %q", e.ID)
	}
	return nil
}

func readLogs(e *explainer.Explainer, paths []string) error {
	if len(paths) == 0 {
		return e.Read(os.Stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		err = e.Read(f)
		f.Close()
		if err != nil {
			return errors.Wrapf(err, "explain: %s", path)
		}
	}
	return nil
}
