package pacer

import (
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Source is the reason for which Restrict limits a replica. The limit that a replica names is another one, which Name and End keep.
type Source int

// The sources of Restrict. The lowest rate of those in force, and of the limit that the replica names, is the rate in force.
const (
	// WarmUp is the published rate of a replica in warm-up.
	WarmUp Source = iota
	// Ramp is the rate that a replica which starts or recovers sustains by its responses.
	Ramp
	// adopted is the rate of a warm-up that another VM knows of; see adoptionTime.
	adopted
	numSources
)

// adoptionTime is how long the granter keeps to the rate of a warm-up that a requesting VM names, without knowing of the warm-up itself.
const adoptionTime = time.Second

// restriction is the rate of one source.
type restriction struct {
	perSecond float64
	until     time.Duration
}

// restrictions holds the restrictions of a replica by source.
type restrictions [numSources]restriction

func (r *restrictions) inForce(now time.Duration) bool {
	for _, one := range r {
		if now < one.until {
			return true
		}
	}
	return false
}

// rate returns the lowest rate in force, or infinity.
func (r *restrictions) rate(now time.Duration) float64 {
	rate := math.Inf(1)
	for _, one := range r {
		if now < one.until {
			rate = min(rate, one.perSecond)
		}
	}
	return rate
}

// warmUpRate returns the rate of the replica's warm-up as far as this VM knows it by itself, or 0.
func (r *restrictions) warmUpRate(now time.Duration) float64 {
	if one := r[WarmUp]; now < one.until {
		return one.perSecond
	}
	return 0
}

// Restrict limits a replica for a source to a number of requests a second over all VMs, until a time on this VM's clock. It replaces the
// last call for the source; a time that has passed ends the restriction. VMs that do not restrict the replica ask for no tokens.
func (p *Pacer) Restrict(r fuchsiaspoke.Replica, s Source, perSecond float64, until time.Duration) {
	p.restrict(r.Incarnation().Hash(), s, restriction{perSecond: max(perSecond, 0), until: until})
}

func (p *Pacer) restrict(process uint64, s Source, to restriction) {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[process]
	if l == nil {
		if to.until <= now {
			return
		}
		l = p.newLimit(now, process)
	}
	before := l.restrictions.inForce(now)
	l.restrictions[s] = to
	switch {
	case !l.restrictions.inForce(now):
		l.bucket.room = 0
		if !l.isNamed {
			delete(p.limits, process)
			return
		}
		l.bucket.setRate(now, l.rate(now))
	case !before:
		l.bucket.fill(now)
		l.bucket.beginRestricted(now, l.rate(now))
		l.granting, l.cautiousUntil = p.restrictedGranter(process).ID == p.Self.ID, now+cautionTime
	}
}

// adopt keeps to the rate of the warm-up that a requesting VM knows of, which this VM may not have read of yet.
func (p *Pacer) adopt(asked fuchsiaspoke.LimitTokenRequest) {
	if asked.WarmUpPerSecond > 0 {
		p.restrict(asked.Limit.Process, adopted, restriction{perSecond: asked.WarmUpPerSecond, until: p.Clock() + adoptionTime})
	}
}
