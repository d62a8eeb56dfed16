// Package judge finds out from what was observed of a run of a fleet which promises to callers were broken.
package judge

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// lateStopRequest is the time after SIGTERM up to which a request may be sent that lasts longer than the grace period.
	lateStopRequest = 3 * time.Second
	// stopSlack and publicationSlack are how long after the grace period, and after a publication must be in force, they still count as planned work.
	stopSlack        = time.Second
	publicationSlack = time.Second
	// publicationFactor is how many times as often requests are cut beside publications for that to count.
	publicationFactor = 3
	// publicationShare is the share of its time limit from which on the end of a request isn't put down to a publication.
	publicationShare = 0.7
)

// Judge judges records of runs. All fields must be set.
type Judge struct {
	// Grace is the time from SIGTERM until a process is killed.
	Grace time.Duration
	// LossSlack is the time after its last byte in which a request that no replica received may end without a response.
	LossSlack time.Duration
	// Contact is how long before a request a disruption excuses its VM.
	Contact time.Duration
	// Apply is the time after which a publication must be in force.
	Apply time.Duration
}

// Lost returns the requests that ended without a complete response around planned work, although nothing excuses it. It doesn't judge kept
// connections that a VM closes at other times.
func (j Judge) Lost(r fuchsiaspoke.RunRecord) []fuchsiaspoke.BrokenPromise {
	var out []fuchsiaspoke.BrokenPromise
	for _, q := range r.Requests {
		if !j.isCut(r, q) {
			continue
		}
		switch {
		case j.cutByStop(r, q):
			out = append(out, fuchsiaspoke.BrokenPromise{Request: q, Reason: "no whole response around SIGTERM"})
		case j.excusedByStop(r, q):
		case j.cutByReload(r, q):
			out = append(out, fuchsiaspoke.BrokenPromise{Request: q, Reason: "no whole response after SIGHUP"})
		case j.cutByPublication(r, q) && j.cutsBesidePublications(r, q.VM):
			out = append(out, fuchsiaspoke.BrokenPromise{Request: q, Reason: "no whole response beside a publication"})
		}
	}
	return out
}

// isCut reports whether a request ended without a complete response for no reason of its own, of its replica or of an unplanned fault.
func (j Judge) isCut(r fuchsiaspoke.RunRecord, q fuchsiaspoke.ObservedRequest) bool {
	if q.Whole || q.CallerLeft || q.Unsent || q.End >= q.FirstByte+q.TimeLimit {
		return false
	}
	if len(q.Runs) == 0 && q.End <= q.LastByte+j.LossSlack {
		return false
	}
	if lastRun(q).BrokeOff {
		return false
	}
	return !slices.ContainsFunc(r.Disruptions, func(d fuchsiaspoke.ObservedDisruption) bool {
		return (d.VM == "" || d.VM == q.VM) && d.Begin <= q.End && d.End >= q.FirstByte-j.Contact
	})
}

// lastRun returns the run that ended last. A replica that broke off before it was replaced by another one excuses no cut of that one's response.
func lastRun(q fuchsiaspoke.ObservedRequest) fuchsiaspoke.ObservedRun {
	if len(q.Runs) == 0 {
		return fuchsiaspoke.ObservedRun{}
	}
	return slices.MaxFunc(q.Runs, func(a, b fuchsiaspoke.ObservedRun) int { return cmp.Compare(a.End, b.End) })
}

// cutByStop reports whether a cut request ended around a stop of its VM that doesn't excuse it.
func (j Judge) cutByStop(r fuchsiaspoke.RunRecord, q fuchsiaspoke.ObservedRequest) bool {
	return slices.ContainsFunc(r.Stops, func(s fuchsiaspoke.ObservedStop) bool {
		return j.isAroundStop(s, q) && !j.outlastsGrace(s, q)
	})
}

// excusedByStop reports whether a request that a stop of its VM cut is excused, whatever other planned work was beside.
func (j Judge) excusedByStop(r fuchsiaspoke.RunRecord, q fuchsiaspoke.ObservedRequest) bool {
	return slices.ContainsFunc(r.Stops, func(s fuchsiaspoke.ObservedStop) bool { return j.isAroundStop(s, q) && j.outlastsGrace(s, q) })
}

// isAroundStop reports whether a request ended at a VM that was being stopped.
func (j Judge) isAroundStop(s fuchsiaspoke.ObservedStop, q fuchsiaspoke.ObservedRequest) bool {
	return s.VM == q.VM && q.End >= s.Signal && q.End <= s.Signal+j.Grace+stopSlack
}

// outlastsGrace reports whether a replica was still at work near the end of the grace period on a request that was sent early enough.
func (j Judge) outlastsGrace(s fuchsiaspoke.ObservedStop, q fuchsiaspoke.ObservedRequest) bool {
	if q.LastByte > s.Signal+lateStopRequest {
		return false
	}
	lastSixth := s.Signal + j.Grace - j.Grace/6
	return slices.ContainsFunc(q.Runs, func(run fuchsiaspoke.ObservedRun) bool {
		return run.Begin <= s.Signal+j.Grace && run.End >= lastSixth
	})
}

func (j Judge) cutByReload(r fuchsiaspoke.RunRecord, q fuchsiaspoke.ObservedRequest) bool {
	return slices.ContainsFunc(r.Reloads, func(h fuchsiaspoke.ObservedReload) bool {
		return h.VM == q.VM && q.End >= h.Signal && q.FirstByte <= h.Signal+j.Apply
	})
}

func (j Judge) cutByPublication(r fuchsiaspoke.RunRecord, q fuchsiaspoke.ObservedRequest) bool {
	if float64(q.End-q.FirstByte) >= publicationShare*float64(q.TimeLimit) {
		return false
	}
	return j.isBesidePublication(r, q.End)
}

func (j Judge) isBesidePublication(r fuchsiaspoke.RunRecord, at time.Duration) bool {
	return slices.ContainsFunc(r.Publications, func(p fuchsiaspoke.ObservedPublication) bool {
		return at >= p.Sent && at <= p.Acknowledged+j.Apply+publicationSlack
	})
}

// cutsBesidePublications reports whether a VM cuts requests beside publications over publicationFactor times as often as at other times.
// Requests that its stop cut count in neither.
func (j Judge) cutsBesidePublications(r fuchsiaspoke.RunRecord, vm string) bool {
	cutBeside, beside, cutElse, elsewhere := 0, 0, 0, 0
	for _, q := range r.Requests {
		if q.VM != vm {
			continue
		}
		cut := 0
		if j.isCut(r, q) {
			if slices.ContainsFunc(r.Stops, func(s fuchsiaspoke.ObservedStop) bool { return j.isAroundStop(s, q) }) {
				continue
			}
			cut = 1
		}
		if j.isBesidePublication(r, q.End) {
			cutBeside, beside = cutBeside+cut, beside+1
		} else {
			cutElse, elsewhere = cutElse+cut, elsewhere+1
		}
	}
	return cutBeside > 0 && cutBeside*max(elsewhere, 1) > publicationFactor*cutElse*beside
}
