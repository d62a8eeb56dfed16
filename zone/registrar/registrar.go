// Package registrar knows at which software version each stream began, also of streams that another VM began.
//
// A VM remembers the streams that it begins. While a service has several software versions, it also tells a few other VMs, chosen by the
// stream's key, so that the origin outlives the VM.
package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/historian"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/recordkeeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodRecord is the link method that tells another VM of streams.
	MethodRecord = "stream.record"
	// MethodOrigin is the link method that asks another VM for the origin of a stream.
	MethodOrigin = "stream.origin"

	// keepers is the number of VMs that keep a record, in different availability zones where there are as many.
	keepers = 3
	// maxAskedVMs bounds the VMs that are asked for a record. In a fleet of up to as many, the VM that began the stream is among them.
	maxAskedVMs = 12
	// sendInterval is the time between two deliveries of records, after whose loss the last streams of a VM are unknown.
	sendInterval = 100 * time.Millisecond
	// recordTimeout bounds one delivery, and originTimeout the question for a record, for which a caller waits.
	recordTimeout = 500 * time.Millisecond
	originTimeout = 250 * time.Millisecond
	// freshFor is the age up to which a VM that reaches no other one trusts its published state.
	freshFor = 2 * time.Second
	// minKnown is for how long a VM must have followed what is published before it takes no engine for missing there.
	minKnown = 2 * time.Second
	// maxUnsent bounds the records that wait for delivery. They wait as long as a service has one software version.
	maxUnsent = 4096
)

type changes interface {
	// Read returns the changes that the platform still holds from before this process.
	Read(ctx context.Context) ([]fuchsiaspoke.Publication, error)
	// ReadNews returns the changes after those that this VM knows.
	ReadNews(ctx context.Context) ([]fuchsiaspoke.Publication, error)
}

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Registrar answers at which software version streams began. Its exported fields must be set before the first call.
type Registrar struct {
	Self fuchsiaspoke.VM
	// FirstStart means that no VM of the fleet has run before.
	FirstStart bool
	// VMs returns the VMs, this one included, among which the keepers of records are chosen.
	VMs       func() []fuchsiaspoke.VM
	Published func() *fuchsiaspoke.PublishedState
	// AnySilent reports whether this VM hears nothing of a VM that it knows.
	AnySilent func() bool
	// Changes reads what this VM has not heard of the platform's changes.
	Changes changes
	Dialer  dialer
	Clock   func() time.Duration
	Log     func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	history historian.Historian
	records recordkeeper.RecordKeeper
	// departures are those from before this process.
	departures departures

	mu     sync.Mutex
	unsent []unsentRecord
}

// unsentRecord is a record of this VM that was not told to others yet.
type unsentRecord struct {
	fuchsiaspoke.StreamRecord
	expiresAt time.Duration
}

// Record notes the origin of the stream that an attempt of a caller began; the caller may resume it for the time ttl.
func (r *Registrar) Record(begunBy string, origin fuchsiaspoke.StreamOrigin, ttl time.Duration) {
	now := r.Clock()
	record := fuchsiaspoke.StreamRecord{Key: fuchsiaspoke.NewStreamKey(begunBy), Origin: origin, TTL: ttl}
	r.records.Put(now, record)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent = append(r.unsent, unsentRecord{record, now + ttl})
	if len(r.unsent) > maxUnsent {
		r.unsent = r.unsent[1:]
	}
}

// Find returns where a stream began, and whether that is known. A record may name another service than the question.
func (r *Registrar) Find(ctx context.Context, q fuchsiaspoke.StreamQuestion) (origin fuchsiaspoke.StreamOrigin, known bool) {
	origin, source := r.find(ctx, q)
	if source == "" {
		r.Count("stream_origin_unknown")
	}
	r.Log("stream origin", "begun_by", q.BegunBy, "service", origin.Service, "software", origin.SoftwareVersion, "known_from", source)
	return origin, source != ""
}

// find returns the origin and how it is known; an empty source means that it isn't. What this VM knows by itself may be older
// than what others know, so they are asked unless it began the stream.
func (r *Registrar) find(ctx context.Context, q fuchsiaspoke.StreamQuestion) (origin fuchsiaspoke.StreamOrigin, source string) {
	now, begunBy, service := r.Clock(), q.BegunBy, q.Service
	r.history.Observe(now, r.Published())
	key := fuchsiaspoke.NewStreamKey(begunBy)
	if origin, known := r.records.Get(now, key); known && begunBy != "" {
		return origin, "own_record"
	}
	replies := r.ask(ctx, fuchsiaspoke.StreamQuery{Key: key, Service: service})
	for _, reply := range replies {
		if reply.Known && begunBy != "" {
			return reply.Origin, "record_of_another_vm"
		}
	}
	version, certain := r.history.Only(now, service)
	only := fuchsiaspoke.StreamOrigin{Service: service, SoftwareVersion: version}
	if version, found := r.recall(ctx, q, replies); found {
		return fuchsiaspoke.StreamOrigin{Service: service, SoftwareVersion: version}, "assignment"
	}
	if !r.history.Serves(now, service) || r.history.Mixed(now, service) || anyOtherVersion(replies, version) {
		return fuchsiaspoke.StreamOrigin{}, ""
	}
	if !r.confirmOnly(ctx, only, len(replies)) {
		return fuchsiaspoke.StreamOrigin{}, ""
	}
	switch {
	case certain:
		return only, "only_version"
	case anyCertain(replies):
		return only, "only_version_of_another_vm"
	case r.isFresh() && !r.anyStartedLately(service) && !r.otherVersionLeft(ctx, service, version):
		return only, "no_change_of_version"
	}
	return fuchsiaspoke.StreamOrigin{}, ""
}

// confirmOnly reports whether no other VM can know of a software version besides only, at which it may have begun streams: the platform has
// just been read, or, if it can't be, this VM and those that replied are on no side of a partition. VMs on one side of it confirm each other.
func (r *Registrar) confirmOnly(ctx context.Context, only fuchsiaspoke.StreamOrigin, replies int) bool {
	news, err := r.Changes.ReadNews(ctx)
	if err != nil {
		confirmed := !r.AnySilent() && (replies > 0 || r.isFresh())
		r.Log("software versions not read anew", "service", only.Service, "confirmed_by_vms", confirmed, "replies", replies, "error", err.Error())
		return confirmed
	}
	return !slices.ContainsFunc(news, func(p fuchsiaspoke.Publication) bool {
		return p.Replica != nil && p.Replica.Service == only.Service && p.Replica.SoftwareVersion != only.SoftwareVersion
	})
}

// recall returns the software version to which a stream was assigned, if the service has several and no VM has records from so long ago. As
// long as one has, a stream without a record did not begin in this fleet.
func (r *Registrar) recall(ctx context.Context, q fuchsiaspoke.StreamQuestion, replies []fuchsiaspoke.StreamReply) (string, bool) {
	now := r.Clock()
	if q.BegunBy == "" || q.Recall == nil || !r.history.Mixed(now, q.Service) {
		return "", false
	}
	if r.history.Remembers(now) || r.history.KnownFor(now) < minKnown || !r.isFresh() {
		return "", false
	}
	remembers := func(reply fuchsiaspoke.StreamReply) bool { return !reply.Restarted }
	if slices.ContainsFunc(replies, remembers) || len(replies) == 0 && len(r.VMs()) > 1 {
		return "", false
	}
	departed, known := r.departed(ctx, q.Service)
	if !known {
		return "", false
	}
	return q.Recall(departed)
}

// anyOtherVersion reports whether another VM knows of a software version besides only.
func anyOtherVersion(replies []fuchsiaspoke.StreamReply, only string) bool {
	return slices.ContainsFunc(replies, func(reply fuchsiaspoke.StreamReply) bool {
		return reply.Mixed || reply.SingleVersion && reply.OnlyVersion != only
	})
}

// anyCertain reports whether another VM is certain that there was one software version.
func anyCertain(replies []fuchsiaspoke.StreamReply) bool {
	return slices.ContainsFunc(replies, func(reply fuchsiaspoke.StreamReply) bool { return reply.SingleVersion })
}

// isFresh reports whether the published state is known to have been current a moment ago.
func (r *Registrar) isFresh() bool {
	p := r.Published()
	return len(p.Replicas) > 0 && r.Clock()-p.ReadAt <= freshFor
}

// anyStartedLately reports whether a replica of the service is so young that its software version may be new.
func (r *Registrar) anyStartedLately(service string) bool {
	since := time.Now().Add(-historian.StreamLifetime).UnixMilli()
	for _, replica := range r.Published().Replicas {
		if replica.Service == service && replica.StartedAtMs > since {
			return true
		}
	}
	return false
}

// ask asks other VMs at once, and returns the replies that come within originTimeout, up to the first that knows the stream.
func (r *Registrar) ask(ctx context.Context, q fuchsiaspoke.StreamQuery) []fuchsiaspoke.StreamReply {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	vms := r.others(r.VMs(), q.Key, maxAskedVMs)
	replies := make(chan *fuchsiaspoke.StreamReply, len(vms))
	for _, vm := range vms {
		go func() { replies <- r.askVM(ctx, vm, q) }()
	}
	var out []fuchsiaspoke.StreamReply
	for range vms {
		select {
		case reply := <-replies:
			if reply != nil {
				out = append(out, *reply)
			}
			if reply != nil && reply.Known {
				return out
			}
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// askVM returns a VM's reply, or nil without one.
func (r *Registrar) askVM(ctx context.Context, vm fuchsiaspoke.VM, q fuchsiaspoke.StreamQuery) *fuchsiaspoke.StreamReply {
	var reply fuchsiaspoke.StreamReply
	err := r.Dialer.Call(ctx, vm, MethodOrigin, q, func(raw cbor.RawMessage) error { return cbor.Unmarshal(raw, &reply) })
	if err == nil {
		return &reply
	}
	if !errors.Is(err, context.Canceled) {
		r.Log("stream origin not told", "peer", vm.ID, "error", err.Error())
	}
	return nil
}

// others returns up to n of the VMs but this one, first the keepers of the key.
func (r *Registrar) others(vms []fuchsiaspoke.VM, key fuchsiaspoke.StreamKey, n int) []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	for _, id := range (ranker.Ranker{}).SelectAcrossZones(string(key[:]), vms, n) {
		if id == r.Self.ID {
			continue
		}
		i := slices.IndexFunc(vms, func(vm fuchsiaspoke.VM) bool { return vm.ID == id })
		out = append(out, vms[i])
	}
	return out
}

// Run follows the published software versions and delivers records until the context ends, and then sends the context's error on the
// channel.
func (r *Registrar) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	r.history.FirstStart = r.FirstStart
	go func() {
		t := time.NewTicker(sendInterval)
		defer t.Stop()
		var deliveries sync.WaitGroup
		for {
			select {
			case <-ctx.Done():
				deliveries.Wait()
				done <- ctx.Err()
				return
			case <-t.C:
				r.history.Observe(r.Clock(), r.Published())
				for vm, records := range r.due() {
					deliveries.Go(func() { r.deliver(ctx, vm, records) })
				}
			}
		}
	}()
	return done
}

// due returns the records that are to be told now, by the VM that keeps them.
func (r *Registrar) due() map[fuchsiaspoke.VM][]fuchsiaspoke.StreamRecord {
	records := r.takeDue()
	if len(records) == 0 {
		return nil
	}
	vms := r.VMs()
	out := make(map[fuchsiaspoke.VM][]fuchsiaspoke.StreamRecord)
	for _, record := range records {
		for _, vm := range r.others(vms, record.Key, keepers) {
			out[vm] = append(out[vm], record)
		}
	}
	return out
}

// takeDue takes the records out of unsent that are to be told now. Those of services with one software version wait: they are told once
// there is another.
func (r *Registrar) takeDue() []fuchsiaspoke.StreamRecord {
	now := r.Clock()
	mixed := make(map[string]bool)
	isMixed := func(service string) bool {
		known, found := mixed[service]
		if !found {
			known = r.history.Mixed(now, service)
			mixed[service] = known
		}
		return known
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []fuchsiaspoke.StreamRecord
	r.unsent = slices.DeleteFunc(r.unsent, func(u unsentRecord) bool {
		if u.expiresAt < now {
			return true
		}
		if !isMixed(u.Origin.Service) {
			return false
		}
		u.TTL = u.expiresAt - now
		due = append(due, u.StreamRecord)
		return true
	})
	return due
}

// deliver tells another VM of streams.
func (r *Registrar) deliver(ctx context.Context, vm fuchsiaspoke.VM, records []fuchsiaspoke.StreamRecord) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := r.Dialer.Call(ctx, vm, MethodRecord, records, nil); err != nil {
		r.Log("stream records not delivered", "peer", vm.ID, "records", len(records), "error", err.Error())
		r.requeue(records)
	}
}

// requeue has records be told again, after a VM did not take them: it may be gone, and another one keeps them then.
func (r *Registrar) requeue(records []fuchsiaspoke.StreamRecord) {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records[:min(len(records), maxUnsent-len(r.unsent))] {
		r.unsent = append(r.unsent, unsentRecord{record, now + record.TTL})
	}
}

// ServeRecord handles MethodRecord calls of other VMs.
func (r *Registrar) ServeRecord(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var records []fuchsiaspoke.StreamRecord
	if err := cbor.Unmarshal(request.Body, &records); err != nil {
		return errors.Wrap(err, "decode stream records")
	}
	now := r.Clock()
	for _, record := range records {
		r.records.Put(now, record)
	}
	return nil
}

// ServeOrigin handles MethodOrigin calls of other VMs.
func (r *Registrar) ServeOrigin(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var q fuchsiaspoke.StreamQuery
	if err := cbor.Unmarshal(request.Body, &q); err != nil {
		return errors.Wrap(err, "decode question for the origin of a stream")
	}
	var reply fuchsiaspoke.StreamReply
	now := r.Clock()
	reply.Origin, reply.Known = r.records.Get(now, q.Key)
	reply.OnlyVersion, reply.SingleVersion = r.history.Only(now, q.Service)
	reply.Mixed, reply.Restarted = r.history.Mixed(now, q.Service), !r.history.Remembers(now)
	return send(reply)
}
