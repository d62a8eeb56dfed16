package recorder

import (
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func TestStoreKeepsNewerEventWhenOlderWriterIsDelayed(t *testing.T) {
	r := Recorder{Capacity: 4}
	r.once.Do(r.initialize)
	r.store(&entry{sequence: 5, event: fuchsiaspoke.Event{RequestID: "newer"}})
	r.store(&entry{sequence: 1, event: fuchsiaspoke.Event{RequestID: "older"}})
	if events := r.Events(fuchsiaspoke.EventFilter{}); len(events) != 1 || events[0].RequestID != "newer" {
		t.Errorf("got events %v, want only the newer one", events)
	}
}
