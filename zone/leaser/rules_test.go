package leaser

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// scriptedResponse is one response in a scripted run.
type scriptedResponse struct {
	grantor string
	sentAt  time.Duration
	ready   bool
	active  []int64
}

func (r scriptedResponse) deliverTo(l *Leaser) {
	requests := l.BuildRequests(r.sentAt, nil)
	l.HandleResponse(r.sentAt, fuchsiaspoke.LeaseResponse{
		From: r.grantor, Number: requests[0].Number, Ready: r.ready, ActiveRevisions: r.active,
	})
}

func newList(revision int64, ids ...string) fuchsiaspoke.VMList {
	list := fuchsiaspoke.VMList{Revision: revision}
	for _, id := range ids {
		list.VMs = append(list.VMs, fuchsiaspoke.VM{ID: id})
	}
	return list
}

func TestNewProcessIsReadyOnlyAfterMajorityResponds(t *testing.T) {
	const early, late = length / 2, 2 * length
	first := []int64{1}
	tests := []struct {
		name      string
		responses []scriptedResponse
		want      bool
	}{
		{"no response", nil, false},
		{"a majority before the waiting time", []scriptedResponse{{"b", early, true, first}, {"c", early, true, first}, {"d", early, true, first}}, false},
		{"less than a majority of others", []scriptedResponse{{"b", late, true, first}, {"c", late, true, first}}, false},
		{"a majority of others", []scriptedResponse{{"b", late, true, first}, {"c", late, true, first}, {"d", late, true, first}}, true},
		{"a majority that is not ready", []scriptedResponse{{"b", late, false, first}, {"c", late, false, first}, {"d", late, false, first}}, false},
		{"all", []scriptedResponse{{"b", late, false, first}, {"c", late, true, first}, {"d", late, false, first}, {"e", late, false, first}}, true},
	}
	for _, tt := range tests {
		l := Leaser{Self: "a", Incarnation: "a-1", Length: length}
		l.Adopt(0, newList(1, "a", "b", "c", "d", "e"))
		for _, response := range tt.responses {
			response.deliverTo(&l)
		}
		if got := l.Ready(late); got != tt.want {
			t.Errorf("%s: ready %v", tt.name, got)
		}
	}
}

func TestListRetiresOnlyAfterMajorityReportsNewerList(t *testing.T) {
	soon := length / 2
	second, unknown := []int64{2}, []int64{2, 3}
	tests := []struct {
		name      string
		responses []scriptedResponse
		want      []int64
	}{
		{"a majority", []scriptedResponse{{"b", 0, true, second}, {"c", soon, true, second}}, second},
		{"one", []scriptedResponse{{"b", 0, true, second}}, []int64{1, 2}},
		{"one of two with the old list", []scriptedResponse{{"b", 0, true, second}, {"c", soon, true, []int64{1}}}, []int64{1, 2}},
		{"one of two not ready", []scriptedResponse{{"b", 0, true, second}, {"c", soon, false, second}}, []int64{1, 2}},
		{"one of two with an unknown list", []scriptedResponse{{"b", 0, true, second}, {"c", soon, true, unknown}}, []int64{1, 2}},
		{"two a lease length apart", []scriptedResponse{{"b", 0, true, second}, {"c", length, true, second}}, []int64{1, 2}},
	}
	for _, tt := range tests {
		l := Leaser{Self: "z", Incarnation: "z-1", Length: length}
		l.Adopt(0, newList(1, "b", "c", "d"))
		l.Adopt(0, newList(2, "b", "c", "d"))
		for _, response := range tt.responses {
			response.deliverTo(&l)
		}
		l.BuildRequests(soon+length, nil)
		if !slices.Equal(l.ActiveRevisions(), []int64{1, 2}) {
			t.Errorf("%s: active revisions %v before the waiting time, want both", tt.name, l.ActiveRevisions())
		}
		l.BuildRequests(soon+2*length, nil)
		if !slices.Equal(l.ActiveRevisions(), tt.want) {
			t.Errorf("%s: active revisions %v", tt.name, l.ActiveRevisions())
		}
	}
}
