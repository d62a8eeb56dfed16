package registrar

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/historian"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

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
