package historian_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/historian"
)

// published returns a state in which a service has replicas of the given software versions.
func published(versions ...string) *fuchsiaspoke.PublishedState {
	p := &fuchsiaspoke.PublishedState{Replicas: map[string]fuchsiaspoke.Replica{}}
	for _, v := range versions {
		p.Replicas[v] = fuchsiaspoke.Replica{ID: v, Service: "texts", SoftwareVersion: v}
	}
	return p
}

// observeUntil has the state be published from one time to another.
func observeUntil(h *historian.Historian, from, to time.Duration, p *fuchsiaspoke.PublishedState) {
	for at := from; at <= to; at += time.Second {
		h.Observe(at, p)
	}
}

func TestVersionThatLeftCountsForLifetimeOfStreams(t *testing.T) {
	var h historian.Historian
	h.Observe(time.Second, published("v1"))
	if v, certain := h.Only(2*time.Second, "texts"); v != "v1" || certain {
		t.Errorf("a process that has just started: %q, certain %v, want v1, not certain", v, certain)
	}
	observeUntil(&h, 2*time.Second, 59*time.Second, published("v1"))
	h.Observe(60*time.Second, published("v1", "v2"))
	if !h.Mixed(60*time.Second, "texts") {
		t.Error("two versions are published, and Mixed is false")
	}
	h.Observe(61*time.Second, published("v2"))
	if !h.Mixed(61*time.Second+historian.StreamLifetime/2, "texts") {
		t.Error("streams of v1 may still be resumed, and Mixed is false")
	}
	later := 61*time.Second + 2*historian.StreamLifetime
	observeUntil(&h, 62*time.Second, later, published("v2"))
	if v, certain := h.Only(later, "texts"); v != "v2" || !certain || h.Mixed(later, "texts") {
		t.Errorf("long after v1 left: %q, certain %v, want v2, certain", v, certain)
	}
}

func TestFirstStartKnowsThatNoStreamBeganBefore(t *testing.T) {
	h := historian.Historian{FirstStart: true}
	if _, certain := h.Only(time.Second, "texts"); certain {
		t.Error("certain before anything was published")
	}
	h.Observe(time.Second, published("v1"))
	if v, certain := h.Only(time.Second, "texts"); v != "v1" || !certain {
		t.Errorf("%q, certain %v, want v1, certain", v, certain)
	}
}
