package pacer

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// BeginRamp records that a replica starts or recovers, so that its rate is found from now on.
func (p *Pacer) BeginRamp(r fuchsiaspoke.Replica) {
	if p.Ramps == nil {
		return
	}
	published := make(map[uint64]bool)
	for _, one := range p.Published().Replicas {
		published[one.Incarnation().Hash()] = true
	}
	p.Ramps.Retain(func(process uint64) bool { return published[process] })
	p.Ramps.Begin(p.Clock(), r.Incarnation().Hash())
}

// EndRamp records that the rate of a replica need not be found any more.
func (p *Pacer) EndRamp(r fuchsiaspoke.Replica) {
	now, process := p.Clock(), r.Incarnation().Hash()
	if p.isRamping(now, process) {
		p.Ramps.Free(now, process, "response")
	}
}

// ObserveRamp records the outcome of a request to a replica, if its rate is being found.
func (p *Pacer) ObserveRamp(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome) {
	if process := r.Incarnation().Hash(); p.isRamping(p.Clock(), process) {
		p.rampReports.Record(process, o)
	}
}

// MergeRamps adds the rates that another VM reports.
func (p *Pacer) MergeRamps(rates []fuchsiaspoke.RampRate) {
	if p.Ramps != nil && len(rates) > 0 {
		p.Ramps.Merge(p.Clock(), rates)
	}
}

// RampRates returns the rates for the next heartbeat.
func (p *Pacer) RampRates() []fuchsiaspoke.RampRate {
	if p.Ramps == nil {
		return nil
	}
	return p.Ramps.Rates(p.Clock())
}

// isRamping reports whether the rate of a replica is being found.
func (p *Pacer) isRamping(now time.Duration, process uint64) bool {
	return p.Ramps != nil && p.Ramps.Limited(now, process)
}

// addRampReport adds to a request for a token what this VM saw of the replica since its last one.
func (p *Pacer) addRampReport(request *fuchsiaspoke.LimitTokenRequest) {
	now, process := p.Clock(), request.Limit.Process
	if !p.isRamping(now, process) {
		return
	}
	report := p.rampReports.Report(now, process)
	report.SinceMs = p.Ramps.Since(now, process)
	request.Ramp = &report
}

// grantRamped takes a token of a replica whose rate is being found. The published rate of a replica in warm-up takes precedence.
func (p *Pacer) grantRamped(now time.Duration, request fuchsiaspoke.LimitTokenRequest, vm string) fuchsiaspoke.LimitTokenReply {
	process, report := request.Limit.Process, fuchsiaspoke.RampReport{SinceMs: p.Ramps.Since(now, request.Limit.Process)}
	if request.Ramp != nil {
		report = *request.Ramp
	}
	decision := p.Ramps.Check(now, process, vm, report, p.rampShare())
	if !decision.Granted && !p.isInWarmUp(now, process) {
		return fuchsiaspoke.LimitTokenReply{Wait: decision.Wait, Limit: unknownLimit(process), PerSecond: decision.PerSecond}
	}
	reply := p.grantLimited(now, request, vm)
	reply.RampFree = decision.Free
	if reply.Granted {
		p.Ramps.Spend(now, process)
	}
	return reply
}

func (p *Pacer) isInWarmUp(now time.Duration, process uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[process]
	return l != nil && l.restrictions.inForce(now)
}

// rampShare returns the part of a rate that this VM grants: all of it, unless it may be on the smaller side of a network partition.
func (p *Pacer) rampShare() float64 {
	sample := p.sample.Load()
	switch {
	case sample == nil:
		return 1
	case sample.isUnsettled():
		return minShare
	case sample.share < minShare:
		return 0
	case sample.share <= majorityShare:
		return sample.share
	}
	return 1
}
