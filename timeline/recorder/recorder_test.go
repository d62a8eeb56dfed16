package recorder_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/recorder"
)

func ExampleRecorder_Events() {
	r := recorder.Recorder{VM: "vm-1", Clock: &clock.Clock{Wall: func() int64 { return 7 }}}
	r.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAdmitted, RequestID: "r1", Account: "saathi"})
	r.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventSent, RequestID: "r1", Upstream: "engine-1", Detail: "Authorization: Bearer abc"})
	for _, e := range r.Events(fuchsiaspoke.EventFilter{RequestID: "r1"}) {
		fmt.Printf("%d.%d %s %s %q\n", e.WallNanos, e.Logical, e.VM, e.Kind, e.Detail)
	}
	// Output:
	// 7.0 vm-1 admitted ""
	// 7.1 vm-1 sent "Authorization: Bearer [redacted]"
}

func TestFullRingDropsOldestEventsAndCountsThem(t *testing.T) {
	const writers, each, capacity = 8, 2000, 512
	r := recorder.Recorder{Capacity: capacity}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				r.Record(fuchsiaspoke.Event{RequestID: fmt.Sprint(w), Tokens: int64(i)})
				if i%500 == 0 {
					r.Events(fuchsiaspoke.EventFilter{})
				}
			}
		})
	}
	wg.Wait()
	events := r.Events(fuchsiaspoke.EventFilter{})
	if len(events) != capacity || r.Dropped() != writers*each-capacity {
		t.Fatalf("%d events stored and %d dropped, want as many stored as the capacity and the others dropped", len(events), r.Dropped())
	}
	last := map[string]int64{}
	for _, e := range events {
		if before, ok := last[e.RequestID]; ok && e.Tokens <= before {
			t.Fatalf("writer %s: event %d is listed after event %d", e.RequestID, e.Tokens, before)
		}
		last[e.RequestID] = e.Tokens
	}
}

func TestRecordRedactsKeyMaterialInDetail(t *testing.T) {
	secrets := []string{
		"sk-Ab3dEf6hIj9kLmNoPqRs", strings.Repeat("0af", 22), "c0ffee00-1234-5678-9abc-def012345678",
		"abcdefghijklmnopqrstuvwxyz012345", "x1", "hunter2",
	}
	formats := []string{"Bearer %s", "authorization: bearer %s", "GET /a?api_key=%s&b=c", "key: %s", "cookie=\"%s\"\nnext"}
	for _, secret := range secrets {
		for _, format := range formats {
			r := recorder.Recorder{Capacity: 1}
			r.Record(fuchsiaspoke.Event{Detail: fmt.Sprintf(format, secret)})
			if got := r.Events(fuchsiaspoke.EventFilter{})[0].Detail; strings.Contains(got, secret) || strings.Contains(got, "\n") {
				t.Errorf("detail is %q, want the secret redacted and no line break", got)
			}
		}
	}
	plain := "send to upstream 127.0.0.1:9000: adapter saathi-kathmandu-welcome-guide-0001@7, key withdrawn, token bucket empty"
	r := recorder.Recorder{Capacity: 1}
	r.Record(fuchsiaspoke.Event{Detail: plain})
	if got := r.Events(fuchsiaspoke.EventFilter{})[0].Detail; got != plain {
		t.Errorf("detail is %q, want it unchanged", got)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := recorder.Recorder{}
	e := fuchsiaspoke.Event{Kind: fuchsiaspoke.EventSent, RequestID: "r1", Detail: "adapter saathi-guide@7 on engine-1"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
}
