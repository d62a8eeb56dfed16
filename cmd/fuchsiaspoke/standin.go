package main

import (
	"context"
	"fmt"
	"os"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
	"github.com/integrii/flaggy"
)

type standinCommand struct {
	address  string
	engines  int
	services int
}

func (s *standinCommand) declare() *flaggy.Subcommand {
	s.engines = 3
	s.services = 1
	c := flaggy.NewSubcommand("standin")
	c.Description = "run stand-ins of the platform, model engines and plain services, for trying the system out"
	setting(c, &s.address, "platform-address", "IP number and port of the platform stand-in; a free one if empty")
	c.Int(&s.engines, "", "engines", "number of model engines")
	c.Int(&s.services, "", "services", "number of replicas of the plain service named booking")
	return c
}

func (s *standinCommand) run(ctx context.Context) error {
	world := &starter.Starter{
		PlatformAddress: s.address,
		BaseModel:       "base",
		ServiceName:     "booking",
		Zones:           []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"},
	}
	for range s.engines {
		world.Engines = append(world.Engines, &engine.Engine{})
	}
	for range s.services {
		world.Services = append(world.Services, &service.Service{})
	}
	if err := world.Start(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "platform http://%s\n", world.Address())
	for _, u := range world.Upstreams() {
		_, _ = fmt.Fprintf(os.Stdout, "%s http://%s\n", u.ID, u.Address)
	}
	return world.Wait()
}
