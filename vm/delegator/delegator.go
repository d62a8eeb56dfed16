// Package delegator serves the requests of a VM that is partitioned from all replicas through another VM that reaches them.
package delegator

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodServe is the link method that serves a delegated request.
	MethodServe = "request.serve"
	// maxVMs is the number of VMs that are tried in turn, while none serves the request: in a large fleet this VM may not have heard yet which
	// others reach no replica either.
	maxVMs = 5
	// unreachableMemory is how long a VM that has refused a request as it reaches no replica is not asked again.
	unreachableMemory = 2 * time.Second
	// connectTimeout bounds the time until a VM has been connected to or another one is tried.
	connectTimeout = 300 * time.Millisecond
	// responseMargin is the time reserved before the request's deadline for writing the final response.
	responseMargin = 20 * time.Millisecond
	// maxUnreachableRetryAfter bounds the random Retry-After of requests that no VM can serve, and minUnreachableRetryAfter is the least one.
	minUnreachableRetryAfter = 500 * time.Millisecond
	maxUnreachableRetryAfter = time.Second
	// servedPollInterval is how often a VM that stops checks whether it still serves requests of other VMs.
	servedPollInterval = 20 * time.Millisecond
	// ownZoneShare is the share of the capacity of this VM's availability zone that must be left for requests to stay in it.
	ownZoneShare = 0.5
)

// ResponseWriter receives the response to a request: the head once, then the body in parts.
type ResponseWriter interface {
	Head(status int, h http.Header, length int)
	Body(p []byte) error
}

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
	Incarnation(ctx context.Context, vm fuchsiaspoke.VM) (string, error)
}

// Peer is another VM that may serve requests.
type Peer struct {
	VM fuchsiaspoke.VM
	// ReachesReplicas means that it is ready and not partitioned from all replicas.
	ReachesReplicas bool
}

// Delegator passes requests on while this VM is partitioned from all replicas; all others are served by Local. A request is passed on once:
// a VM that receives a delegation serves it itself or refuses it. The VM that admitted a request charges its client account, and the one that
// serves it uses its own retry budget, places at engines and tokens of limited replicas. All fields must be set before the first call.
type Delegator struct {
	Self fuchsiaspoke.VM
	// Local serves a request at this VM.
	Local       func(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out ResponseWriter) error
	Partitioned func() bool
	// Peers returns the other VMs of the fleet that are reachable.
	Peers  func() []Peer
	Dialer caller
	// Regions holds the region of each availability zone.
	Regions map[fuchsiaspoke.Zone]fuchsiaspoke.Region
	// Drainer ends delegations when this VM stops; nil is that of a VM that does not stop.
	Drainer *drainer.Drainer
	Clock   func() time.Duration
	Log     func(event string, keysAndValues ...any)
	Count   func(event string)

	mu sync.Mutex
	// refusedAt holds when VMs have last refused a request as they reach no replica.
	refusedAt map[string]time.Duration
	// served counts the requests of other VMs that are being served.
	served atomic.Int64
}

// AwaitServed waits until no request of another VM is being served, or ctx ends.
func (d *Delegator) AwaitServed(ctx context.Context) error {
	for d.served.Load() > 0 {
		if !sleeper.Sleep(ctx, servedPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Serve serves a request at this VM, or through another one while this VM is partitioned from all replicas. Its errors are those of
// sender.Sender.Serve.
func (d *Delegator) Serve(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out ResponseWriter) error {
	if !d.Partitioned() {
		err := d.Local(ctx, req, m, out)
		if !d.Partitioned() || !isNotRun(err) {
			return err
		}
	}
	return d.delegate(ctx, req, m, out)
}

// isNotRun reports whether an error refuses a request because no replica took it.
func isNotRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun && refusal.Code == fuchsiaspoke.CodeNoUpstream
}

// delegate passes the request to another VM, or to the next one as long as none has received it.
func (d *Delegator) delegate(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out ResponseWriter) error {
	if longest := req.Deadline - d.Clock(); !d.Drainer.Takes(longest, 0) {
		d.Count("request_refused_draining")
		return drainer.Refusal("the VM is stopping; the request may last longer")
	}
	for _, vm := range d.choose(req.Regions) {
		if d.Clock() > req.Deadline-responseMargin {
			break
		}
		if !d.connect(ctx, vm) {
			continue
		}
		err := d.call(ctx, vm, req, m, out)
		switch {
		case isUnreachable(err):
			d.recordRefusal(vm.ID)
		case isDraining(err):
			// Another VM may serve it.
		case !errors.Is(err, dialer.ErrNotSent):
			return err
		}
	}
	if ctx.Err() != nil {
		return sender.ErrCallerDisconnected
	}
	d.Count("delegation_impossible")
	wait := minUnreachableRetryAfter + time.Duration(rand.Float64()*float64(maxUnreachableRetryAfter-minUnreachableRetryAfter))
	return unreachable("no VM that may serve the request reaches a replica").WithRetryAfter(wait)
}

func (d *Delegator) recordRefusal(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	maps.DeleteFunc(d.refusedAt, func(_ string, at time.Duration) bool { return now-at > unreachableMemory })
	if d.refusedAt == nil {
		d.refusedAt = make(map[string]time.Duration)
	}
	d.refusedAt[vm] = now
}

// hasRefused reports whether a VM has refused a request within unreachableMemory as it reaches no replica.
func (d *Delegator) hasRefused(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.refusedAt[vm]
	return known && d.Clock()-at <= unreachableMemory
}

// unreachable returns the refusal of a request that reached no replica as no VM, or not the one that was asked, reaches any.
func unreachable(reason string) fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeReplicasUnreachable, Message: reason, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
	}
}

func isUnreachable(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Code == fuchsiaspoke.CodeReplicasUnreachable
}

// isDraining reports whether a VM has refused a request as it stops.
func isDraining(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Code == fuchsiaspoke.CodeDraining && refusal.Run == fuchsiaspoke.NotRun
}

// connect reports whether there is a link to the VM, or one could be opened soon.
func (d *Delegator) connect(ctx context.Context, vm fuchsiaspoke.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	_, err := d.Dialer.Incarnation(ctx, vm)
	return err == nil
}

// choose returns VMs that reach replicas and are in an allowed region, in the order in which they are to be tried: in random order by their
// capacity, and those of this VM's availability zone alone where enough of its capacity is left.
func (d *Delegator) choose(regions []fuchsiaspoke.Region) []fuchsiaspoke.VM {
	var near, all []fuchsiaspoke.VM
	nearCapacity, zoneCapacity := 0.0, capacity(d.Self)
	for _, p := range d.Peers() {
		inZone := p.VM.Zone == d.Self.Zone
		if inZone {
			zoneCapacity += capacity(p.VM)
		}
		if !p.ReachesReplicas || d.hasRefused(p.VM.ID) || !fuchsiaspoke.RegionAllowed(regions, d.Regions[p.VM.Zone]) {
			continue
		}
		all = append(all, p.VM)
		if inZone {
			near = append(near, p.VM)
			nearCapacity += capacity(p.VM)
		}
	}
	if nearCapacity < ownZoneShare*zoneCapacity {
		near = all
	}
	return draw(near, maxVMs)
}

func capacity(vm fuchsiaspoke.VM) float64 {
	if vm.Capacity <= 0 {
		return 1
	}
	return float64(vm.Capacity)
}

// draw returns up to n VMs in random order, each with a probability in proportion to its capacity.
func draw(vms []fuchsiaspoke.VM, n int) []fuchsiaspoke.VM {
	keys := make(map[string]float64, len(vms))
	for _, vm := range vms {
		keys[vm.ID] = rand.ExpFloat64() / capacity(vm)
	}
	slices.SortFunc(vms, func(a, b fuchsiaspoke.VM) int {
		if keys[a.ID] < keys[b.ID] {
			return -1
		}
		return 1
	})
	return vms[:min(n, len(vms))]
}

// call sends the request to a VM and relays its response. dialer.ErrNotSent is among the causes of its error if the VM received nothing.
func (d *Delegator) call(
	ctx context.Context, vm fuchsiaspoke.VM, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out ResponseWriter,
) error {
	d.Count("request_delegated")
	d.Log("request delegated", "request", req.ID, "account", req.Account, "route", req.Route.Name, "peer", vm.ID, "zone", string(vm.Zone))
	running, stopRunning := d.Drainer.WithRuns(ctx)
	defer stopRunning()
	req.Deadline = d.Clock() + d.Drainer.RunLeft(max(req.Deadline-d.Clock(), 0))
	callCtx, cancel := context.WithCancel(running)
	defer cancel()
	expires := time.AfterFunc(max(req.Deadline-responseMargin-d.Clock(), 0), cancel)
	defer expires.Stop()
	r := relay{out: out, onBegin: func() {
		// A response that has begun needs no time for a final one.
		if expires.Stop() {
			expires.Reset(max(req.Deadline-d.Clock(), 0))
		}
	}}
	err := d.Dialer.Call(callCtx, vm, MethodServe, fuchsiaspoke.NewDelegation(req, m, d.Clock()), r.receive)
	if err == nil || errors.Is(err, dialer.ErrNotSent) {
		return err
	}
	if ctx.Err() != nil || r.writeFailed {
		return sender.ErrCallerDisconnected
	}
	d.Log("delegated request failed", "request", req.ID, "peer", vm.ID, "begun", r.begun, "error", err.Error())
	if r.begun {
		return sender.ErrResponseInterrupted
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	unknown := &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: "the VM to which the request was passed did not answer it", Run: fuchsiaspoke.RunUnknown,
		Status: http.StatusBadGateway,
	}
	if callCtx.Err() != nil {
		unknown.Code, unknown.Status = fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout
	}
	return unknown
}

// relay writes the parts of a response to the caller.
type relay struct {
	out ResponseWriter
	// begun means that the head was written, and writeFailed that the caller's connection has ended.
	begun, writeFailed bool
	// onBegin is called before the head is written.
	onBegin func()
}

func (r *relay) receive(raw cbor.RawMessage) error {
	var part fuchsiaspoke.DelegatedPart
	if err := cbor.Unmarshal(raw, &part); err != nil {
		return errors.Wrap(err, "decode a part of the response")
	}
	if part.Head != nil {
		if r.begun {
			return errors.New("the response has a second head")
		}
		if fault := (fuchsiaspoke.ResponseHead{Status: part.Head.Status, Header: part.Head.Header}).Fault(); fault != nil {
			return fault
		}
		r.begun = true
		r.onBegin()
		r.out.Head(part.Head.Status, part.Head.Header, part.Head.Length)
	}
	if len(part.Body) == 0 {
		return nil
	}
	if !r.begun {
		return errors.New("the response has no head")
	}
	err := r.out.Body(part.Body)
	r.writeFailed = err != nil
	return err
}

// Handle serves a request that another VM has delegated to this one.
func (d *Delegator) Handle(ctx context.Context, peer string, request frame.Frame, send func(any) error) error {
	var delegation fuchsiaspoke.Delegation
	if err := request.Decode(&delegation); err != nil {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: err.Error(), Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
		}
	}
	if !d.Drainer.Outlasts(delegation.TimeLeft) {
		return drainer.Refusal("the VM to which the request was passed is stopping, and it may last longer")
	}
	if d.Partitioned() {
		return unreachable("the VM to which the request was passed reaches no replica either").WithRetryAfter(minUnreachableRetryAfter)
	}
	d.Count("delegated_request_received")
	req := delegation.ReceivedAt(d.Clock())
	d.Log("delegated request received", "request", req.ID, "account", req.Account, "route", req.Route.Name, "peer", peer)
	d.served.Add(1)
	defer d.served.Add(-1)
	return d.Local(ctx, req, delegation.Message, &partWriter{send: send})
}

// partWriter sends a response to the VM that delegated its request.
type partWriter struct {
	send func(any) error
	// failed is the error of the first part that could not be sent.
	failed error
}

func (w *partWriter) Head(status int, h http.Header, length int) {
	w.failed = w.send(fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: status, Header: h, Length: length}})
}

func (w *partWriter) Body(p []byte) error {
	if w.failed != nil {
		return w.failed
	}
	w.failed = w.send(fuchsiaspoke.DelegatedPart{Body: p})
	return w.failed
}
