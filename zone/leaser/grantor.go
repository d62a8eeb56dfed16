package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// record is a grantor's state for one resource.
type record struct {
	holder      string
	incarnation string
	number      uint64
	// until is when the promise to the holder expires.
	until    time.Duration
	fence    int64
	lastUsed time.Duration
}

func (r *record) isFrom(request *fuchsiaspoke.LeaseRequest) bool {
	return r.holder == request.From && r.incarnation == request.Incarnation
}

// HandleRequest decides on a request as a grantor and returns the response.
func (l *Leaser) HandleRequest(now time.Duration, request fuchsiaspoke.LeaseRequest) fuchsiaspoke.LeaseResponse {
	l.init(now)
	l.merge(now, request.ActiveRevisions, request.Lists)
	l.advance(now)
	if request.Release {
		l.releasePromises(now, &request)
		return l.newResponse(now, &request, nil)
	}
	accepted := l.acceptsConfigs(&request)
	promises := make([]fuchsiaspoke.LeasePromise, 0, len(request.Resources))
	for i, resource := range request.Resources {
		promises = append(promises, l.decide(now, &request, i, resource, accepted))
	}
	return l.newResponse(now, &request, promises)
}

// acceptsConfigs reports whether the requester has the same current list and needs a majority in each configuration that is
// active here.
func (l *Leaser) acceptsConfigs(request *fuchsiaspoke.LeaseRequest) bool {
	if !l.ready || len(l.active) == 0 || len(request.ActiveRevisions) == 0 {
		return false
	}
	if l.faults.skipConfigCheck {
		return true
	}
	if request.ActiveRevisions[len(request.ActiveRevisions)-1] != l.currentRevision() {
		return false
	}
	for i := range l.active {
		if !slices.Contains(request.ActiveRevisions, l.active[i].list.Revision) {
			return false
		}
	}
	return true
}

// decide grants or refuses one resource of a request.
func (l *Leaser) decide(now time.Duration, request *fuchsiaspoke.LeaseRequest, i int, resource string, accepted bool) fuchsiaspoke.LeasePromise {
	p := fuchsiaspoke.LeasePromise{Resource: resource}
	r := l.record(now, resource)
	if r == nil {
		return p
	}
	p.Fence = r.fence
	promisedToOther := now < r.until && !r.isFrom(request)
	stale := r.isFrom(request) && request.Number < r.number
	if promisedToOther {
		p.Holder = r.holder
	}
	if !accepted || promisedToOther || stale {
		return p
	}
	r.holder, r.incarnation, r.number = request.From, request.Incarnation, request.Number
	r.until = now + l.lengthWithDrift()
	if l.faults.shortPromise {
		r.until = now + l.Length/2
	}
	if i < len(request.Fences) {
		r.fence = max(r.fence, request.Fences[i])
	}
	p.Granted = true
	p.Fence = r.fence
	return p
}

// releasePromises ends the requester's promises at once and stores the request number, so that requests sent before the release
// can't renew them.
func (l *Leaser) releasePromises(now time.Duration, request *fuchsiaspoke.LeaseRequest) {
	for _, resource := range request.Resources {
		r := l.record(now, resource)
		if r == nil || !r.isFrom(request) || request.Number < r.number {
			continue
		}
		r.number = request.Number
		r.until = 0
	}
}

// newResponse returns a response with the active revisions, the lists that the requester lacks, and all known fencing tokens if
// it may need them.
func (l *Leaser) newResponse(now time.Duration, request *fuchsiaspoke.LeaseRequest, promises []fuchsiaspoke.LeasePromise) fuchsiaspoke.LeaseResponse {
	if !l.isRequesterSettled(request) {
		promises = l.appendFences(now, promises)
	}
	lists := l.missingLists(request.ActiveRevisions, request.RetiredRevision)
	if l.faults.skipConfigCheck {
		lists = nil
	}
	return fuchsiaspoke.LeaseResponse{
		From:            l.Self,
		Incarnation:     l.Incarnation,
		Number:          request.Number,
		ActiveRevisions: l.revisions,
		Lists:           lists,
		Ready:           l.ready,
		Promises:        promises,
		RetiredRevision: l.retired,
	}
}

// isRequesterSettled reports whether the response can neither let the requester retire a configuration nor make it ready, so
// that it needs no fencing tokens beyond those of the resources it requested.
func (l *Leaser) isRequesterSettled(request *fuchsiaspoke.LeaseRequest) bool {
	if !request.Ready || request.RetiredRevision < l.retired || len(l.active) != 1 || len(request.ActiveRevisions) != 1 {
		return false
	}
	return request.ActiveRevisions[0] == l.currentRevision()
}

// appendFences appends the fencing tokens of the resources that the promises don't cover, sorted by resource.
func (l *Leaser) appendFences(now time.Duration, promises []fuchsiaspoke.LeasePromise) []fuchsiaspoke.LeasePromise {
	requested := make(map[string]bool, len(promises))
	for _, p := range promises {
		requested[p.Resource] = true
	}
	for resource, r := range l.records {
		if r.fence > 0 && !requested[resource] {
			promises = append(promises, fuchsiaspoke.LeasePromise{Resource: resource, Fence: r.fence, Idle: now - r.lastUsed})
		}
	}
	slices.SortFunc(promises[len(requested):], func(a, b fuchsiaspoke.LeasePromise) int {
		return cmp.Compare(a.Resource, b.Resource)
	})
	return promises
}

// record returns the state of a resource and marks it as used at the given time. It returns nil for a new resource if maxRecords are stored.
func (l *Leaser) record(now time.Duration, resource string) *record {
	r := l.records[resource]
	if r == nil {
		if len(l.records) >= maxRecords {
			return nil
		}
		r = &record{lastUsed: now}
		l.records[resource] = r
	}
	r.lastUsed = max(r.lastUsed, now)
	return r
}

// sweep deletes expired leases that have not been requested for a lease length, peers that are grantors in no active
// configuration, and records unused for fenceRetentionLengths. It runs at most once per lease length.
func (l *Leaser) sweep(now time.Duration) {
	if now-l.lastSweep < l.Length {
		return
	}
	l.lastSweep = now
	for resource, h := range l.leases {
		if now >= h.promisedUntil && now-h.lastRequested > l.Length {
			delete(l.leases, resource)
		}
	}
	for id := range l.peers {
		if !slices.Contains(l.allGrantors, id) {
			delete(l.peers, id)
		}
	}
	for resource, r := range l.records {
		if now-r.lastUsed > fenceRetentionLengths*l.Length {
			delete(l.records, resource)
		}
	}
}
