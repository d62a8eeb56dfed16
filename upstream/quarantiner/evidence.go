package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// traitEvidence is the evidence against a trait: the times of the crashes under which it is suspected, in order, those of them that no
// request in quarantine explains, and the number of its requests there.
type traitEvidence struct {
	times       []time.Duration
	unexplained []time.Duration
	requests    int
	index       uint8
}

// suffices reports whether the evidence is enough for a quarantine.
func (e traitEvidence) suffices(trait uint64) bool {
	return countOf(trait, e.times) >= minCrashes && countOf(trait, e.unexplained) >= minUnexplained
}

// evidence returns the evidence against each trait that no request has cleared: of crashes that no part in quarantine explains, and before
// which no request with the trait began for clearedFor.
func (q *Quarantiner) evidence() map[uint64]traitEvidence {
	if q.cachedEvidence != nil {
		return q.cachedEvidence
	}
	q.cachedEvidence = make(map[uint64]traitEvidence)
	for _, c := range q.crashes {
		byPart, byRequest := q.explained(c)
		if byPart {
			continue
		}
		for trait, a := range c.suspects {
			if begun, cleared := q.begins[trait]; cleared && begun.at+clearedFor >= c.at {
				continue
			}
			known := q.cachedEvidence[trait]
			known.times, known.requests, known.index = append(known.times, c.at), known.requests+a.requests, a.index
			if !byRequest {
				known.unexplained = append(known.unexplained, c.at)
			}
			q.cachedEvidence[trait] = known
		}
	}
	for _, a := range q.cachedEvidence {
		slices.Sort(a.times)
		slices.Sort(a.unexplained)
	}
	return q.cachedEvidence
}

// explained reports whether a trait in quarantine was at the replica that crashed: a part of prompts, which is the cause then, or one
// request, which may itself have a part that is.
func (q *Quarantiner) explained(c *crash) (byPart, byRequest bool) {
	if len(q.quarantines) == 0 {
		return false, false
	}
	for trait := range c.suspects {
		if q.quarantines[trait] == nil {
			continue
		}
		if fuchsiaspoke.IsRequestHash(trait) {
			byRequest = true
		} else {
			byPart = true
		}
	}
	return byPart, byRequest
}

// countOf returns how many of the crashes at the given times count against a trait.
func countOf(trait uint64, times []time.Duration) int {
	return len(counted(trait, times))
}

// counted returns the times of the crashes that count against a trait: for a part of prompts those that are crashSpacing apart.
func counted(trait uint64, times []time.Duration) []time.Duration {
	if fuchsiaspoke.IsRequestHash(trait) {
		return times
	}
	var out []time.Duration
	for _, at := range times {
		if len(out) == 0 || at-out[len(out)-1] >= crashSpacing {
			out = append(out, at)
		}
	}
	return out
}

// candidate is a trait that is suspected under enough crashes, the last of them some time ago.
type candidate struct {
	trait   uint64
	crashes int
	settled time.Duration
	// requests is the number of requests with the trait that this VM knows of. Of parts that are in the same crashes, the one with the
	// fewest is the cause: sound requests have the others in common with it. Of requests it is the one that came most often.
	requests int
	// index is a part's place in the prompt. Where nothing else tells two parts apart, sound requests rather have the earlier one.
	index uint8
}

func (c candidate) isRequest() bool { return fuchsiaspoke.IsRequestHash(c.trait) }

// likelier orders candidates, the likeliest first. Of a request and a part in the same crashes, the request holds back less.
func likelier(a, b candidate) int {
	switch {
	case a.crashes != b.crashes:
		return cmp.Compare(b.crashes, a.crashes)
	case a.isRequest() && b.isRequest():
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(a.trait, b.trait))
	case a.isRequest():
		return -1
	case b.isRequest():
		return 1
	}
	return cmp.Or(cmp.Compare(a.requests, b.requests), cmp.Compare(b.index, a.index), cmp.Compare(a.trait, b.trait))
}

// evaluate puts the traits in quarantine that explain the crashes, the likeliest first.
func (q *Quarantiner) evaluate() {
	for len(q.quarantines) < maxQuarantined {
		candidates := q.candidates()
		if len(candidates) == 0 {
			return
		}
		slices.SortFunc(candidates, likelier)
		first := candidates[0]
		ambiguous := len(candidates) > 1 && candidates[1].crashes == first.crashes && candidates[1].requests == first.requests
		if ambiguous && !first.isRequest() && first.settled < ambiguityTime {
			return
		}
		q.record(first.trait, "suspected", "crashes", first.crashes, "requests", first.requests, "candidates", len(candidates))
		q.hold(first.trait, q.Clock(), 1)
	}
}

// candidates returns the traits that are suspected under enough crashes, the last of them some time ago.
func (q *Quarantiner) candidates() []candidate {
	if len(q.crashes) < minCrashes {
		return nil
	}
	now := q.Clock()
	var out []candidate
	for trait, a := range q.evidence() {
		if q.quarantines[trait] != nil || !a.suffices(trait) {
			continue
		}
		times := counted(trait, a.times)
		if settled := now - times[minCrashes-1]; settled >= q.settleTime() {
			out = append(out, candidate{trait, len(times), settled, a.requests + q.begins[trait].count, a.index})
		}
	}
	return out
}

func (q *Quarantiner) settleTime() time.Duration {
	if q.VMs() > smallFleetSize {
		return settleTimeLarge
	}
	return settleTimeSmall
}

// hold puts a trait in quarantine, for the round-th time.
func (q *Quarantiner) hold(trait uint64, since time.Duration, round int) {
	q.addQuarantine(trait, quarantine{since: since, until: since + lengthOf(round), round: round})
	q.record(trait, "in quarantine", "round", round, "for_ms", lengthOf(round).Milliseconds(), "from", q.Self)
}

// addQuarantine adds a quarantine, and forgets those that nobody has asked about for long after their end.
func (q *Quarantiner) addQuarantine(trait uint64, held quarantine) {
	maps.DeleteFunc(q.quarantines, func(_ uint64, old *quarantine) bool { return q.Clock()-old.until > maxQuarantineTime })
	if q.quarantines == nil {
		q.quarantines = make(map[uint64]*quarantine)
	}
	q.quarantines[trait] = &held
	q.cachedEvidence = nil
}

// lengthOf returns the length of a quarantine.
func lengthOf(round int) time.Duration {
	d := quarantineTime
	for ; round > 1 && d < maxQuarantineTime; round-- {
		d *= 2
	}
	return min(d, maxQuarantineTime)
}
