package recorder

import (
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func TestLateWriterKeepsTheLaterEvent(t *testing.T) {
	r := Recorder{Capacity: 4}
	r.once.Do(r.start)
	r.put(&entry{number: 5, event: fuchsiaspoke.Event{RequestID: "later"}})
	r.put(&entry{number: 1, event: fuchsiaspoke.Event{RequestID: "late"}})
	if events := r.Events(fuchsiaspoke.EventFilter{}); len(events) != 1 || events[0].RequestID != "later" {
		t.Errorf("kept %v", events)
	}
}
