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
	// invariantAction is the reaction to an invariant violation: count or stop.
	invariantAction string
}

func (s *serveCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("serve")
	c.Description = "run one entry VM"
	addSetting(c, &s.runner.VM.ID, "vm-id", "unique id of this VM")
	addSetting(c, &s.zone, "availability-zone", "this VM's availability zone")
	addSetting(c, &s.runner.VM.CallerAddress, "caller-address", "TCP address for callers, as IP:PORT")
	addSetting(c, &s.runner.VM.LinkAddress, "link-address", "UDP address for other VMs, as IP:PORT")
	addSetting(c, &s.runner.LinkListen, "link-listen", "UDP address to bind for other VMs, as IP:PORT, if it differs from the link address")
	addSetting(c, &s.runner.AdminAddress, "admin-address", "TCP address of the administration API, as IP:PORT")
	addSetting(c, &s.runner.PlatformURL, "platform-url", "base URL of the platform's configuration service")
	addSetting(c, &s.runner.FleetKey, "fleet-key", "secret shared by all VMs, 64 hexadecimal digits")
	s.invariantAction = "count"
	addSetting(c, &s.invariantAction, "invariants", "reaction to an invariant violation: count it, or stop the process")
	return c
}

func (s *serveCommand) run(ctx context.Context) error {
	s.runner.VM.Zone = fuchsiaspoke.Zone(s.zone)
	switch s.invariantAction {
	case "count":
	case "stop":
		s.runner.OnViolation = func(violation string) { panic("invariant violated: " + violation) }
	default:
		return usageError{errors.Errorf("invariants: %q is not allowed; give count or stop", s.invariantAction)}
	}
	if err := s.runner.Check(); err != nil {
		return usageError{err}
	}
	return s.runner.Run(ctx)
}
