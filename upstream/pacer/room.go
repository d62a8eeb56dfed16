package pacer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// brittleHold is how long a service counts as brittle after the last response that said so: its replicas say so in all of them.
	brittleHold = 5 * time.Second
	// maxBrittle bounds the services in one heartbeat.
	maxBrittle = 4
	// roomReportDelay is the time for which responses of a brittle replica are collected before the VM that grants its room is told.
	roomReportDelay = 20 * time.Millisecond
)

// NameBrittle records that a replica of a service has said that it falls over if it has to turn many requests away. All replicas of the
// service count as such, also one that has just started.
func (p *Pacer) NameBrittle(service string) { p.mergeBrittle(service, p.Clock(), p.Self.ID) }

// MergeBrittle adds the services that another VM reports.
func (p *Pacer) MergeBrittle(services []fuchsiaspoke.BrittleService, from string) {
	for _, s := range services {
		p.mergeBrittle(s.Name, p.Clock()-s.Age(), from)
	}
}

func (p *Pacer) mergeBrittle(service string, at time.Duration, from string) {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.brittle[service]
	if found && at <= known || now-at > brittleHold {
		return
	}
	if p.brittle == nil {
		p.brittle = make(map[string]time.Duration)
	}
	if !found || now-known > brittleHold {
		p.Count("service_brittle")
		p.Log("service brittle", "service", service, "from", from, "age_ms", (now - at).Milliseconds())
	}
	p.brittle[service] = at
}

// BrittleServices returns the services that are brittle, for the next heartbeat.
func (p *Pacer) BrittleServices() []fuchsiaspoke.BrittleService {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fuchsiaspoke.BrittleService
	for service, at := range p.brittle {
		if now-at <= brittleHold {
			out = append(out, fuchsiaspoke.BrittleService{Name: service, AgeMs: fuchsiaspoke.Milliseconds(now - at)})
		}
	}
	slices.SortFunc(out, func(a, b fuchsiaspoke.BrittleService) int { return cmp.Compare(a.Name, b.Name) })
	return out[:min(len(out), maxBrittle)]
}

// anyBrittle reports whether any service is brittle.
func (p *Pacer) anyBrittle() bool {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.brittle {
		if now-at <= brittleHold {
			return true
		}
	}
	return false
}

func (p *Pacer) isBrittle(service string) bool {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.brittle[service]
	return known && now-at <= brittleHold
}

// slotsIfBrittle returns the slots of a replica of a plain service that is brittle, and whether it is one. The places at engines are granted by their
// owners, as many as they have.
func (p *Pacer) slotsIfBrittle(process uint64) (slots int, brittle bool) {
	if !p.anyBrittle() {
		return 0, false
	}
	published := p.Published()
	for _, r := range published.Replicas {
		if r.Incarnation().Hash() == process {
			isEngine := published.Contract != nil && published.Contract.Services[r.Service].Engine != nil
			return max(r.Slots, 1), !isEngine && p.isBrittle(r.Service)
		}
	}
	return 0, false
}

// ObserveRoom records the outcome of a request to a replica, if it is a brittle one, and has the VM that grants its room told soon: this VM may
// not ask for a token again for long.
func (p *Pacer) ObserveRoom(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome) {
	if !p.isBrittle(r.Service) {
		return
	}
	process := r.Incarnation().Hash()
	p.roomReports.Record(process, o)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roomReporting[process] {
		return
	}
	if p.roomReporting == nil {
		p.roomReporting = make(map[uint64]bool)
	}
	p.roomReporting[process] = true
	time.AfterFunc(roomReportDelay, func() { p.reportRoom(process) })
}

// reportRoom tells the VM that grants a replica's room what this VM saw of it.
func (p *Pacer) reportRoom(process uint64) {
	p.mu.Lock()
	delete(p.roomReporting, process)
	p.mu.Unlock()
	report := p.roomReports.Report(p.Clock(), process)
	request := fuchsiaspoke.LimitTokenRequest{Limit: unknownLimit(process), Room: &report, ReportOnly: true}
	granter := p.granter(process, "")
	switch {
	case len(report.Outcomes) == 0 || granter.ID == "":
	case granter.ID == p.Self.ID:
		p.observeReport(request)
	default:
		if _, err := p.ask(context.Background(), granter, request); err != nil {
			p.Log("room report not delivered", "replica", p.ReplicaID(process), "granter", granter.ID, "error", err.Error())
		}
	}
}

// observeReport takes over what a VM reports of a replica.
func (p *Pacer) observeReport(request fuchsiaspoke.LimitTokenRequest) {
	if request.Room == nil {
		return
	}
	slots, _ := p.slotsIfBrittle(request.Limit.Process)
	p.rooms.Observe(p.Clock(), request.Limit.Process, max(slots, 1), *request.Room)
}

// addRoomReport adds to a request for a token what this VM saw of a brittle replica since its last one.
func (p *Pacer) addRoomReport(request *fuchsiaspoke.LimitTokenRequest) {
	if _, brittle := p.slotsIfBrittle(request.Limit.Process); brittle {
		report := p.roomReports.Report(p.Clock(), request.Limit.Process)
		request.Room = &report
	}
}

// grantRoom grants the room for one request at a brittle replica, and whether there is any.
func (p *Pacer) grantRoom(now time.Duration, request fuchsiaspoke.LimitTokenRequest) (granted bool, wait time.Duration) {
	slots, brittle := p.slotsIfBrittle(request.Limit.Process)
	report := fuchsiaspoke.RampReport{}
	if request.Room != nil {
		report = *request.Room
	}
	if !brittle && request.Room == nil {
		return true, 0
	}
	return p.rooms.Check(now, request.Limit.Process, max(slots, 1), report)
}
