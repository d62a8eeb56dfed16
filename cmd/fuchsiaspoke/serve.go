package main

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/runner"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

type serveCommand struct {
	runner runner.Runner
	zone   string
	// invariants says what a broken invariant does: count or stop.
	invariants string
}

func (s *serveCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("serve")
	c.Description = "run one entry VM"
	setting(c, &s.runner.VM.ID, "vm-id", "this VM's name, which no other VM has")
	setting(c, &s.zone, "availability-zone", "this VM's availability zone")
	setting(c, &s.runner.VM.CallerAddress, "caller-address", "IP number and port for callers, over TCP")
	setting(c, &s.runner.VM.LinkAddress, "link-address", "IP number and port for other VMs, over UDP")
	setting(c, &s.runner.LinkListen, "link-listen", "IP number and port to bind for other VMs, where it is not the link address")
	setting(c, &s.runner.AdminAddress, "admin-address", "IP number and port for operators, over TCP")
	setting(c, &s.runner.PlatformURL, "platform-url", "base address of the platform's configuration service")
	setting(c, &s.runner.FleetKey, "fleet-key", "secret shared by all VMs, 64 hexadecimal digits")
	s.invariants = "count"
	setting(c, &s.invariants, "invariants", "what a broken invariant does: count, or stop the process")
	return c
}

func (s *serveCommand) run(ctx context.Context) error {
	s.runner.VM.Zone = fuchsiaspoke.Zone(s.zone)
	switch s.invariants {
	case "count":
	case "stop":
		s.runner.Stop = func(violation string) { panic("invariant violated: " + violation) }
	default:
		return usageError{errors.Errorf("invariants: %q is not allowed; give count or stop", s.invariants)}
	}
	if err := s.runner.Check(); err != nil {
		return usageError{err}
	}
	return s.runner.Run(ctx)
}
