package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// reportTime is how long after a crash its evidence is reported.
	reportTime = 30 * time.Second
	// maxCrashesReported, maxCleared and maxQuarantinesReported bound one report, which is a part of a datagram, and maxSuspectsReported the
	// traits of a crash in it. The gravest crash is always reported, the others follow in turn.
	maxCrashesReported     = 3
	maxSuspectsReported    = 6
	maxCleared             = 4
	maxQuarantinesReported = 4
	// oldReportInterval is the number of reports of which one names quarantines older than reportTime, for VMs that start.
	oldReportInterval = 8
)

// Report returns the evidence for the next heartbeat. Evidence of other VMs is passed on.
func (q *Quarantiner) Report() fuchsiaspoke.CrashEvidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes)+len(q.quarantines)+len(q.contested) == 0 {
		return fuchsiaspoke.CrashEvidence{}
	}
	q.evaluate()
	q.reported++
	crashes := q.openCrashes()
	gravest := min(len(crashes), 1)
	return fuchsiaspoke.CrashEvidence{
		Crashes:     append(slices.Clone(crashes[:gravest]), fuchsiaspoke.InTurn(crashes[gravest:], q.reported, maxCrashesReported-gravest)...),
		Cleared:     q.clearedTraits(),
		Quarantined: fuchsiaspoke.InTurn(q.quarantined(), q.reported/oldReportInterval, maxQuarantinesReported),
	}
}

// openCrashes returns the late crashes that no part in quarantine explains, with the traits that nothing clears, the gravest first.
func (q *Quarantiner) openCrashes() []fuchsiaspoke.CrashReport {
	evidence, now := q.evidence(), q.Clock()
	gravity := func(r fuchsiaspoke.CrashReport) int { return len(evidence[r.Suspects[0].Hash].unexplained) }
	var out []fuchsiaspoke.CrashReport
	for process, c := range q.crashes {
		if byPart, _ := q.explained(c); byPart || now-c.at > reportTime {
			continue
		}
		if suspects := q.gravestSuspects(c); len(suspects) > 0 {
			out = append(out, fuchsiaspoke.CrashReport{Process: process, AgeMs: fuchsiaspoke.Milliseconds(now - c.at), Suspects: suspects})
		}
	}
	slices.SortFunc(out, func(a, b fuchsiaspoke.CrashReport) int {
		return cmp.Or(cmp.Compare(gravity(b), gravity(a)), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// gravestSuspects returns the traits of a crash for a report: those in several crashes first, and the others in turn.
func (q *Quarantiner) gravestSuspects(c *crash) []fuchsiaspoke.SuspectTrait {
	evidence := q.evidence()
	gravity := func(s fuchsiaspoke.SuspectTrait) int { return len(evidence[s.Hash].times) }
	var repeated, single []fuchsiaspoke.SuspectTrait
	for trait, a := range c.suspects {
		switch s := (fuchsiaspoke.SuspectTrait{Hash: trait, Index: a.index}); {
		case gravity(s) > 1:
			repeated = append(repeated, s)
		case gravity(s) == 1:
			single = append(single, s)
		}
	}
	slices.SortFunc(repeated, func(a, b fuchsiaspoke.SuspectTrait) int {
		return cmp.Or(cmp.Compare(gravity(b), gravity(a)), cmp.Compare(a.Hash, b.Hash))
	})
	slices.SortFunc(single, func(a, b fuchsiaspoke.SuspectTrait) int { return cmp.Compare(a.Hash, b.Hash) })
	repeated = repeated[:min(len(repeated), maxSuspectsReported)]
	return append(repeated, fuchsiaspoke.InTurn(single, q.reported, maxSuspectsReported-len(repeated))...)
}

// clearedTraits returns traits of late crashes with which a request has begun, and those that a peer has in quarantine all the same. Those
// in several crashes come first, as others may hold them to be the cause.
func (q *Quarantiner) clearedTraits() []fuchsiaspoke.ClearedTrait {
	crashes := make(map[uint64]int)
	for trait := range q.contested {
		crashes[trait] = minCrashes
	}
	for _, c := range q.crashes {
		if q.Clock()-c.at > reportTime {
			continue
		}
		for trait := range c.suspects {
			if b, begun := q.begins[trait]; begun && b.at+clearedFor >= c.at {
				crashes[trait]++
			}
		}
	}
	var repeated, single []fuchsiaspoke.ClearedTrait
	for _, trait := range slices.Sorted(maps.Keys(crashes)) {
		cleared := fuchsiaspoke.ClearedTrait{Hash: trait, AgeMs: fuchsiaspoke.Milliseconds(q.Clock() - q.begins[trait].at)}
		if crashes[trait] > 1 {
			repeated = append(repeated, cleared)
		} else {
			single = append(single, cleared)
		}
	}
	repeated = fuchsiaspoke.InTurn(repeated, q.reported, maxCleared)
	return append(repeated, fuchsiaspoke.InTurn(single, q.reported, maxCleared-len(repeated))...)
}

// quarantined returns the traits in quarantine: new ones in each report, old ones now and then.
func (q *Quarantiner) quarantined() []fuchsiaspoke.QuarantinedTrait {
	now := q.Clock()
	var out []fuchsiaspoke.QuarantinedTrait
	for _, trait := range slices.Sorted(maps.Keys(q.quarantines)) {
		held := q.quarantines[trait]
		if now-held.since > reportTime && q.reported%oldReportInterval != 0 {
			continue
		}
		out = append(out, fuchsiaspoke.QuarantinedTrait{
			Hash: trait, AgeMs: fuchsiaspoke.Milliseconds(now - held.since), LeftMs: fuchsiaspoke.Milliseconds(held.until - now),
			Round: uint8(held.round),
		})
	}
	return out
}

// Merge adds the evidence of another VM.
func (q *Quarantiner) Merge(e fuchsiaspoke.CrashEvidence, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, c := range e.Cleared {
		q.clear(c.Hash, now-age(c.AgeMs), 0)
	}
	for _, c := range e.Crashes {
		for _, a := range c.Suspects {
			q.suspect(c.Process, now-age(c.AgeMs), a.Hash, a.Index, 0)
		}
	}
	for _, held := range e.Quarantined {
		q.mergeQuarantine(held, from)
	}
	q.evaluate()
}

// mergeQuarantine takes over the quarantine of a peer, unless a request with the trait has begun here.
func (q *Quarantiner) mergeQuarantine(told fuchsiaspoke.QuarantinedTrait, from string) {
	now := q.Clock()
	next := quarantine{since: now - age(told.AgeMs), until: now + age(told.LeftMs), round: int(told.Round)}
	if b, begun := q.begins[told.Hash]; begun && b.at+clearedFor > next.since {
		if q.contested == nil || len(q.contested) > maxQuarantined {
			q.contested = make(map[uint64]bool)
		}
		q.contested[told.Hash] = true
		return
	}
	known := q.quarantines[told.Hash]
	switch {
	case known == nil && len(q.quarantines) < maxQuarantined:
		q.addQuarantine(told.Hash, next)
		q.record(told.Hash, "in quarantine", "round", next.round, "for_ms", age(told.LeftMs).Milliseconds(), "from", from)
	case known != nil && (next.round > known.round || next.round == known.round && next.until > known.until+trialTime/2):
		*known = next
	}
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
