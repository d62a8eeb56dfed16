package leaser

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// round is one round of requests, all with the same number.
type round struct {
	number uint64
	sentAt time.Duration
}

// grant identifies the newest request that a grantor granted.
type grant struct {
	number uint64
	sentAt time.Duration
}

// leaseState is a holder's state for one resource, from the first request on.
type leaseState struct {
	// minNumber is the first request number of the current attempt; responses to earlier requests are ignored.
	minNumber uint64
	// startedAt is when the attempt starts, which is in the future during backoff. lastRequested is when the caller last
	// requested the resource.
	startedAt     time.Duration
	lastRequested time.Duration
	// fence is the chosen fencing token, and fenceMinNumber the first request number that carried it.
	fence          int64
	fenceMinNumber uint64
	grants         map[string]grant
	// refused is set if a grantor reported another holder in this attempt, and outranked if that holder ranks before this VM.
	refused   bool
	outranked bool
	// promisedUntil is when the promises of a majority in each configuration expire, with or without the fencing token; until
	// counts only promises that were given with the token, and is when the lease expires.
	promisedUntil time.Duration
	until         time.Duration
}

// BuildRequests returns one request for each grantor of the active configurations, including this VM, and releases for the
// attempts that it gives up.
//
// It should be called several times per lease length with all resources to acquire or renew. Without resources it returns
// requests only while this VM is not ready or has more than one active configuration.
func (l *Leaser) BuildRequests(now time.Duration, resources []string) []fuchsiaspoke.LeaseRequest {
	l.init(now)
	l.advance(now)
	l.sweep(now)
	requests := l.backOff(now, resources)
	resources = l.withoutBackoff(now, resources)
	if len(l.active) == 0 || len(resources) == 0 && l.ready && len(l.active) == 1 {
		return requests
	}
	l.startRound(now)
	fences := make([]int64, len(resources))
	for i, resource := range resources {
		fences[i] = l.leaseFor(now, resource).fence
	}
	return append(requests, l.fanOut(fuchsiaspoke.LeaseRequest{Resources: resources, Fences: fences})...)
}

// Release ends leases at once and returns the releases to send to the grantors.
func (l *Leaser) Release(now time.Duration, resources []string) []fuchsiaspoke.LeaseRequest {
	l.init(now)
	for _, resource := range resources {
		delete(l.leases, resource)
	}
	if len(l.active) == 0 || len(resources) == 0 {
		return nil
	}
	l.startRound(now)
	return l.fanOut(fuchsiaspoke.LeaseRequest{Resources: resources, Release: true})
}

// DropLeases drops all leases and attempts, and ignores responses to earlier requests. After a pause of the process it must be
// called before anything else.
func (l *Leaser) DropLeases() {
	clear(l.leases)
	l.minNumber = l.number + 1
}

// Held returns the lease on a resource if this VM holds it.
func (l *Leaser) Held(now time.Duration, resource string) (fuchsiaspoke.Lease, bool) {
	h := l.leases[resource]
	if h == nil || h.fence == 0 || now >= h.until {
		return fuchsiaspoke.Lease{}, false
	}
	return fuchsiaspoke.Lease{Resource: resource, Fence: h.fence, Until: h.until}, true
}

// RaiseFence stores a higher fencing token that the resource has accepted. A lease with a lower token is dropped and has to be
// acquired again.
func (l *Leaser) RaiseFence(now time.Duration, resource string, fence int64) {
	l.init(now)
	r := l.record(now, resource)
	if r == nil || r.fence >= fence {
		return
	}
	r.fence = fence
	delete(l.leases, resource)
}

// HandleResponse processes a grantor's response as the holder.
func (l *Leaser) HandleResponse(now time.Duration, response fuchsiaspoke.LeaseResponse) {
	l.init(now)
	sentAt, ok := l.sentAt(response.Number)
	if !ok || !slices.Contains(l.allGrantors, response.From) {
		return
	}
	if l.faults.countFromResponse {
		sentAt = now
	}
	l.mergeFences(now, response.Promises)
	l.recordPeer(now, sentAt, &response)
	l.advance(now)
	for _, p := range response.Promises {
		if p.Granted {
			l.recordGrant(now, sentAt, &response, p.Resource)
		} else if p.Holder != "" {
			l.recordRefusal(&response, p)
		}
	}
}

// mergeFences raises the known fencing tokens to those of a response.
func (l *Leaser) mergeFences(now time.Duration, promises []fuchsiaspoke.LeasePromise) {
	for _, p := range promises {
		if r := l.record(now-p.Idle, p.Resource); r != nil {
			r.fence = max(r.fence, p.Fence)
		}
	}
}

// startRound starts a new round of requests.
func (l *Leaser) startRound(now time.Duration) {
	l.number++
	l.rounds[l.number%maxRounds] = round{number: l.number, sentAt: now}
}

// sentAt returns when the request with the number was sent, and false if it is not among the last maxRounds rounds.
func (l *Leaser) sentAt(number uint64) (time.Duration, bool) {
	r := l.rounds[number%maxRounds]
	return r.sentAt, r.number == number && number > 0
}

// leaseFor returns the state for a requested resource, creating it if necessary, and drops its fencing token if the promises
// have expired.
func (l *Leaser) leaseFor(now time.Duration, resource string) *leaseState {
	h := l.leases[resource]
	if h == nil {
		h = &leaseState{minNumber: l.number, startedAt: now, grants: map[string]grant{}}
		l.leases[resource] = h
	}
	h.lastRequested = now
	h.dropExpiredFence(now)
	return h
}

// backOff ends attempts that met another holder or took longer than a lease length, and returns the releases to send. Otherwise
// candidates that each have a minority of the grantors would block one another.
func (l *Leaser) backOff(now time.Duration, resources []string) []fuchsiaspoke.LeaseRequest {
	var released []string
	for _, resource := range resources {
		h := l.leases[resource]
		if h == nil || !h.hasFailed(now, l.Length) {
			continue
		}
		h.startedAt = now + l.backoffDuration(resource, h.outranked)
		h.minNumber = l.number + 1
		h.refused = false
		h.outranked = false
		clear(h.grants)
		released = append(released, resource)
	}
	if len(released) == 0 {
		return nil
	}
	l.startRound(now)
	return l.fanOut(fuchsiaspoke.LeaseRequest{Resources: released, Release: true})
}

// backoffDuration returns a pseudo-random duration between half of the longest backoff and all of it. The longest backoff is
// shorter for a VM that was not outranked, so that the highest-ranked candidate retries first.
func (l *Leaser) backoffDuration(resource string, outranked bool) time.Duration {
	longest := l.Length / backoffDivisor
	if !outranked {
		longest /= backoffDivisor
	}
	var d xxhash.Digest
	d.ResetWithSeed(l.number)
	_, _ = d.WriteString(l.Self)
	_, _ = d.WriteString(l.Incarnation)
	_, _ = d.WriteString(resource)
	return longest/2 + time.Duration(d.Sum64()%uint64(longest/2+1))
}

// withoutBackoff returns the resources that are not in backoff.
func (l *Leaser) withoutBackoff(now time.Duration, resources []string) []string {
	isBackingOff := func(resource string) bool {
		h := l.leases[resource]
		return h != nil && now < h.startedAt
	}
	if !slices.ContainsFunc(resources, isBackingOff) {
		return resources
	}
	return slices.DeleteFunc(slices.Clone(resources), isBackingOff)
}

// fanOut returns a copy of the request for each grantor of the active configurations, with the lists that the grantor lacks.
func (l *Leaser) fanOut(request fuchsiaspoke.LeaseRequest) []fuchsiaspoke.LeaseRequest {
	request.From = l.Self
	request.Incarnation = l.Incarnation
	request.Number = l.number
	request.ActiveRevisions = l.revisions
	request.RetiredRevision = l.retired
	request.Ready = l.ready
	requests := make([]fuchsiaspoke.LeaseRequest, len(l.allGrantors))
	for i, id := range l.allGrantors {
		request.To = id
		request.Lists = nil
		if s, seen := l.peers[id]; seen {
			request.Lists = l.missingLists(s.active, s.retired)
		}
		requests[i] = request
	}
	return requests
}

// recordGrant stores a grant, chooses a fencing token once majorities have granted the resource, and extends the lease.
func (l *Leaser) recordGrant(now, sentAt time.Duration, response *fuchsiaspoke.LeaseResponse, resource string) {
	h := l.leases[resource]
	if h == nil || response.Number < max(h.minNumber, l.minNumber) {
		return
	}
	if old := h.grants[response.From]; old.number < response.Number {
		h.grants[response.From] = grant{number: response.Number, sentAt: sentAt}
	}
	h.dropExpiredFence(now)
	h.promisedUntil = max(h.promisedUntil, l.majorityExpiry(h, 0))
	if h.fence == 0 && now < h.promisedUntil {
		l.chooseFence(now, h, resource)
	}
	if h.fence != 0 {
		h.until = max(h.until, l.majorityExpiry(h, h.fenceMinNumber))
	}
}

// recordRefusal notes that a grantor has promised the resource to another VM.
func (l *Leaser) recordRefusal(response *fuchsiaspoke.LeaseResponse, p fuchsiaspoke.LeasePromise) {
	h := l.leases[p.Resource]
	if h == nil || response.Number < h.minNumber {
		return
	}
	h.refused = true
	pair := []fuchsiaspoke.VM{{ID: l.Self}, {ID: p.Holder}}
	if (ranker.Ranker{}).Rank(p.Resource, pair)[0].ID != l.Self {
		h.outranked = true
	}
}

// chooseFence chooses the fencing token after the highest one known; promises count for the lease from the next request on,
// which carries it.
func (l *Leaser) chooseFence(now time.Duration, h *leaseState, resource string) {
	r := l.record(now, resource)
	if r == nil {
		return
	}
	r.fence++
	h.fence = r.fence
	h.fenceMinNumber = l.number + 1
	if l.faults.skipFenceRound {
		h.fenceMinNumber = 0
	}
}

// hasFailed reports whether an attempt has no majority, and either was refused because of another holder or has been without a
// majority for longer than a lease length.
func (h *leaseState) hasFailed(now, length time.Duration) bool {
	return now >= h.promisedUntil && (h.refused || now-max(h.startedAt, h.promisedUntil) > length)
}

// dropExpiredFence drops the fencing token once the promises of a majority have expired.
func (h *leaseState) dropExpiredFence(now time.Duration) {
	if now >= h.promisedUntil {
		h.fence = 0
	}
}

// majorityExpiry returns when the promises of a majority in each active configuration expire, counting grants of requests from
// the given number on. It returns zero if a configuration has no majority.
func (l *Leaser) majorityExpiry(h *leaseState, from uint64) time.Duration {
	majorityExpiry := time.Duration(math.MaxInt64)
	for i := range l.active {
		c := &l.active[i]
		if l.faults.ignoreOldConfigs && i < len(l.active)-1 {
			continue
		}
		l.scratch = l.scratch[:0]
		for _, id := range c.grantors {
			if g, ok := h.grants[id]; ok && g.number >= from {
				l.scratch = append(l.scratch, g.sentAt)
			}
		}
		if len(l.scratch) < c.majority() {
			return 0
		}
		slices.Sort(l.scratch)
		majorityExpiry = min(majorityExpiry, l.scratch[len(l.scratch)-c.majority()]+l.Length)
	}
	return majorityExpiry
}
