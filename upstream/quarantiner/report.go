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
	// parts of a crash in it. The gravest crash is always reported, the others follow in turn.
	maxCrashesReported     = 3
	maxSuspectsReported    = 6
	maxCleared             = 4
	maxQuarantinesReported = 4
	// oldReportInterval is the number of reports of which one names quarantines older than reportTime, for VMs that start.
	oldReportInterval = 8
)

// Report returns the evidence for the next heartbeat. Evidence of other VMs is passed on.
func (q *Quarantiner) Report() fuchsiaspoke.PromptEvidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes)+len(q.quarantines)+len(q.contested) == 0 {
		return fuchsiaspoke.PromptEvidence{}
	}
	q.evaluate()
	q.reported++
	crashes := q.openCrashes()
	gravest := min(len(crashes), 1)
	return fuchsiaspoke.PromptEvidence{
		Crashes:     append(slices.Clone(crashes[:gravest]), fuchsiaspoke.InTurn(crashes[gravest:], q.reported, maxCrashesReported-gravest)...),
		Cleared:     fuchsiaspoke.InTurn(q.clearedParts(), q.reported, maxCleared),
		Quarantined: fuchsiaspoke.InTurn(q.quarantined(), q.reported/oldReportInterval, maxQuarantinesReported),
	}
}

// openCrashes returns the late crashes that nothing explains, with the parts that nothing clears, the gravest first.
func (q *Quarantiner) openCrashes() []fuchsiaspoke.CrashReport {
	evidence, now := q.evidence(), q.Clock()
	gravity := func(part uint64) int { return len(evidence[part].times) }
	var out []fuchsiaspoke.CrashReport
	for process, c := range q.crashes {
		report := fuchsiaspoke.CrashReport{Process: process, AgeMs: fuchsiaspoke.Milliseconds(now - c.at)}
		for part, a := range c.suspects {
			if gravity(part) > 0 {
				report.Suspects = append(report.Suspects, fuchsiaspoke.SuspectPart{Part: part, Index: a.index})
			}
		}
		if now-c.at > reportTime || len(report.Suspects) == 0 || q.isExplained(c) {
			continue
		}
		slices.SortFunc(report.Suspects, func(a, b fuchsiaspoke.SuspectPart) int {
			return cmp.Or(cmp.Compare(gravity(b.Part), gravity(a.Part)), cmp.Compare(a.Part, b.Part))
		})
		report.Suspects = report.Suspects[:min(len(report.Suspects), maxSuspectsReported)]
		out = append(out, report)
	}
	slices.SortFunc(out, func(a, b fuchsiaspoke.CrashReport) int {
		return cmp.Or(cmp.Compare(gravity(b.Suspects[0].Part), gravity(a.Suspects[0].Part)), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// clearedParts returns the parts of late crashes with which a request has begun, and those that a peer has in quarantine all the same.
func (q *Quarantiner) clearedParts() []fuchsiaspoke.ClearedPart {
	now, at := q.Clock(), make(map[uint64]time.Duration)
	for part := range q.contested {
		at[part] = q.begins[part].at
	}
	for _, c := range q.crashes {
		if now-c.at > reportTime {
			continue
		}
		for part := range c.suspects {
			if b, begun := q.begins[part]; begun && b.at+clearedFor >= c.at {
				at[part] = b.at
			}
		}
	}
	out := make([]fuchsiaspoke.ClearedPart, 0, len(at))
	for _, part := range slices.Sorted(maps.Keys(at)) {
		out = append(out, fuchsiaspoke.ClearedPart{Part: part, AgeMs: fuchsiaspoke.Milliseconds(now - at[part])})
	}
	return out
}

// quarantined returns the parts in quarantine: new ones in each report, old ones now and then.
func (q *Quarantiner) quarantined() []fuchsiaspoke.QuarantinedPart {
	now := q.Clock()
	var out []fuchsiaspoke.QuarantinedPart
	for _, part := range slices.Sorted(maps.Keys(q.quarantines)) {
		held := q.quarantines[part]
		if now-held.since > reportTime && q.reported%oldReportInterval != 0 {
			continue
		}
		out = append(out, fuchsiaspoke.QuarantinedPart{
			Part: part, AgeMs: fuchsiaspoke.Milliseconds(now - held.since), LeftMs: fuchsiaspoke.Milliseconds(held.until - now),
			Round: uint8(held.round),
		})
	}
	return out
}

// Merge adds the evidence of another VM.
func (q *Quarantiner) Merge(e fuchsiaspoke.PromptEvidence, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, c := range e.Cleared {
		q.clear(c.Part, now-age(c.AgeMs), 0)
	}
	for _, c := range e.Crashes {
		for _, a := range c.Suspects {
			q.suspect(c.Process, now-age(c.AgeMs), a.Part, a.Index, 0)
		}
	}
	for _, held := range e.Quarantined {
		q.mergeQuarantine(held, from)
	}
	q.evaluate()
}

// mergeQuarantine takes over the quarantine of a peer, unless a request with the part has begun here.
func (q *Quarantiner) mergeQuarantine(told fuchsiaspoke.QuarantinedPart, from string) {
	now := q.Clock()
	next := quarantine{since: now - age(told.AgeMs), until: now + age(told.LeftMs), round: int(told.Round)}
	if b, begun := q.begins[told.Part]; begun && b.at+clearedFor > next.since {
		if q.contested == nil || len(q.contested) > maxQuarantined {
			q.contested = make(map[uint64]bool)
		}
		q.contested[told.Part] = true
		return
	}
	known := q.quarantines[told.Part]
	switch {
	case known == nil && len(q.quarantines) < maxQuarantined:
		q.addQuarantine(told.Part, next)
		q.Count("prompt_part_quarantined")
		q.Log("prompt part in quarantine", "part", partName(told.Part), "round", next.round, "for_ms", age(told.LeftMs).Milliseconds(), "from", from)
	case known != nil && (next.round > known.round || next.round == known.round && next.until > known.until+trialTime/2):
		*known = next
	}
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
