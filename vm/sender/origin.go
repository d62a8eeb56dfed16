package sender

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/versionassigner"
)

// findOrigin finds the service and the software version at which a stream began that the caller resumes. It refuses the request if they
// are unknown, or the route no longer leads to the service: what two software versions make of one stream doesn't fit together.
func (t *requestTask) findOrigin(ctx context.Context) error {
	if t.request.LastEvent == "" || !t.request.Route.Streaming || !t.request.Route.Resumable {
		return nil
	}
	t.Count("stream_resumed_by_caller")
	t.Log("stream resumed by its caller", "request", t.request.ID, "begun_by", t.request.BegunBy, "last_event", t.request.LastEvent)
	origin, known := t.Origins.Find(ctx, fuchsiaspoke.StreamQuestion{
		BegunBy: t.request.BegunBy, Service: t.request.Service, Recall: t.recallAssignment,
	})
	if known && (origin.Service == t.request.Service || t.request.Route.LeadsTo(origin.Service)) {
		t.request.Service = origin.Service
		t.resumed = &streamPosition{lastEvent: t.request.LastEvent, softwareVersion: origin.SoftwareVersion}
		return nil
	}
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNotResumable, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
		Message: "the software version at which the stream began is not known; send the request anew from its beginning",
	}.WithRetryAfter(defaultRetryAfter)
}

// assignedPosition returns the position of a new stream that has to begin at the engines of one software version, and nil if it may begin at any:
// it can't be resumed, or the engines have one version.
func (t *requestTask) assignedPosition() *streamPosition {
	if !t.request.Route.Streaming || !t.request.Route.Resumable {
		return nil
	}
	a := versionassigner.VersionAssigner{}
	version, several := a.Assign(a.Key(t.request.Demand, t.request.ID), t.allowedEngines())
	if !several {
		return nil
	}
	return &streamPosition{softwareVersion: version}
}

// allowedEngines returns the ready engines that the request may reach.
func (t *requestTask) allowedEngines() []fuchsiaspoke.Replica {
	return slices.DeleteFunc(t.Published().ReadyReplicas(t.request.Service), func(r fuchsiaspoke.Replica) bool { return !t.isAllowed(r) })
}

// recallAssignment returns the software version to which the stream that the caller resumes was assigned, if it is certain which engines were
// ready when it began. It began no longer ago than its route's timeout.
func (t *requestTask) recallAssignment(departed []fuchsiaspoke.Replica) (version string, found bool) {
	if t.request.Demand.Model == "" || !t.isEngineService(t.request.Service) {
		return "", false
	}
	a, p := versionassigner.VersionAssigner{}, t.Published()
	var certain []fuchsiaspoke.Replica
	uncertain := slices.Clone(departed)
	for _, r := range p.Replicas {
		_, wasEvacuated := p.EvacuationEnds[r.Zone]
		switch {
		case r.Service != t.request.Service || !t.isAllowed(r):
		case r.State == fuchsiaspoke.ReplicaReady && !p.Evacuated(r.Zone) && !wasEvacuated && a.RunsSince(r, time.Now(), t.request.Route.Timeout):
			certain = append(certain, r)
		default:
			uncertain = append(uncertain, r)
		}
	}
	return a.Recall(a.Key(t.request.Demand, t.request.BegunBy), certain, uncertain)
}

// recordOrigin notes the software version at which the request's stream began.
func (t *requestTask) recordOrigin(softwareVersion string) {
	if !t.request.Route.Streaming || !t.request.Route.Resumable {
		return
	}
	origin := fuchsiaspoke.StreamOrigin{Service: t.request.Service, SoftwareVersion: softwareVersion}
	t.Origins.Record(t.request.ID, origin, t.request.Deadline-t.Clock())
}
