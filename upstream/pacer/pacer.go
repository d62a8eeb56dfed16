// Package pacer limits how many requests a second a replica receives from all VMs together: by the limit that it names, in its warm-up, and
// as far as its responses allow.
//
// The tokens of a limited replica are granted by one VM, chosen by rendezvous hashing, as a limit may be far smaller than the fleet. A VM
// that gets no answer from it sends nothing to that replica.
package pacer

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampgranter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampreporter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/roomgranter"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodToken is the link method that asks for the right to send one request to a limited replica.
	MethodToken = "replica.token"

	// tokenTimeout bounds one call of MethodToken, which requests wait for.
	tokenTimeout = 200 * time.Millisecond
	// callFailureWait is how long a VM that got no answer sends nothing to the replica.
	callFailureWait = 300 * time.Millisecond
	// maxGranters is the number of VMs that are asked for one token: one that does not grant names the one that does.
	maxGranters = 2
	// retention is how long a limit is remembered after its last evidence once its replica is gone, or the limit has ended.
	retention = time.Minute
	// forgetInterval is the least time between two searches for limits that may be forgotten: a zone of replicas may begin its limits at once.
	forgetInterval = time.Second
	// maxReported bounds the limits in one report, which is a part of a datagram.
	maxReported = 8
)

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Pacer grants tokens and asks for them. Its exported fields must be set before the first call.
type Pacer struct {
	Self fuchsiaspoke.VM
	// Granters returns the VMs among which the one is chosen that grants a replica's tokens. This VM is among them if it may be chosen.
	Granters func() []fuchsiaspoke.VM
	// Reachable reports whether a VM is reachable that is not among the granters any more; nil means that none is.
	Reachable func(id string) bool
	Published func() *fuchsiaspoke.PublishedState
	Dialer    dialer
	Clock     func() time.Duration
	Log       func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)
	// WarmUpOver and WarmUpSlack bound the requests to a replica in warm-up in any one second: WarmUpOver times its rate, and WarmUpSlack
	// more. 0 means 1.5 and 5.
	WarmUpOver  float64
	WarmUpSlack float64

	// ExpectsPeers reports whether this VM was told of others; nil means that it was not. While it has heard of none, it grants no tokens of
	// restricted replicas, for granterMemory.
	ExpectsPeers func() bool
	// Ramps finds the rates of replicas that start or recover; nil means that none is found.
	Ramps *rampgranter.RampGranter

	// rampReports keeps what this VM saw of such replicas until it asks for a token, and roomReports the same of brittle ones.
	rampReports, roomReports rampreporter.RampReporter
	// rooms grants the room of brittle replicas.
	rooms roomgranter.RoomGranter
	// sample is the latest one of SampleGranters.
	sample atomic.Pointer[granterSample]

	mu sync.Mutex
	// brittle holds by service the time of the latest response that said that its replicas are brittle.
	brittle map[string]time.Duration
	// roomReporting holds the replicas of which a report is about to be sent.
	roomReporting map[uint64]bool
	// sightings holds the VMs that were among the granters within granterMemory.
	sightings map[string]sighting
	// sampledSince is the time of the first sample.
	sampledSince time.Duration
	// limits holds the limits by the hash of the replica's incarnation.
	limits map[uint64]*limit
	// reported counts the reports that were composed, so that they name all limits in turn.
	reported int
	// forgotAt is when old limits were last looked for.
	forgotAt time.Duration
}

// limit is what is known of one replica's limit.
type limit struct {
	// isNamed is whether the replica has ever named a limit; perSecond is that limit, unless it has ended.
	isNamed   bool
	perSecond float64
	ended     bool
	// at is the time of the latest evidence, and since that of the first one of the limit that is named.
	at           time.Duration
	since        time.Duration
	restrictions restrictions
	bucket       bucket
	// granting is whether this VM grants the tokens while the replica is restricted; until cautiousUntil another one may do so, too.
	granting      bool
	cautiousUntil time.Duration
}

// inForce reports whether any source limits the replica.
func (l *limit) inForce(now time.Duration) bool { return !l.ended || l.restrictions.inForce(now) }

// rate returns the lowest rate of the sources in force.
func (l *limit) rate(now time.Duration) float64 {
	rate := l.restrictions.rate(now)
	if !l.ended {
		rate = min(rate, l.perSecond)
	}
	return rate
}

// Name records that a replica has named a limit in a response.
func (p *Pacer) Name(r fuchsiaspoke.Replica, perSecond float64) {
	p.merge(fuchsiaspoke.LimitReport{Process: r.Incarnation().Hash(), PerSecond: perSecond}, p.Self.ID)
}

// End records that the response to a request which was sent at a time names no limit. A limit that was named since then holds on.
func (p *Pacer) End(r fuchsiaspoke.Replica, sentAt time.Duration) {
	process := r.Incarnation().Hash()
	if !p.isLimitNamed(process) {
		return
	}
	p.merge(fuchsiaspoke.LimitReport{Process: process, Ended: true, AgeMs: fuchsiaspoke.Milliseconds(p.Clock() - sentAt)}, p.Self.ID)
}

// isLimitNamed reports whether the limit that the replica names is in force.
func (p *Pacer) isLimitNamed(process uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[process]
	return l != nil && !l.ended
}

// Limited reports whether any limit of the replica is in force: one that it names, or one of Restrict.
func (p *Pacer) Limited(i fuchsiaspoke.ReplicaIncarnation) bool {
	now := p.Clock()
	if _, brittle := p.slotsIfBrittle(i.Hash()); brittle || p.isRamping(now, i.Hash()) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[i.Hash()]
	return l != nil && l.inForce(now)
}

// Merge adds what another VM reports.
func (p *Pacer) Merge(reports []fuchsiaspoke.LimitReport, from string) {
	for _, r := range reports {
		p.merge(r, from)
	}
}

// merge takes over later evidence than what is known.
func (p *Pacer) merge(r fuchsiaspoke.LimitReport, from string) {
	now := p.Clock()
	at := now - r.Age()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[r.Process]
	switch {
	case r.Ended && (l == nil || !l.isNamed):
		// The end of a limit that is not known is of no use.
		return
	case l == nil:
		p.add(now, r, at, from)
		return
	case l.isNamed && at <= l.at:
		return
	case r.Ended != l.ended, !r.Ended && r.PerSecond != l.perSecond:
		p.logChange(r, from)
	}
	switch {
	case r.Ended:
	case l.ended:
		l.begin(now, r, max(now-r.Since(), l.at))
	default:
		l.since = min(l.since, now-r.Since())
		l.perSecond = r.PerSecond
	}
	l.at, l.ended = at, r.Ended
	l.bucket.setRate(now, l.rate(now))
}

// begin begins a limit that the replica first named at the time since.
func (l *limit) begin(now time.Duration, r fuchsiaspoke.LimitReport, since time.Duration) {
	l.isNamed, l.perSecond, l.since = true, r.PerSecond, since
	l.bucket.beginNamed(now, r.PerSecond, now-since)
}

// add adds a limit that was not known, and forgets those that are of no use any more.
func (p *Pacer) add(now time.Duration, r fuchsiaspoke.LimitReport, at time.Duration, from string) {
	l := p.newLimit(now, r.Process)
	l.at, l.ended = at, false
	l.begin(now, r, now-r.Since())
	p.logChange(r, from)
}

// newLimit adds a limit of which no source is in force.
func (p *Pacer) newLimit(now time.Duration, process uint64) *limit {
	p.forget(now)
	if p.limits == nil {
		p.limits = make(map[uint64]*limit)
	}
	l := &limit{ended: true, bucket: bucket{tokens: startTokens, filledAt: now}}
	p.limits[process] = l
	return l
}

// forget removes old limits that have ended, or whose replica is not published any more.
func (p *Pacer) forget(now time.Duration) {
	if now-p.forgotAt < forgetInterval {
		return
	}
	p.forgotAt = now
	published := make(map[uint64]bool)
	for _, r := range p.Published().Replicas {
		published[r.Incarnation().Hash()] = true
	}
	maps.DeleteFunc(p.limits, func(process uint64, l *limit) bool {
		return now-l.at > retention && (!l.inForce(now) || !published[process])
	})
}

func (p *Pacer) logChange(r fuchsiaspoke.LimitReport, from string) {
	event := "replica_limited"
	if r.Ended {
		event = "replica_limit_ended"
	}
	p.Count(event)
	p.Log("replica limit", "replica", p.ReplicaID(r.Process), "per_second", r.PerSecond, "ended", r.Ended, "age_ms", r.AgeMs, "from", from)
}

// ReplicaID returns the id of a published replica, or "" if it is not published.
func (p *Pacer) ReplicaID(process uint64) string {
	for _, r := range p.Published().Replicas {
		if r.Incarnation().Hash() == process {
			return r.ID
		}
	}
	return ""
}

// Report returns the limits for the next heartbeat. If there are more than fit, the reports name them in turn.
func (p *Pacer) Report() []fuchsiaspoke.LimitReport {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.limits) == 0 {
		return nil
	}
	p.reported++
	var out []fuchsiaspoke.LimitReport
	for process, l := range p.limits {
		if l.isNamed && now-l.at <= retention {
			out = append(out, l.report(now, process))
		}
	}
	slices.SortFunc(out, func(a, b fuchsiaspoke.LimitReport) int { return cmp.Compare(a.Process, b.Process) })
	return fuchsiaspoke.InTurn(out, p.reported, maxReported)
}

func (l *limit) report(now time.Duration, process uint64) fuchsiaspoke.LimitReport {
	if !l.isNamed {
		return unknownLimit(process)
	}
	return fuchsiaspoke.LimitReport{
		Process: process, PerSecond: l.perSecond, Ended: l.ended, AgeMs: fuchsiaspoke.Milliseconds(now - l.at),
		SinceMs: fuchsiaspoke.Milliseconds(now - l.since),
	}
}

// Take asks for the right to send one request to a replica. If it is denied, wait is the time after which this VM may ask again.
func (p *Pacer) Take(ctx context.Context, i fuchsiaspoke.ReplicaIncarnation) (granted bool, wait time.Duration) {
	request, limited := p.requestFor(i.Hash())
	p.addRampReport(&request)
	p.addRoomReport(&request)
	if !limited && request.Ramp == nil && request.Room == nil {
		return true, 0
	}
	granter := p.chooseGranter(request)
	reply, err := fuchsiaspoke.LimitTokenReply{}, error(nil)
	for range maxGranters {
		if granter.ID == p.Self.ID {
			reply = p.grant(request, p.Self.ID)
		} else if reply, err = p.ask(ctx, granter, request); err != nil {
			p.Count("limit_token_not_answered")
			p.Log("limit token not answered", "replica", i.ID, "granter", granter.ID, "error", err.Error())
			return false, callFailureWait
		}
		if reply.Granter == "" || reply.Granter == granter.ID {
			break
		}
		granter = p.granter(request.Limit.Process, reply.Granter)
		reply = fuchsiaspoke.LimitTokenReply{Wait: callFailureWait}
	}
	p.countReply(i, granter, reply)
	return reply.Granted, reply.Wait
}

func (p *Pacer) countReply(i fuchsiaspoke.ReplicaIncarnation, granter fuchsiaspoke.VM, reply fuchsiaspoke.LimitTokenReply) {
	if reply.Granted {
		p.Count("limit_token_granted")
		return
	}
	p.Count("limit_token_denied")
	p.Log("limit token denied", "replica", i.ID, "granter", granter.ID, "per_second", cmp.Or(reply.PerSecond, reply.Limit.PerSecond),
		"wait_ms", reply.Wait.Milliseconds())
}

// requestFor returns the request for a token of a replica, and whether any limit of the replica is in force.
func (p *Pacer) requestFor(process uint64) (fuchsiaspoke.LimitTokenRequest, bool) {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[process]
	if l == nil {
		return fuchsiaspoke.LimitTokenRequest{Limit: unknownLimit(process)}, false
	}
	return fuchsiaspoke.LimitTokenRequest{Limit: l.report(now, process), WarmUpPerSecond: l.restrictions.warmUpRate(now)}, l.inForce(now)
}

// unknownLimit reports that no limit of a replica is known. It is older than any evidence, so it ends no limit at another VM.
func unknownLimit(process uint64) fuchsiaspoke.LimitReport {
	return fuchsiaspoke.LimitReport{Process: process, Ended: true, AgeMs: math.MaxUint32}
}

// granterKey is the key by which VMs are ranked as those that grant a replica's tokens; it must be the same on all VMs.
func granterKey(process uint64) string { return "tokens of " + strconv.FormatUint(process, 16) }

// granter returns the VM of the given id, or if that is empty the one that grants a replica's tokens; its id is empty if there is none.
func (p *Pacer) granter(process uint64, id string) fuchsiaspoke.VM {
	granters := p.Granters()
	if id == "" {
		return highestRanked(process, granters, nil)
	}
	for _, vm := range granters {
		if vm.ID == id {
			return vm
		}
	}
	return fuchsiaspoke.VM{}
}

// ask asks another VM for a token.
func (p *Pacer) ask(ctx context.Context, granter fuchsiaspoke.VM, request fuchsiaspoke.LimitTokenRequest) (fuchsiaspoke.LimitTokenReply, error) {
	if granter.ID == "" {
		return fuchsiaspoke.LimitTokenReply{}, errors.New("no VM grants the replica's tokens")
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	var reply fuchsiaspoke.LimitTokenReply
	err := p.Dialer.Call(ctx, granter, MethodToken, request, func(raw cbor.RawMessage) error {
		return cbor.Unmarshal(raw, &reply)
	})
	if err != nil {
		return fuchsiaspoke.LimitTokenReply{}, err
	}
	p.merge(reply.Limit, granter.ID)
	if reply.RampFree && p.Ramps != nil {
		p.Ramps.Free(p.Clock(), request.Limit.Process, granter.ID)
	}
	return reply, nil
}

// Serve handles MethodToken calls of other VMs.
func (p *Pacer) Serve(_ context.Context, from string, request frame.Frame, send func(any) error) error {
	var asked fuchsiaspoke.LimitTokenRequest
	if err := cbor.Unmarshal(request.Body, &asked); err != nil {
		return errors.Wrap(err, "decode token request")
	}
	p.merge(asked.Limit, from)
	if asked.ReportOnly {
		p.observeReport(asked)
		return send(fuchsiaspoke.LimitTokenReply{Limit: asked.Limit})
	}
	switch granter := p.chooseGranter(asked); {
	case granter.ID == p.Self.ID:
	case granter.ID == "" && p.mayServeUnsettled():
	case granter.ID != "" || p.isRestricted(asked):
		return send(fuchsiaspoke.LimitTokenReply{Granter: granter.ID, Wait: callFailureWait, Limit: asked.Limit})
	}
	return send(p.grant(asked, from))
}

// chooseGranter returns the VM that grants the requested token; its id is empty if there is none.
func (p *Pacer) chooseGranter(request fuchsiaspoke.LimitTokenRequest) fuchsiaspoke.VM {
	if p.isRestricted(request) {
		return p.restrictedGranter(request.Limit.Process)
	}
	return p.granter(request.Limit.Process, "")
}

// isRestricted reports whether the replica is restricted as far as this VM or the requesting one knows.
func (p *Pacer) isRestricted(request fuchsiaspoke.LimitTokenRequest) bool {
	now := p.Clock()
	if request.WarmUpPerSecond > 0 || request.Ramp != nil || p.isRamping(now, request.Limit.Process) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[request.Limit.Process]
	return l != nil && l.restrictions.inForce(now)
}

// grant takes a token of a replica for a VM.
func (p *Pacer) grant(request fuchsiaspoke.LimitTokenRequest, vm string) fuchsiaspoke.LimitTokenReply {
	now := p.Clock()
	if vm != p.Self.ID {
		p.adopt(request)
	}
	if granted, wait := p.grantRoom(now, request); !granted {
		return fuchsiaspoke.LimitTokenReply{Wait: wait, Limit: unknownLimit(request.Limit.Process)}
	}
	if p.isRamping(now, request.Limit.Process) || p.Ramps != nil && request.Ramp != nil {
		return p.grantRamped(now, request, vm)
	}
	return p.grantLimited(now, request, vm)
}

// grantLimited takes a token out of a replica's bucket for a VM.
func (p *Pacer) grantLimited(now time.Duration, request fuchsiaspoke.LimitTokenRequest, vm string) fuchsiaspoke.LimitTokenReply {
	process := request.Limit.Process
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[process]
	if l == nil || !l.inForce(now) {
		return fuchsiaspoke.LimitTokenReply{Granted: true, Limit: fuchsiaspoke.LimitReport{Process: process, Ended: true, AgeMs: endedAge(now, l)}}
	}
	if !l.restrictions.inForce(now) {
		l.bucket.room = 0
		l.bucket.setRate(now, l.rate(now))
		wait := l.bucket.take(now, vm)
		return fuchsiaspoke.LimitTokenReply{Granted: wait == 0, Wait: wait, Limit: l.report(now, process)}
	}
	return p.grantRestricted(now, request, l, vm)
}

// grantRestricted takes a token out of the bucket of a replica that Restrict limits.
func (p *Pacer) grantRestricted(now time.Duration, request fuchsiaspoke.LimitTokenRequest, l *limit, vm string) fuchsiaspoke.LimitTokenReply {
	if !l.granting {
		l.takeOver(now)
	}
	rate, room := p.restrictedRate(now, l)
	reply := fuchsiaspoke.LimitTokenReply{Wait: callFailureWait, Limit: l.report(now, request.Limit.Process), PerSecond: rate}
	if room == 0 {
		return reply
	}
	l.bucket.room = room
	l.bucket.setRate(now, rate)
	reply.Wait = l.bucket.take(now, vm)
	reply.Granted = reply.Wait == 0
	return reply
}

// endedAge returns the age of the end of a limit. Of an unknown limit it is that of this VM, which no evidence precedes.
func endedAge(now time.Duration, l *limit) uint32 {
	if l == nil || !l.isNamed {
		return fuchsiaspoke.Milliseconds(now)
	}
	return fuchsiaspoke.Milliseconds(now - l.at)
}
