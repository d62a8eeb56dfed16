package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/logger"
	"github.com/fuchsiaspoke/fuchsiaspoke/platform/server"
	"github.com/fuchsiaspoke/fuchsiaspoke/platform/settings"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// entryCommand runs one entry VM on the users' platform, configured by a settings file.
type entryCommand struct {
	settingsPath string
	checkOnly    bool
}

func (e *entryCommand) declare() *flaggy.Subcommand {
	e.settingsPath = os.Getenv(settings.PathVariable)
	c := flaggy.NewSubcommand("entry")
	c.Description = "run one entry VM on the users' platform, configured by a settings file"
	c.String(&e.settingsPath, "", "settings", "path of the settings file; the platform sets it in "+settings.PathVariable)
	c.Bool(&e.checkOnly, "", "check", "validate the settings file and exit")
	return c
}

func (e *entryCommand) run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := settings.Read(e.settingsPath)
	if err != nil {
		return usageError{err}
	}
	if e.checkOnly {
		return nil
	}
	log := &logger.Logger{W: os.Stdout, Name: cfg.IP}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := log.Run(logCtx)
	defer func() {
		stopLog()
		if err := <-logDone; !errors.Is(err, context.Canceled) {
			fmt.Fprintln(os.Stderr, "fuchsiaspoke: write log: "+err.Error())
		}
	}()
	s := &server.Server{Settings: cfg, Path: e.settingsPath, Version: version, Log: log.Log, Reload: reload}
	return s.Run(ctx)
}
