// Package hedger decides after which time a request that may run twice is sent to a second replica beside the first.
//
// It learns the usual time of each route's answers from this VM's own ones, at some hundred routes and any rate.
package hedger

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the latest answer in a moving average.
	smoothingFactor = 0.1
	// minAnswers is the number of answers from which a route's usual time is known.
	minAnswers = 20
	// deviations is the number of mean deviations above the mean from which an answer is late.
	deviations = 2.5
	// maxRoutes bounds the number of routes with a record.
	maxRoutes = 1000
	// minDelay bounds the delay from below, at a few times the time that a message takes on the network.
	minDelay = 5 * time.Millisecond
)

// Hedger keeps the usual time of answers by route. Its zero value is ready to use, and it is safe for concurrent use.
//
// The mean and the mean deviation are kept as by Jacobson, "Congestion Avoidance and Control", 1988; hedged requests are those of Dean and
// Barroso, "The Tail at Scale", 2013.
type Hedger struct {
	mu     sync.Mutex
	routes map[string]*latency
}

// latency is the usual time of the answers of one route, in seconds.
type latency struct {
	answers         int
	mean, deviation float64
}

// Observe records an answer of a replica that took a time while work took factor times the usual there.
func (h *Hedger) Observe(route string, took time.Duration, factor float64) {
	if factor <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = make(map[string]*latency)
	}
	l := h.routes[route]
	if l == nil {
		if len(h.routes) >= maxRoutes {
			return
		}
		l = &latency{}
		h.routes[route] = l
	}
	// A replica that was slow when it answered was so for a part of the time at least.
	seconds := took.Seconds() / max(factor, 1)
	if l.answers == 0 {
		l.mean = seconds
	}
	l.answers++
	l.deviation += smoothingFactor * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += smoothingFactor * (seconds - l.mean)
}

// Delay returns after which time a request of the route is sent a second time; false if usual times are not known yet.
//
// That is when all but the slowest usual answers are there. It is later, up to twice that, as long as a usual answer from then on meets the
// objective: a short slow phase of the first replica ends before a second send would.
func (h *Hedger) Delay(route string, objective time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.routes[route]
	if l == nil || l.answers < minAnswers {
		return 0, false
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	late := seconds(l.mean + deviations*l.deviation)
	return max(late, min(2*late, objective-seconds(l.mean)), minDelay), true
}
