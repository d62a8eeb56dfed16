// Package scenario defines the named scenarios of the bench.
package scenario

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/account"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/incident"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// Scenario is a deployment, its offered load and the faults to inject. The With methods return modified copies.
type Scenario struct {
	Name, Description      string
	VMs, Engines, Services int
	// AdapterSlots is the number of adapters that each engine can hold, BatchSize the maximum number of requests in its
	// batch.
	AdapterSlots, BatchSize int
	Adapters                int
	// ZipfExponent is the exponent of the Zipf distribution of the adapters' popularity.
	ZipfExponent     float64
	PromptBytes      int
	MaxOutputTokens  int64
	AccountLoads     []account.Account
	Warmup, Duration time.Duration
	// PopularityShiftAt is the time since the start of the load at which the popularity ranks of the adapters are
	// rotated by half their number; zero disables it.
	PopularityShiftAt time.Duration
	Incidents         []incident.Incident
}

const (
	// burstSeconds is the burst of a client account, in seconds of its rate.
	burstSeconds = 10
	// floodRateFactor is the demand for generations of the flooding client account after the warm-up, as a multiple of
	// its rate.
	floodRateFactor = 4
	// demandRateShare is the demand for generations of a client account that does not flood, as a share of its rate.
	demandRateShare = 0.6
	// meanOutputShare is the mean output length as a share of MaxOutputTokens: the bench's engines end each answer
	// between a quarter and all of it.
	meanOutputShare = 0.625
	bytesPerToken   = 4
)

// All returns every named scenario.
func All() []Scenario {
	saathi := Scenario{
		Name: "saathi", Description: "generations (welcome guides, digests) and service calls (RSVPs, seat fees); one client account at four times its rate",
		VMs: 6, Engines: 12, Services: 3, AdapterSlots: 16, BatchSize: 16, Adapters: 3000, ZipfExponent: 1.3,
		PromptBytes: 120, MaxOutputTokens: 100, Warmup: 15 * time.Second, Duration: 20 * time.Second,
	}
	saathi.AccountLoads = saathi.accountLoads([]float64{1200, 800, 240, 160, 120}, 0.1)
	fondazione := Scenario{
		Name: "fondazione", Description: "generations (commission briefs) and service calls (deposits, orders, status checks); one client account at four times its rate",
		VMs: 7, Engines: 12, Services: 3, AdapterSlots: 16, BatchSize: 16, Adapters: 3000, ZipfExponent: 1.3,
		PromptBytes: 400, MaxOutputTokens: 160, Warmup: 15 * time.Second, Duration: 20 * time.Second,
	}
	fondazione.AccountLoads = fondazione.accountLoads([]float64{1500, 900, 300, 220, 180}, 0.4)
	return []Scenario{saathi, saathi.withFaults(), fondazione, fondazione.withFaults()}
}

// Find returns the scenario with the given name and whether it exists.
func Find(name string) (Scenario, bool) {
	all := All()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

// WithTimes returns a copy with the given warm-up and duration. The popularity shift and the incidents keep their
// relative position within the duration.
func (s Scenario) WithTimes(warmup, duration time.Duration) Scenario {
	rescale := func(at time.Duration) time.Duration {
		return warmup + time.Duration(float64(at-s.Warmup)/float64(s.Duration)*float64(duration))
	}
	if s.PopularityShiftAt > 0 {
		s.PopularityShiftAt = rescale(s.PopularityShiftAt)
	}
	s.Incidents = slices.Clone(s.Incidents)
	for i := range s.Incidents {
		s.Incidents[i].At = rescale(s.Incidents[i].At)
	}
	s.Warmup, s.Duration = warmup, duration
	return s
}

// WithSize returns a copy with the given numbers of VMs and engines.
func (s Scenario) WithSize(vms, engines int) Scenario {
	s.VMs, s.Engines = vms, engines
	return s
}

// withFaults returns a copy that, during the load, shifts the adapters' popularity, restarts an engine, stalls the open
// connections of an engine and a service replica, makes the platform answer 503 for a while, and shuts down a VM.
func (s Scenario) withFaults() Scenario {
	s.Name += "_faults"
	s.Description += "; adapter popularity shifts, an engine restarts, open connections stall, the platform is unavailable, a VM shuts down"
	at := func(share float64) time.Duration { return s.Warmup + time.Duration(share*float64(s.Duration)) }
	s.PopularityShiftAt = at(0.1)
	s.Incidents = []incident.Incident{
		{At: at(0.2), Target: "engine", Index: 0, Fault: fault.Fault{Restart: true}},
		{At: at(0.3), Target: "engine", Index: 1, Fault: fault.Fault{StallConnections: true}},
		{At: at(0.4), Target: "service", Index: 0, Fault: fault.Fault{StallConnections: true}},
		{At: at(0.5), Target: "platform", Fault: fault.Fault{Down: true}},
		{At: at(0.6), Target: "stop_vm", Index: s.VMs - 1},
		{At: at(0.9), Target: "platform", Fault: fault.Fault{}},
	}
	return s
}

// accountLoads returns one client account for each rate, with generations that use demandRateShare of that rate. After
// the warm-up the second one offers generations for floodRateFactor times its rate. Payments and status checks together
// arrive at serviceShare of the rate of generations.
func (s Scenario) accountLoads(rates []float64, serviceShare float64) []account.Account {
	names := []string{"large_a", "large_b", "small_a", "small_b", "small_c"}
	tokens := float64(s.PromptBytes)/bytesPerToken + meanOutputShare*float64(s.MaxOutputTokens)
	var loads []account.Account
	for i, rate := range rates {
		load := account.Account{
			Account:              fuchsiaspoke.ClientAccount{Name: names[i], RateTokensPerSecond: rate, BurstTokens: burstSeconds * rate},
			GenerationsPerSecond: demandRateShare * rate / tokens,
		}
		load.PaymentsPerSecond = serviceShare * load.GenerationsPerSecond / 2
		load.StatusChecksPerSecond = serviceShare * load.GenerationsPerSecond / 2
		if i == 1 {
			load.FloodFactor = floodRateFactor / demandRateShare
		}
		loads = append(loads, load)
	}
	return loads
}
