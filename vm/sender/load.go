package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/estimator"
	"github.com/pkg/errors"
)

// loadFaultInterval is the least time between two log lines on loads that cannot be read; each of them is counted.
const loadFaultInterval = 10 * time.Second

// loadFaultLog bounds the log lines on loads that cannot be read. Its zero value is ready to use.
type loadFaultLog struct {
	mu sync.Mutex
	// nextAt is the time from which the next line may be written, and suppressed the number of faults since the last one.
	nextAt     time.Duration
	suppressed int
}

// due reports whether a line may be written now, and how many faults have been without one since the last line.
func (l *loadFaultLog) due(now time.Duration) (suppressed int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.nextAt {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.nextAt = l.suppressed, 0, now+loadFaultInterval
	return suppressed, true
}

// RecordLoad counts a load in a response that cannot be read, and logs it once in a while.
func (s *Sender) RecordLoad(r fuchsiaspoke.Replica, n fuchsiaspoke.ReplicaNotice) {
	if n.LoadFault == nil {
		return
	}
	s.Count("replica_load_unreadable")
	if suppressed, due := s.loadFaults.due(s.Clock()); due {
		s.Log("replica load not usable", "replica", r.ID, "address", r.Address, "suppressed", suppressed, "error", n.LoadFault.Error())
	}
}

// loadFields returns the stated load as fields of a log line; none if no load was stated.
func loadFields(l *fuchsiaspoke.ReplicaLoad) []any {
	if l == nil {
		return nil
	}
	fields := []any{"running", l.Running, "waiting", l.Waiting, "slots", l.Slots}
	if l.HasWorkPercent {
		fields = append(fields, "work_percent", l.WorkPercent)
	}
	return fields
}

// observeSpeed records how long work takes at a replica of a plain service, if it has stated that.
func (t *requestTask) observeSpeed(r fuchsiaspoke.Replica, info fuchsiaspoke.ResponseInfo) {
	if info.Misdirected || info.Notice.Load == nil || t.isEngineService(t.request.Service) {
		return
	}
	t.estimator.Observe(t.Clock(), r.Incarnation(), *info.Notice.Load)
}

// observeRamp records a complete response, from which the rate of a replica that starts or recovers is found. One that says that the request was
// not run tells of the load only if the replica was full, and an error that states no load may come from anywhere before the service.
func (t *requestTask) observeRamp(r fuchsiaspoke.Replica, status int, info fuchsiaspoke.ResponseInfo, sentAt time.Duration) {
	if t.Ramps == nil || info.Misdirected || info.NotRun && status != http.StatusServiceUnavailable {
		return
	}
	if status >= http.StatusInternalServerError && !info.NotRun && info.Notice.Load == nil {
		return
	}
	t.Ramps.Observe(r, fuchsiaspoke.RampOutcome{SentAt: sentAt, Took: t.Clock() - sentAt, Refused: info.NotRun}, info.Notice.Load)
}

// observeRampFailure records a request without a complete response, unless it was not sent, ended by the caller or by this VM, which had
// another response, or this VM reaches no replica.
func (t *requestTask) observeRampFailure(ctx context.Context, r fuchsiaspoke.Replica, sentAt time.Duration, err error) {
	cause := context.Cause(ctx)
	if t.Partition != nil && t.Partition.Partitioned() {
		return
	}
	if t.Ramps == nil || notSent(err) || t.callerCtx.Err() != nil || errors.Is(cause, errNotNeeded) || errors.Is(cause, errOtherAnswered) {
		return
	}
	t.Ramps.Observe(r, fuchsiaspoke.RampOutcome{SentAt: sentAt, Failed: true}, nil)
}

// rankReplicas returns the replicas in the order in which they are to be tried: by expected finish time where replicas state how long work
// takes, and else by the tracker alone.
func (t *requestTask) rankReplicas(replicas []fuchsiaspoke.Replica) []fuchsiaspoke.Replica {
	now := t.Clock()
	candidates := make([]estimator.Candidate, 0, len(replicas))
	for _, r := range replicas {
		candidates = append(candidates, estimator.Candidate{
			Replica: r, ErrorRate: t.Tracker.ErrorRate(r.ID), Failing: t.Tracker.Failing(now, r.ID),
		})
	}
	if ranked, known := t.estimator.Rank(now, candidates, !t.request.Route.Idempotent); known {
		return ranked
	}
	return t.Tracker.Rank(now, replicas)
}

// workFactor returns how many times the usual time work takes at the replica of a response; 0 if it does not state that.
func workFactor(info fuchsiaspoke.ResponseInfo) float64 {
	if info.Notice.Load == nil || info.Misdirected {
		return 0
	}
	return info.Notice.Load.WorkFactor()
}
