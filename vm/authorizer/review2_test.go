package authorizer_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// A new contract turns a split round (90:10 to 10:90). Both services are still targets of the route; a stream that its caller resumes must
// go to the one that began it, as its record names that one and any other is refused.
func TestResumedStreamGoesToItsServiceAfterSplitIsTurnedRound(t *testing.T) {
	before, after := contract(), contract()
	after.Routes[0].Targets = []fuchsiaspoke.WeightedService{{Service: "a", Weight: 10}, {Service: "b", Weight: 90}}
	moved := 0
	const streams = 200
	for _, c := range []*fuchsiaspoke.Contract{before, after} {
		c.Accounts["school"] = fuchsiaspoke.AccountContract{Name: "school"}
	}
	for i := range streams {
		id := fmt.Sprint("begun-", i)
		begun, refused := newAuthorizer(before).Admit(fuchsiaspoke.Request{ID: id, Host: "h", Path: "/split/x", Key: "key"})
		if refused != nil {
			t.Fatal(refused)
		}
		resumed, refused := newAuthorizer(after).Admit(fuchsiaspoke.Request{
			ID: fmt.Sprint("resumed-", i), BegunBy: id, LastEvent: "3", Host: "h", Path: "/split/x", Key: "key",
		})
		if refused != nil {
			t.Fatal(refused)
		}
		if begun.Service != resumed.Service {
			moved++
		}
	}
	if moved > streams/2 {
		t.Errorf("%d of %d streams go to another service than the one that began them, and are refused", moved, streams)
	}
}
