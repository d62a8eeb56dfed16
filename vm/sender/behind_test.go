package sender_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// wakingAndBreaking returns an engine that is silent after the event last for longer than another one needs to be looked for, then sends the
// next event and breaks off at once.
func wakingAndBreaking(last int) engine {
	return func(w http.ResponseWriter, q *http.Request, from int) {
		sendEvents(w, from, last)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(1700 * time.Millisecond)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", last+1, last+1)
		_, _ = fmt.Fprintf(buffered, "%x\r\n%s\r\n", len(event), event)
		_ = buffered.Flush()
	}
}

// slowEngine sends all events after a moment.
func slowEngine(w http.ResponseWriter, _ *http.Request, from int) {
	time.Sleep(600 * time.Millisecond)
	sendEvents(w, from, streamEvents)
}

// A stalled engine sends one more event and breaks off while its replacement opens, which goes on where the stream stood before that event. A VM
// has one core.
func TestReplacementOpenedBeforeLastEventIsNotUsed(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	f := newTakeover(t, 3, wakingAndBreaking(3), slowEngine, soundEngine)
	f.serveMany(t, func() {
		out := &streamWriter{}
		_ = f.serve(out)
		if n := strings.Count(out.body.String(), "piece 4\n"); n > 1 {
			t.Errorf("piece 4 comes %d times: %q", n, out.body.String())
		}
	})
}

// As above, before the first event: the replacement may be of any software version, since no stream had begun when it was looked for.
func TestReplacementOpenedBeforeFirstEventDoesNotMixSoftwareVersions(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	v2 := func(w http.ResponseWriter, q *http.Request, from int) {
		time.Sleep(600 * time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := from + 1; n <= streamEvents; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: other %d\n\n", n, n)
		}
	}
	f := newTakeover(t, 3, wakingAndBreaking(0), v2)
	for i, version := range []string{"v1", "v2"} {
		f.replicas[i].SoftwareVersion = version
		f.Published().Replicas[f.replicas[i].ID] = f.replicas[i]
	}
	f.serveMany(t, func() {
		out := &streamWriter{}
		_ = f.serve(out)
		if body := out.body.String(); strings.Contains(body, "piece") && strings.Contains(body, "other") {
			t.Errorf("events of two software versions: %q", body)
		}
	})
}
