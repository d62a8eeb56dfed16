// Package scenario holds the named deployments and loads that the bench measures.
package scenario

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/account"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/incident"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// Scenario is a deployment and the load on it; With methods give changed copies.
type Scenario struct {
	Name, Description      string
	VMs, Engines, Services int
	Slots, Batch           int
	Adapters               int
	ZipfExponent           float64
	PromptBytes            int
	MaxOutputTokens        int64
	Tenants                []account.Account
	Warmup, Duration       time.Duration
	// ShiftAt is when the popularity of adapters moves, after the load began; zero is never.
	ShiftAt   time.Duration
	Incidents []incident.Incident
}

const (
	burstSeconds  = 10
	floodOfRate   = 4
	demandOfRate  = 0.6
	meanOfOutput  = 0.625
	bytesPerToken = 4
)

// All returns the named scenarios.
func All() []Scenario {
	saathi := Scenario{
		Name: "saathi", Description: "welcome guides and digests, RSVPs and seat fees; one client account at four times its rate",
		VMs: 6, Engines: 12, Services: 3, Slots: 16, Batch: 16, Adapters: 3000, ZipfExponent: 1.3,
		PromptBytes: 120, MaxOutputTokens: 100, Warmup: 15 * time.Second, Duration: 20 * time.Second,
	}
	saathi.Tenants = saathi.tenants([]float64{1200, 800, 240, 160, 120}, 0.1)
	fondazione := Scenario{
		Name: "fondazione", Description: "commission briefs, deposits, orders and status checks; one client account at four times its rate",
		VMs: 7, Engines: 12, Services: 3, Slots: 16, Batch: 16, Adapters: 3000, ZipfExponent: 1.3,
		PromptBytes: 400, MaxOutputTokens: 160, Warmup: 15 * time.Second, Duration: 20 * time.Second,
	}
	fondazione.Tenants = fondazione.tenants([]float64{1500, 900, 300, 220, 180}, 0.4)
	return []Scenario{saathi, saathi.withFaults(), fondazione, fondazione.withFaults()}
}

// Find returns the scenario of a name.
func Find(name string) (Scenario, bool) {
	all := All()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

// WithTimes returns a copy with another warm-up and duration, whose incidents come at the same parts of the duration.
func (s Scenario) WithTimes(warmup, duration time.Duration) Scenario {
	move := func(at time.Duration) time.Duration {
		return warmup + time.Duration(float64(at-s.Warmup)/float64(s.Duration)*float64(duration))
	}
	if s.ShiftAt > 0 {
		s.ShiftAt = move(s.ShiftAt)
	}
	s.Incidents = slices.Clone(s.Incidents)
	for i := range s.Incidents {
		s.Incidents[i].At = move(s.Incidents[i].At)
	}
	s.Warmup, s.Duration = warmup, duration
	return s
}

// WithSize returns a copy with other numbers of VMs and engines.
func (s Scenario) WithSize(vms, engines int) Scenario {
	s.VMs, s.Engines = vms, engines
	return s
}

// withFaults shifts popularity, restarts an engine, silences connections and stops a VM while the load runs.
func (s Scenario) withFaults() Scenario {
	s.Name += "_faults"
	s.Description += "; popularity shifts, an engine restarts, connections go silent, a VM leaves, the platform is stale"
	at := func(share float64) time.Duration { return s.Warmup + time.Duration(share*float64(s.Duration)) }
	s.ShiftAt = at(0.1)
	s.Incidents = []incident.Incident{
		{At: at(0.2), Target: "engine", Index: 0, Fault: fault.Fault{Restart: true}},
		{At: at(0.3), Target: "engine", Index: 1, Fault: fault.Fault{Silence: true}},
		{At: at(0.4), Target: "service", Index: 0, Fault: fault.Fault{Silence: true}},
		{At: at(0.5), Target: "platform", Fault: fault.Fault{Down: true}},
		{At: at(0.6), Target: "stop_vm", Index: s.VMs - 1},
		{At: at(0.9), Target: "platform", Fault: fault.Fault{}},
	}
	return s
}

// tenants gives each rate a client account that uses a part of it, and lets the second one flood.
func (s Scenario) tenants(rates []float64, servicePart float64) []account.Account {
	names := []string{"large_a", "large_b", "small_a", "small_b", "small_c"}
	tokens := float64(s.PromptBytes)/bytesPerToken + meanOfOutput*float64(s.MaxOutputTokens)
	var all []account.Account
	for i, rate := range rates {
		t := account.Account{
			Account:              fuchsiaspoke.ClientAccount{Name: names[i], RateTokensPerSecond: rate, BurstTokens: burstSeconds * rate},
			GenerationsPerSecond: demandOfRate * rate / tokens,
		}
		t.PaymentsPerSecond = servicePart * t.GenerationsPerSecond / 2
		t.StatusesPerSecond = servicePart * t.GenerationsPerSecond / 2
		if i == 1 {
			t.FloodFactor = floodOfRate / demandOfRate
		}
		all = append(all, t)
	}
	return all
}
