package sender

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// unservableRetryAfter is the Retry-After of requests that no replica may receive. The end of that state is not known; callers that come
// back after a second lose little once it ends, and load the VMs little until then.
const unservableRetryAfter = time.Second

// isAllowed reports whether the request may reach the replica's region.
func (t *requestTask) isAllowed(r fuchsiaspoke.Replica) bool {
	return fuchsiaspoke.RegionAllowed(t.request.Regions, t.Regions[r.Zone])
}

// resumesIn returns the time until the first replica takes the request again; 0 if this VM may send to one now, or if none is ready.
func (t *requestTask) resumesIn() time.Duration {
	if t.request.Regions == nil {
		return t.Permitter.ResumesIn(t.request.Service)
	}
	notAllowed := func(r fuchsiaspoke.Replica) bool { return !t.isAllowed(r) }
	return t.Permitter.SoonestOf(slices.DeleteFunc(t.Published().ReadyReplicas(t.request.Service), notAllowed))
}

// refuseUnservable returns the refusal of a request whose service has ready replicas none of which may receive it: they are in regions that
// are not allowed, or in evacuated zones. It returns nil if there is no such cause. It must not be called after a replica may have run the
// request.
func (t *requestTask) refuseUnservable() *fuchsiaspoke.Refusal {
	p := t.Published()
	ready, allowed, usable := 0, 0, 0
	for _, r := range p.Replicas {
		if r.Service != t.request.Service || r.State != fuchsiaspoke.ReplicaReady {
			continue
		}
		ready++
		if t.isAllowed(r) {
			allowed++
			if !p.Evacuated(r.Zone) {
				usable++
			}
		}
	}
	if ready == 0 || usable > 0 {
		return nil
	}
	refusal := fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeZoneEvacuated, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
		Message: "all replicas of the service that the request may reach are in evacuated availability zones",
	}
	if allowed == 0 {
		refusal.Code, refusal.Message = fuchsiaspoke.CodeNoAllowedRegion, "no replica of the service is in a region that the request may reach"
	}
	t.Log("no replica may receive the request", "request", t.request.ID, "service", t.request.Service, "code", string(refusal.Code),
		"ready", ready, "in_allowed_regions", allowed, "regions", t.request.Regions, "revision", p.Revision.String(),
		"read_ms_ago", (t.Clock() - p.ReadAt).Milliseconds())
	return refusal.WithRetryAfter(spreadRetryAfter(unservableRetryAfter))
}
