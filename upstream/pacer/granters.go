package pacer

import (
	"cmp"
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// settleTime is how long a VM must be among the granters without a gap before it grants tokens of restricted replicas: a VM that has just
	// started knows few others, and would take itself for the granter of many replicas.
	settleTime = 1200 * time.Millisecond
	// maxSampleAge is the age of the last sample from which on no granter is known, as this VM was suspended.
	maxSampleAge = time.Second
	// granterMemory is how long a granter that is not reachable any more counts as one that may be on the other side of a network partition.
	granterMemory = 2 * time.Minute
	// majorityShare is the share of the known granters above which a side of a network partition grants all tokens, and minShare that
	// below which it grants none, so that at most three sides grant some.
	majorityShare = 0.5
	minShare      = 0.3
	// cautionTime is how long a VM that begins to grant a replica's tokens leaves room for the granter before it, which may not know yet.
	cautionTime = 1200 * time.Millisecond
	// cautionTokens is the room for saved tokens meanwhile.
	cautionTokens = 1
	// minorityTokens is the room for saved tokens on each of up to three sides of a partition that do not reach a majority of the granters.
	minorityTokens = 1.5
	// arrivalSlack is the number of requests that may arrive within a second though their tokens were granted before it.
	arrivalSlack = 0.5
	// defaultOver and defaultSlack are the users' usual bounds on replicas in warm-up.
	defaultOver  = 1.5
	defaultSlack = 5
)

// sighting is the time since which a VM is among the granters without a gap, and the last time.
type sighting struct {
	since, last time.Duration
}

// granterSample is what a VM knows of the granters at a time; it is immutable.
type granterSample struct {
	at time.Duration
	// settled holds the granters that have been among them for settleTime.
	settled map[string]bool
	// share is the share of the granters known within granterMemory that is settled: a VM whose isolation has just ended sees the others before
	// they take part again.
	share float64
}

// isUnsettled reports whether no granter is settled, as this VM has just started or resumed.
func (s *granterSample) isUnsettled() bool { return s != nil && len(s.settled) == 0 }

// SampleGranters records which VMs may grant tokens now. It must be called several times a second while any replica may be restricted; if it
// never was, all granters count as settled.
func (p *Pacer) SampleGranters() {
	now := p.Clock()
	granters := p.Granters()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sightings == nil {
		p.sightings, p.sampledSince = make(map[string]sighting), now
	}
	before := p.sample.Load()
	next := &granterSample{at: now, settled: make(map[string]bool, len(granters))}
	for _, vm := range granters {
		s, known := p.sightings[vm.ID]
		if !known || before == nil || s.last != before.at || now-before.at > maxSampleAge {
			s.since = now
		}
		s.last = now
		p.sightings[vm.ID] = s
		if now-s.since >= settleTime {
			next.settled[vm.ID] = true
		}
	}
	for id, s := range p.sightings {
		if s.last != now && (now-s.last > granterMemory || p.Reachable != nil && p.Reachable(id)) {
			delete(p.sightings, id)
		}
	}
	if before != nil && now-before.at > maxSampleAge {
		for _, l := range p.limits {
			l.granting = false
		}
	}
	next.share = float64(len(next.settled)) / float64(max(len(p.sightings), 1))
	if len(p.sightings) < 2 && now-p.sampledSince < granterMemory && p.ExpectsPeers != nil && p.ExpectsPeers() {
		next.share = 0
	}
	p.sample.Store(next)
	if before == nil || !maps.Equal(before.settled, next.settled) {
		p.noteGranting(now, granters, next)
	}
}

// EndSampling ends what SampleGranters began: all granters count as settled again.
func (p *Pacer) EndSampling() {
	if p.sample.Load() != nil {
		p.sample.Store(nil)
	}
}

// noteGranting notes of which restricted replicas this VM begins or ceases to grant the tokens, after the settled granters have changed.
func (p *Pacer) noteGranting(now time.Duration, granters []fuchsiaspoke.VM, sample *granterSample) {
	if sample.isUnsettled() {
		return
	}
	for process, l := range p.limits {
		if !l.restrictions.inForce(now) {
			continue
		}
		grants := highestRanked(process, granters, sample.settled).ID == p.Self.ID
		if grants && !l.granting {
			l.takeOver(now)
		}
		l.granting = grants
	}
}

// takeOver begins to grant tokens that another VM may still grant.
func (l *limit) takeOver(now time.Duration) {
	l.granting, l.cautiousUntil = true, now+cautionTime
	l.bucket.fill(now)
	l.bucket.tokens = min(l.bucket.tokens, 0)
}

// mayServeUnsettled reports whether this VM grants tokens to others although it has just started or resumed, and does not know the granters
// yet: a VM that asks it has known it for settleTime. It does so cautiously.
func (p *Pacer) mayServeUnsettled() bool {
	sample := p.sample.Load()
	return sample.isUnsettled() && p.Clock()-sample.at <= maxSampleAge
}

// restrictedGranter returns the VM that grants the tokens of a restricted replica; its id is empty if there is none.
func (p *Pacer) restrictedGranter(process uint64) fuchsiaspoke.VM {
	sample := p.sample.Load()
	switch {
	case sample == nil:
		return highestRanked(process, p.Granters(), nil)
	case p.Clock()-sample.at > maxSampleAge:
		return fuchsiaspoke.VM{}
	}
	return highestRanked(process, p.Granters(), sample.settled)
}

// highestRanked returns the VM that is ranked highest as the granter of a replica's tokens; settled are those that count, nil means all.
func highestRanked(process uint64, granters []fuchsiaspoke.VM, settled map[string]bool) fuchsiaspoke.VM {
	var first fuchsiaspoke.VM
	key, highest := granterKey(process), uint64(0)
	for _, vm := range granters {
		if settled != nil && !settled[vm.ID] {
			continue
		}
		if w := ranker.Weight(key, vm.ID); first.ID == "" || w > highest {
			first, highest = vm, w
		}
	}
	return first
}

// restrictedRate returns the rate at which this VM grants the tokens of a restricted replica, and the room for saved tokens. No room means
// that it grants none.
func (p *Pacer) restrictedRate(now time.Duration, l *limit) (perSecond, room float64) {
	rate, room := l.rate(now), float64(restrictedTokens)
	share := 1.0
	if sample := p.sample.Load(); sample != nil {
		share = sample.share
	}
	perSecond = rate
	switch {
	case p.sample.Load().isUnsettled():
		l.cautiousUntil = now + cautionTime
	case share < minShare:
		return 0, 0
	case share <= majorityShare:
		perSecond, room = rate*share, minorityTokens
	}
	if now < l.cautiousUntil {
		over, slack := cmp.Or(p.WarmUpOver, defaultOver), cmp.Or(p.WarmUpSlack, defaultSlack)
		rest := (over-1)*rate + slack - restrictedTokens - cautionTokens - arrivalSlack
		perSecond, room = min(perSecond, max(rest, minPerSecond)), cautionTokens
	}
	return perSecond, room
}
