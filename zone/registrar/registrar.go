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
