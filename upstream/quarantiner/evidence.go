package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// partName returns the number of a part as logs name it.
func partName(part uint64) string { return strconv.FormatUint(part, 16) }

// partEvidence is the evidence against a part: the times of the crashes under which it is suspected, in order, and its requests there.
type partEvidence struct {
	times    []time.Duration
	requests int
	index    uint8
}

// evidence returns the evidence against each part that no request has cleared: of crashes that no part in quarantine explains, and before
// which no request with the part began for clearedFor.
func (q *Quarantiner) evidence() map[uint64]partEvidence {
	if q.cachedEvidence != nil {
		return q.cachedEvidence
	}
	q.cachedEvidence = make(map[uint64]partEvidence)
	for _, c := range q.crashes {
		if q.isExplained(c) {
			continue
		}
		for part, a := range c.suspects {
			if begun, cleared := q.begins[part]; cleared && begun.at+clearedFor >= c.at {
				continue
			}
			known := q.cachedEvidence[part]
			q.cachedEvidence[part] = partEvidence{append(known.times, c.at), known.requests + a.requests, a.index}
		}
	}
	for _, a := range q.cachedEvidence {
		slices.Sort(a.times)
	}
	return q.cachedEvidence
}

// isExplained reports whether a part in quarantine was at the engine that crashed.
func (q *Quarantiner) isExplained(c *crash) bool {
	if len(q.quarantines) == 0 {
		return false
	}
	for part := range c.suspects {
		if q.quarantines[part] != nil {
			return true
		}
	}
	return false
}

// distinct returns the number of times that are crashSpacing apart.
func distinct(times []time.Duration) int {
	n, last := 0, time.Duration(0)
	for _, at := range times {
		if n == 0 || at-last >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// candidate is a part that is suspected under enough crashes, the last of them some time ago.
type candidate struct {
	part    uint64
	crashes int
	settled time.Duration
	// requests is the number of requests with the part that this VM knows of. Of parts that are in the same crashes, the one with the
	// fewest is the cause: sound requests have the others in common with it.
	requests int
	// index is the part's place in the prompt. Where nothing else tells two parts apart, sound requests rather have the earlier one.
	index uint8
}

// likelier orders candidates, the likeliest first.
func likelier(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.requests, b.requests), cmp.Compare(b.index, a.index), cmp.Compare(a.part, b.part))
}

// evaluate puts the parts in quarantine that explain the crashes, the likeliest first.
func (q *Quarantiner) evaluate() {
	for len(q.quarantines) < maxQuarantined {
		candidates := q.candidates()
		if len(candidates) == 0 {
			return
		}
		slices.SortFunc(candidates, likelier)
		first := candidates[0]
		ambiguous := len(candidates) > 1 && candidates[1].crashes == first.crashes && candidates[1].requests == first.requests
		if ambiguous && first.settled < ambiguityTime {
			return
		}
		q.Log("prompt part suspected", "part", partName(first.part), "crashes", first.crashes, "requests", first.requests, "candidates", len(candidates))
		q.hold(first.part, q.Clock(), 1)
	}
}

// candidates returns the parts that are suspected under minCrashes, the last of them some time ago.
func (q *Quarantiner) candidates() []candidate {
	if len(q.crashes) < minCrashes {
		return nil
	}
	now := q.Clock()
	var out []candidate
	for part, a := range q.evidence() {
		n := distinct(a.times)
		if n < minCrashes {
			continue
		}
		if settled := now - timeOfNth(a.times, minCrashes); settled >= q.settleTime() {
			out = append(out, candidate{part, n, settled, a.requests + q.begins[part].count, a.index})
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

// timeOfNth returns the time of the crash with which there are n distinct ones.
func timeOfNth(times []time.Duration, n int) time.Duration {
	for i := range times {
		if distinct(times[:i+1]) >= n {
			return times[i]
		}
	}
	return times[len(times)-1]
}

// hold puts a part in quarantine, for the round-th time.
func (q *Quarantiner) hold(part uint64, since time.Duration, round int) {
	q.addQuarantine(part, quarantine{since: since, until: since + lengthOf(round), round: round})
	q.Count("prompt_part_quarantined")
	q.Log("prompt part in quarantine", "part", partName(part), "round", round, "for_ms", lengthOf(round).Milliseconds(), "from", q.Self)
}

// addQuarantine adds a quarantine, and forgets those that nobody has asked about for long after their end.
func (q *Quarantiner) addQuarantine(part uint64, held quarantine) {
	maps.DeleteFunc(q.quarantines, func(_ uint64, old *quarantine) bool { return q.Clock()-old.until > maxQuarantineTime })
	if q.quarantines == nil {
		q.quarantines = make(map[uint64]*quarantine)
	}
	q.quarantines[part] = &held
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
