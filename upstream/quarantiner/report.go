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
	// maxAccusations, maxCleared and maxQuarantinesReported bound one report, which is a part of a datagram. Half of the accusations are the
	// gravest, the others follow in turn.
	maxAccusations         = 8
	maxCleared             = 4
	maxQuarantinesReported = 4
)

// Report returns the evidence for the next heartbeat. Evidence of other VMs is passed on.
func (q *Quarantiner) Report() fuchsiaspoke.PromptEvidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes)+len(q.quarantines) == 0 {
		return fuchsiaspoke.PromptEvidence{}
	}
	q.evaluate()
	q.reported++
	accusations, cleared := q.openEvidence()
	gravest := min(len(accusations), maxAccusations/2)
	return fuchsiaspoke.PromptEvidence{
		Accusations: append(slices.Clone(accusations[:gravest]), inTurn(accusations[gravest:], q.reported, maxAccusations-gravest)...),
		Cleared:     inTurn(cleared, q.reported, maxCleared),
		Quarantined: inTurn(q.quarantined(), q.reported, maxQuarantinesReported),
	}
}

// openEvidence returns the accusations of late crashes that nothing explains, the gravest first, and the parts in them that are cleared.
func (q *Quarantiner) openEvidence() (accusations []fuchsiaspoke.Accusation, cleared []fuchsiaspoke.ClearedPart) {
	now := q.Clock()
	crashesOf, clearedAt := make(map[uint64]int), make(map[uint64]time.Duration)
	for part := range q.contested {
		clearedAt[part] = q.begins[part].at
	}
	for process, c := range q.crashes {
		if now-c.at > reportTime || q.isExplained(c) {
			continue
		}
		for part, accused := range c.accused {
			if b, begun := q.begins[part]; begun && b.at+clearedFor >= c.at {
				clearedAt[part] = b.at
				continue
			}
			crashesOf[part]++
			accusations = append(accusations, fuchsiaspoke.Accusation{Process: process, Part: part, Index: accused.index, AgeMs: fuchsiaspoke.Milliseconds(now - c.at)})
		}
	}
	slices.SortFunc(accusations, func(a, b fuchsiaspoke.Accusation) int {
		return cmp.Or(cmp.Compare(crashesOf[b.Part], crashesOf[a.Part]), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Part, b.Part))
	})
	for _, part := range slices.Sorted(maps.Keys(clearedAt)) {
		cleared = append(cleared, fuchsiaspoke.ClearedPart{Part: part, AgeMs: fuchsiaspoke.Milliseconds(now - clearedAt[part])})
	}
	return accusations, cleared
}

func (q *Quarantiner) quarantined() []fuchsiaspoke.QuarantinedPart {
	now := q.Clock()
	var out []fuchsiaspoke.QuarantinedPart
	for _, part := range slices.Sorted(maps.Keys(q.quarantines)) {
		held := q.quarantines[part]
		out = append(out, fuchsiaspoke.QuarantinedPart{
			Part: part, AgeMs: fuchsiaspoke.Milliseconds(now - held.since), LeftMs: fuchsiaspoke.Milliseconds(held.until - now),
			Round: uint8(held.round),
		})
	}
	return out
}

// inTurn returns up to n entries, others with each turn.
func inTurn[T any](all []T, turn, n int) []T {
	if len(all) <= n {
		return all
	}
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, all[(turn*n+i)%len(all)])
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
	for _, a := range e.Accusations {
		q.accuse(a.Process, now-age(a.AgeMs), a.Part, a.Index, 0)
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
