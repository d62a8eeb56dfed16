// Package quarantiner decides which requests are no longer sent to replicas, as replicas crash on them.
//
// What requests have in common is a trait: a part of their prompts, or all that they are, as one request may come again and again. After a
// crash the traits of all requests are suspected that were at the replica and had not begun to be answered. A trait is cleared by a request
// with it that begins. The trait that is in several crashes and never cleared is put in quarantine at all VMs.
package quarantiner

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// minCrashes is the number of crashes after which a trait is put in quarantine. For a part of prompts they are crashSpacing apart, as
	// replicas that end at the same moment have a common cause, at which a part that many requests have is everywhere.
	minCrashes   = 3
	crashSpacing = 200 * time.Millisecond
	// minUnexplained is the number of crashes among them that no request in quarantine explains.
	minUnexplained = 2
	// settlingWait is the Retry-After of a request that is about to be put in quarantine.
	settlingWait = 5 * time.Second
	// clearedFor is how long after a request with a trait began that trait is not suspected under a crash.
	clearedFor = 10 * time.Second
	// settleTimeSmall is the time after these crashes for what other VMs know of the trait to arrive: in a small fleet each tells each, in a
	// large one the news takes three heartbeats. ambiguityTime is that for a sound request to begin where another part has been in the same
	// requests.
	settleTimeSmall = 500 * time.Millisecond
	settleTimeLarge = 1200 * time.Millisecond
	smallFleetSize  = 12
	ambiguityTime   = 2 * time.Second
	// crashRetention is how long a crash is remembered, and beginRetention how long it is that a request with a trait began.
	crashRetention = 2 * time.Minute
	beginRetention = time.Minute
	// quarantineTime is the length of the first quarantine of a trait. Each further one is twice as long, up to maxQuarantineTime.
	quarantineTime    = 5 * time.Minute
	maxQuarantineTime = 24 * time.Hour
	// trialSpacing is the mean time between the moments at which VMs may send a request with a trait whose quarantine is over, and
	// trialTime the time for which the others then wait.
	trialSpacing = 2 * time.Second
	trialTime    = 10 * time.Second
	// maxTraits bounds the traits that are known to begin, and maxSuspects those suspected under one crash.
	maxTraits   = 8192
	maxSuspects = 128
	// maxCrashes bounds the crashes that are remembered, and maxQuarantined the traits in quarantine.
	maxCrashes     = 256
	maxQuarantined = 64
)

// Quarantiner holds the evidence of this VM and what other VMs report. Its exported fields must be set before the first call.
type Quarantiner struct {
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// VMs returns the number of VMs that may try a trait again after its quarantine.
	VMs func() int
	// Self is the id of this VM.
	Self string
	// Log writes an event with alternating keys and values.
	Log func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu          sync.Mutex
	begins      map[uint64]begin
	crashes     map[uint64]*crash
	quarantines map[uint64]*quarantine
	// cachedEvidence is the result of evidence, nil after a change.
	cachedEvidence map[uint64]traitEvidence
	// contested holds the traits that began here although a peer has them in quarantine.
	contested map[uint64]bool
	// reported counts the reports that were composed, so that they name all entries in turn.
	reported int
}

// begin is what is known of a trait whose requests were answered.
type begin struct {
	// at is when the last one began, and count how many have.
	at    time.Duration
	count int
}

// crash is the end of one process of a replica.
type crash struct {
	at time.Duration
	// suspects holds the traits of its requests that had not begun.
	suspects map[uint64]suspicion
}

// suspicion is what is known of a trait that was at a replica as it crashed.
type suspicion struct {
	// requests is the number of this VM's requests with the trait there, or 1 if there were none, and index a part's place in the prompt.
	requests int
	index    uint8
}

// quarantine is a trait of requests that are not sent to replicas.
type quarantine struct {
	since, until time.Duration
	// round counts the quarantines of the trait.
	round int
	// trialAt is when this VM may send one request with the trait; 0 is not drawn yet.
	trialAt time.Duration
}

// RecordBegin records that a request has begun to be answered, which clears its traits.
func (q *Quarantiner) RecordBegin(traits []fuchsiaspoke.Trait) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, t := range traits {
		q.clear(t.Hash, now, 1)
	}
}

// clear records that a request with the trait began at a time, and ends a quarantine that is contradicted by that.
func (q *Quarantiner) clear(trait uint64, at time.Duration, count int) {
	if q.begins == nil {
		q.begins = make(map[uint64]begin)
	}
	b := q.begins[trait]
	q.begins[trait] = begin{at: max(b.at, at), count: b.count + count}
	if _, suspected := q.cachedEvidence[trait]; suspected {
		q.cachedEvidence = nil
	}
	if len(q.begins) > maxTraits {
		q.forgetBegins()
	}
	if held := q.quarantines[trait]; held != nil && at+clearedFor > held.since {
		delete(q.quarantines, trait)
		q.cachedEvidence = nil
		q.record(trait, "cleared", "held_ms", (q.Clock() - held.since).Milliseconds(), "round", held.round)
	}
}

// forgetBegins forgets the traits that were not used for long, or else those that were used least recently.
func (q *Quarantiner) forgetBegins() {
	for keep := beginRetention; len(q.begins) > maxTraits*3/4; keep /= 2 {
		maps.DeleteFunc(q.begins, func(_ uint64, b begin) bool { return q.Clock()-b.at > keep })
		if keep < time.Millisecond {
			clear(q.begins)
		}
	}
}

// RecordCrash records that the process of a replica ended before a request to it began to be answered.
func (q *Quarantiner) RecordCrash(replica fuchsiaspoke.ReplicaIncarnation, traits []fuchsiaspoke.Trait) {
	q.mu.Lock()
	defer q.mu.Unlock()
	process := replica.Hash()
	for _, t := range traits {
		q.suspect(process, q.Clock(), t.Hash, t.Index, 1)
	}
	q.evaluate()
}

// record counts and logs what happened to a trait.
func (q *Quarantiner) record(trait uint64, happened string, keysAndValues ...any) {
	kind := "prompt part"
	if fuchsiaspoke.IsRequestHash(trait) {
		kind = "request"
	}
	event := kind + " " + happened
	q.Count(strings.ReplaceAll(event, " ", "_"))
	q.Log(event, append([]any{"trait", traitName(trait)}, keysAndValues...)...)
}

// traitName returns the hash of a trait as logs name it.
func traitName(trait uint64) string { return fuchsiaspoke.Trait{Hash: trait}.String() }

// suspect adds a trait to those of a crash, which is counted as of the earliest time reported. requests is 0 for a trait that a peer reports.
func (q *Quarantiner) suspect(process uint64, at time.Duration, trait uint64, index uint8, requests int) {
	if q.Clock()-at > crashRetention {
		return
	}
	c := q.crashOf(process, at)
	if c == nil {
		return
	}
	if at < c.at {
		c.at, q.cachedEvidence = at, nil
	}
	known, seen := c.suspects[trait]
	if !seen && len(c.suspects) >= maxSuspects && !q.makeRoom(c) {
		return
	}
	if seen && requests == 0 {
		return
	}
	c.suspects[trait] = suspicion{requests: max(known.requests+requests, 1), index: index}
	q.cachedEvidence = nil
	if held := q.quarantines[trait]; held != nil && at > held.until-trialTime && at > held.since+lengthOf(held.round) {
		q.hold(trait, at, held.round+1)
	}
}

// crashOf returns the record of a crash, which it adds if there is none, or nil if there are too many.
func (q *Quarantiner) crashOf(process uint64, at time.Duration) *crash {
	if c := q.crashes[process]; c != nil {
		return c
	}
	maps.DeleteFunc(q.crashes, func(_ uint64, c *crash) bool { return q.Clock()-c.at > crashRetention })
	q.cachedEvidence = nil
	if len(q.crashes) >= maxCrashes {
		return nil
	}
	if q.crashes == nil {
		q.crashes = make(map[uint64]*crash)
	}
	c := &crash{at: at, suspects: make(map[uint64]suspicion)}
	q.crashes[process] = c
	return c
}

// makeRoom removes a trait that is suspected under no other crash.
func (q *Quarantiner) makeRoom(c *crash) bool {
	for trait := range c.suspects {
		if len(q.evidence()[trait].times) <= 1 {
			delete(c.suspects, trait)
			q.cachedEvidence = nil
			return true
		}
	}
	return false
}

// Admit decides on a new request.
func (q *Quarantiner) Admit(traits []fuchsiaspoke.Trait) fuchsiaspoke.QuarantineVerdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate()
	verdict := fuchsiaspoke.QuarantineVerdict{}
	for _, t := range traits {
		held := q.quarantines[t.Hash]
		switch wait := q.untilTrial(held, t.Hash); {
		case held == nil && q.isSettling(t):
			return fuchsiaspoke.QuarantineVerdict{Held: true, Trait: t, Left: settlingWait}
		case held == nil:
		case wait > 0:
			return fuchsiaspoke.QuarantineVerdict{Held: true, Trait: t, Left: wait}
		default:
			held.until, held.trialAt = q.Clock()+trialTime, 0
			verdict.Trial = true
			q.record(t.Hash, "tried again", "round", held.round)
		}
	}
	return verdict
}

// Blocked decides on a request that was admitted. It is asked before each send, as requests may have waited since then.
func (q *Quarantiner) Blocked(traits []fuchsiaspoke.Trait) fuchsiaspoke.QuarantineVerdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate()
	for _, t := range traits {
		held := q.quarantines[t.Hash]
		if held == nil && !q.isSettling(t) {
			continue
		}
		return fuchsiaspoke.QuarantineVerdict{Held: true, Trait: t, Left: max(q.untilTrial(held, t.Hash), settlingWait)}
	}
	return fuchsiaspoke.QuarantineVerdict{}
}

// isSettling reports whether the trait is that of a request which is in enough crashes for a quarantine, while news from other VMs is waited for.
func (q *Quarantiner) isSettling(t fuchsiaspoke.Trait) bool {
	return t.IsRequest() && len(q.crashes) >= minCrashes && q.evidence()[t.Hash].suffices(t.Hash)
}

// untilTrial returns the time until this VM may try a trait again.
func (q *Quarantiner) untilTrial(held *quarantine, trait uint64) time.Duration {
	if held == nil {
		return 0
	}
	if held.trialAt == 0 {
		held.trialAt = held.until + q.trialDelay(trait, held.round)
	}
	return held.trialAt - q.Clock()
}

// trialDelay returns how long after the end of a quarantine this VM may try the trait: VMs draw different times.
func (q *Quarantiner) trialDelay(trait uint64, round int) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(trait + uint64(round))
	_, _ = d.WriteString(q.Self)
	const steps = 1 << 16
	return time.Duration(q.VMs()) * trialSpacing * time.Duration(d.Sum64()%steps) / steps
}

// Suspected reports whether the request has a trait that is suspected under two crashes or that is in quarantine, so that it is not repeated
// after a crash.
func (q *Quarantiner) Suspected(traits []fuchsiaspoke.Trait) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range traits {
		if q.quarantines[t.Hash] != nil || countOf(t.Hash, q.evidence()[t.Hash].times) >= minCrashes-1 {
			return true
		}
	}
	return false
}
