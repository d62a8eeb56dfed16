package sender

import (
	"context"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// findOrigin finds the service and the software version at which a stream began that the caller resumes. It refuses the request if they
// are unknown, or the route no longer leads to the service: what two software versions make of one stream doesn't fit together.
func (t *requestTask) findOrigin(ctx context.Context) error {
	if t.request.LastEvent == "" || !t.request.Route.Streaming || !t.request.Route.Resumable {
		return nil
	}
	t.Count("stream_resumed_by_caller")
	t.Log("stream resumed by its caller", "request", t.request.ID, "begun_by", t.request.BegunBy, "last_event", t.request.LastEvent)
	origin, known := t.Origins.Find(ctx, t.request.BegunBy, t.request.Service)
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

// recordOrigin notes the software version at which the request's stream began.
func (t *requestTask) recordOrigin(softwareVersion string) {
	if !t.request.Route.Streaming || !t.request.Route.Resumable {
		return
	}
	origin := fuchsiaspoke.StreamOrigin{Service: t.request.Service, SoftwareVersion: softwareVersion}
	t.Origins.Record(t.request.ID, origin, t.request.Deadline-t.Clock())
}
