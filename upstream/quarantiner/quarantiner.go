// Package quarantiner decides which parts of prompts are no longer sent to engines, as engines crash on them.
//
// After a crash the parts of all requests are suspected that were at the engine and had not begun to be answered, the last part as well: one
// request may come again and again. A part is cleared by a request with it that begins. The part that is in several crashes, one after the
// other, and never cleared is put in quarantine at all VMs.
package quarantiner

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// minCrashes is the number of crashes, crashSpacing apart, after which a part is put in quarantine. Engines that end at the same
	// moment have a common cause.
	minCrashes   = 3
	crashSpacing = 200 * time.Millisecond
	// clearedFor is how long after a request with a part began that part is not suspected under a crash.
	clearedFor = 10 * time.Second
	// settleTimeSmall is the time after these crashes for what other VMs know of the part to arrive: in a small fleet each tells each, in a large
	// one the news takes three heartbeats. ambiguityTime is that for a sound request to begin where another part has been in the same requests.
	settleTimeSmall = 500 * time.Millisecond
	settleTimeLarge = 1200 * time.Millisecond
	smallFleetSize  = 12
	ambiguityTime   = 2 * time.Second
	// crashRetention is how long a crash is remembered, and beginRetention how long it is that a request with a part began.
	crashRetention = 2 * time.Minute
	beginRetention = time.Minute
	// quarantineTime is the length of the first quarantine of a part. Each further one is twice as long, up to maxQuarantineTime.
	quarantineTime    = 5 * time.Minute
	maxQuarantineTime = 24 * time.Hour
	// trialSpacing is the mean time between the moments at which VMs may send a request with a part whose quarantine is over, and
	// trialTime the time for which the others then wait.
	trialSpacing = 2 * time.Second
	trialTime    = 10 * time.Second
	// maxParts bounds the parts that are known to begin, and maxSuspects those suspected under one crash.
	maxParts    = 8192
	maxSuspects = 64
	// maxCrashes bounds the crashes that are remembered, and maxQuarantined the parts in quarantine.
	maxCrashes     = 256
	maxQuarantined = 64
)

// Quarantiner holds the evidence of this VM and what other VMs report. Its exported fields must be set before the first call.
type Quarantiner struct {
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// VMs returns the number of VMs that may try a part again after its quarantine.
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
	cachedEvidence map[uint64]partEvidence
	// contested holds the parts that began here although a peer has them in quarantine.
	contested map[uint64]bool
	// reported counts the reports that were composed, so that they name all entries in turn.
	reported int
}

// begin is what is known of a part whose requests were answered.
type begin struct {
	// at is when the last one began, and count how many have.
	at    time.Duration
	count int
}

// crash is the end of one process of an engine.
type crash struct {
	at time.Duration
	// suspects holds the parts of its requests that had not begun.
	suspects map[uint64]suspicion
}

// suspicion is what is known of a part that was at an engine as it crashed.
type suspicion struct {
	// requests is the number of this VM's requests with the part there, or 1 if there were none, and index the part's place in the prompt.
	requests int
	index    uint8
}

// quarantine is a part that is not sent to engines.
type quarantine struct {
	since, until time.Duration
	// round counts the quarantines of the part.
	round int
	// trialAt is when this VM may send one request with the part; 0 is not drawn yet.
	trialAt time.Duration
}

// hash returns the number by which VMs name a part.
func hash(id string) uint64 { return xxhash.Sum64String(id) }

// RecordBegin records that a request has begun to be answered, which clears the parts of its prompt.
func (q *Quarantiner) RecordBegin(d fuchsiaspoke.Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, part := range d.Parts {
		q.clear(hash(part.ID), now, 1)
	}
}

// clear records that a request with the part began at a time, and ends a quarantine that is contradicted by that.
func (q *Quarantiner) clear(part uint64, at time.Duration, count int) {
	if q.begins == nil {
		q.begins = make(map[uint64]begin)
	}
	b := q.begins[part]
	q.begins[part] = begin{at: max(b.at, at), count: b.count + count}
	if _, suspected := q.cachedEvidence[part]; suspected {
		q.cachedEvidence = nil
	}
	if len(q.begins) > maxParts {
		q.forgetBegins()
	}
	if held := q.quarantines[part]; held != nil && at+clearedFor > held.since {
		delete(q.quarantines, part)
		q.cachedEvidence = nil
		q.Count("prompt_part_cleared")
		q.Log("prompt part cleared", "part", partName(part), "held_ms", (q.Clock() - held.since).Milliseconds(), "round", held.round)
	}
}

// forgetBegins forgets the parts that were not used for long, or else those that were used least recently.
func (q *Quarantiner) forgetBegins() {
	for keep := beginRetention; len(q.begins) > maxParts*3/4; keep /= 2 {
		maps.DeleteFunc(q.begins, func(_ uint64, b begin) bool { return q.Clock()-b.at > keep })
		if keep < time.Millisecond {
			clear(q.begins)
		}
	}
}

// RecordCrash records that the process of an engine ended before a request to it began to be answered.
func (q *Quarantiner) RecordCrash(engine fuchsiaspoke.ReplicaIncarnation, d fuchsiaspoke.Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	process := engine.Hash()
	for i, part := range d.Parts {
		q.suspect(process, q.Clock(), hash(part.ID), uint8(min(i, math.MaxUint8)), 1)
	}
	q.evaluate()
}

// suspect adds a part to those of a crash, which is counted as of the earliest time reported. requests is 0 for a part that a peer reports.
func (q *Quarantiner) suspect(process uint64, at time.Duration, part uint64, index uint8, requests int) {
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
	known, seen := c.suspects[part]
	if !seen && len(c.suspects) >= maxSuspects && !q.makeRoom(c) {
		return
	}
	if seen && requests == 0 {
		return
	}
	c.suspects[part] = suspicion{requests: max(known.requests+requests, 1), index: index}
	q.cachedEvidence = nil
	if held := q.quarantines[part]; held != nil && at > held.until-trialTime && at > held.since+lengthOf(held.round) {
		q.hold(part, at, held.round+1)
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

// makeRoom removes a part that is suspected under no other crash.
func (q *Quarantiner) makeRoom(c *crash) bool {
	for part := range c.suspects {
		if len(q.evidence()[part].times) <= 1 {
			delete(c.suspects, part)
			q.cachedEvidence = nil
			return true
		}
	}
	return false
}

// Admit decides on a new request.
func (q *Quarantiner) Admit(d fuchsiaspoke.Demand) fuchsiaspoke.PromptVerdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate()
	verdict := fuchsiaspoke.PromptVerdict{}
	for _, p := range d.Parts {
		held := q.quarantines[hash(p.ID)]
		switch wait := q.untilTrial(held, hash(p.ID)); {
		case held == nil:
		case wait > 0:
			return fuchsiaspoke.PromptVerdict{Part: p.ID, Left: wait}
		default:
			held.until, held.trialAt = q.Clock()+trialTime, 0
			verdict.Trial = true
			q.Count("prompt_part_tried")
			q.Log("prompt part tried again", "part", partName(hash(p.ID)), "round", held.round)
		}
	}
	return verdict
}

// Blocked returns the id of a part in the prompt that is in quarantine, and for how much longer, and "" if there is none. It is asked
// before each send, as requests may have waited since they were admitted.
func (q *Quarantiner) Blocked(d fuchsiaspoke.Demand) (part string, left time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate()
	for _, p := range d.Parts {
		if held := q.quarantines[hash(p.ID)]; held != nil {
			return p.ID, max(q.untilTrial(held, hash(p.ID)), 0)
		}
	}
	return "", 0
}

// untilTrial returns the time until this VM may try a part again.
func (q *Quarantiner) untilTrial(held *quarantine, part uint64) time.Duration {
	if held == nil {
		return 0
	}
	if held.trialAt == 0 {
		held.trialAt = held.until + q.trialDelay(part, held.round)
	}
	return held.trialAt - q.Clock()
}

// trialDelay returns how long after the end of a quarantine this VM may try the part: VMs draw different times.
func (q *Quarantiner) trialDelay(part uint64, round int) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(part + uint64(round))
	_, _ = d.WriteString(q.Self)
	const steps = 1 << 16
	return time.Duration(q.VMs()) * trialSpacing * time.Duration(d.Sum64()%steps) / steps
}

// Suspected reports whether the prompt has a part that is suspected under two crashes or that is in quarantine, so that a request with it is not
// repeated after a crash.
func (q *Quarantiner) Suspected(d fuchsiaspoke.Demand) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range d.Parts {
		if q.quarantines[hash(p.ID)] != nil || distinct(q.evidence()[hash(p.ID)].times) >= minCrashes-1 {
			return true
		}
	}
	return false
}
