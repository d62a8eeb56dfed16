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
	c.Description = "run stand-ins for the platform, model engines and plain services, for local tests"
	addSetting(c, &s.address, "platform-address", "address of the platform stand-in, as IP:PORT; a free port if empty")
	c.Int(&s.engines, "", "engines", "number of model engines")
	c.Int(&s.services, "", "services", "number of replicas of the plain service booking")
	return c
}

func (s *standinCommand) run(ctx context.Context) error {
	standIns := &starter.Starter{
		PlatformAddress: s.address,
		BaseModel:       "base",
		ServiceName:     "booking",
		Zones:           []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"},
	}
	for range s.engines {
		standIns.Engines = append(standIns.Engines, &engine.Engine{})
	}
	for range s.services {
		standIns.Services = append(standIns.Services, &service.Service{})
	}
	if err := standIns.Start(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "platform http://%s\n", standIns.Address())
	for _, u := range standIns.Upstreams() {
		_, _ = fmt.Fprintf(os.Stdout, "%s http://%s\n", u.ID, u.Address)
	}
	return standIns.Wait()
}
