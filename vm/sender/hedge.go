package sender

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// maxHedgedErrorRate is the error rate of a service's replica above which nothing is hedged: a VM's retry budget holds about one retry, and
// failed requests need it more. One failure keeps the rate above it for 12 further answers.
const maxHedgedErrorRate = 0.02

// hedgeDelay returns after which time the request is sent to another replica beside r; 0 is never. Only services whose replicas state how
// long work takes have usual times.
func (t *requestTask) hedgeDelay(r fuchsiaspoke.Replica) time.Duration {
	if !t.request.Route.Idempotent || !t.estimator.States(t.Clock(), r.Incarnation()) {
		return 0
	}
	delay, _ := t.hedger.Delay(t.request.Route.Name, t.request.Route.Objective)
	return delay
}

// observeLatency records the time of an answer of a replica that states how long work takes.
func (t *requestTask) observeLatency(took time.Duration, info fuchsiaspoke.ResponseInfo) {
	if info.Notice.Load == nil || !info.Notice.Load.HasWorkPercent || t.isEngineService(t.request.Service) {
		return
	}
	t.hedger.Observe(t.request.Route.Name, took, info.Notice.Load.WorkFactor())
}

// hedgeReplica sends the request once to another replica that is expected to start it at once, and reads its complete response.
func hedgeReplica(ctx context.Context, t *requestTask, _ <-chan struct{}) *attempt {
	failing := func(r fuchsiaspoke.Replica) bool {
		return t.Tracker.ErrorRate(r.ID) > maxHedgedErrorRate || t.Tracker.Failing(t.Clock(), r.ID)
	}
	if slices.ContainsFunc(t.Published().ReadyReplicas(t.request.Service), failing) {
		return nil
	}
	t.hedging = true
	defer func() { t.hedging = false }()
	return t.askOther(ctx)
}

// takesHedge reports whether a hedged request may be sent to the replica: it is expected to start it at once, and no connection has to be
// opened for it.
func (t *requestTask) takesHedge(r fuchsiaspoke.Replica) bool {
	return t.estimator.StartsAtOnce(t.Clock(), r.Incarnation()) && t.Transport.HasIdle(r.Address)
}
