package leaser

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// heard is one answer in a scripted run.
type heard struct {
	from  string
	sent  time.Duration
	ready bool
	chain []int64
}

func (h heard) answerTo(l *Leaser) {
	asks := l.Ask(h.sent, nil)
	l.Hear(h.sent, fuchsiaspoke.LeaseAnswer{From: h.from, Number: asks[0].Number, Ready: h.ready, Chain: h.chain})
}

func listOf(revision int64, ids ...string) fuchsiaspoke.VMList {
	list := fuchsiaspoke.VMList{Revision: revision}
	for _, id := range ids {
		list.VMs = append(list.VMs, fuchsiaspoke.VM{ID: id})
	}
	return list
}

func TestFreshProcessLearnsBeforeItGrants(t *testing.T) {
	const early, late = length / 2, 2 * length
	first := []int64{1}
	tests := []struct {
		name    string
		answers []heard
		want    bool
	}{
		{"nobody", nil, false},
		{"a majority before the wait", []heard{{"b", early, true, first}, {"c", early, true, first}, {"d", early, true, first}}, false},
		{"less than a majority of others", []heard{{"b", late, true, first}, {"c", late, true, first}}, false},
		{"a majority of others", []heard{{"b", late, true, first}, {"c", late, true, first}, {"d", late, true, first}}, true},
		{"a fresh majority", []heard{{"b", late, false, first}, {"c", late, false, first}, {"d", late, false, first}}, false},
		{"all", []heard{{"b", late, false, first}, {"c", late, true, first}, {"d", late, false, first}, {"e", late, false, first}}, true},
	}
	for _, tt := range tests {
		l := Leaser{Self: "a", Incarnation: "a-1", Length: length}
		l.Adopt(0, listOf(1, "a", "b", "c", "d", "e"))
		for _, h := range tt.answers {
			h.answerTo(&l)
		}
		if got := l.Ready(late); got != tt.want {
			t.Errorf("%s: ready %v", tt.name, got)
		}
	}
}

func TestSealNeedsMajorityBeyond(t *testing.T) {
	soon := length / 2
	second, unknown := []int64{2}, []int64{2, 3}
	tests := []struct {
		name    string
		answers []heard
		want    []int64
	}{
		{"a majority", []heard{{"b", 0, true, second}, {"c", soon, true, second}}, second},
		{"one", []heard{{"b", 0, true, second}}, []int64{1, 2}},
		{"one still there", []heard{{"b", 0, true, second}, {"c", soon, true, []int64{1}}}, []int64{1, 2}},
		{"one fresh", []heard{{"b", 0, true, second}, {"c", soon, false, second}}, []int64{1, 2}},
		{"one with an unknown list", []heard{{"b", 0, true, second}, {"c", soon, true, unknown}}, []int64{1, 2}},
		{"one too long ago", []heard{{"b", 0, true, second}, {"c", length, true, second}}, []int64{1, 2}},
	}
	for _, tt := range tests {
		l := Leaser{Self: "z", Incarnation: "z-1", Length: length}
		l.Adopt(0, listOf(1, "b", "c", "d"))
		l.Adopt(0, listOf(2, "b", "c", "d"))
		for _, h := range tt.answers {
			h.answerTo(&l)
		}
		l.Ask(soon+length, nil)
		if !slices.Equal(l.Chain(), []int64{1, 2}) {
			t.Errorf("%s: sealed before the wait: %v", tt.name, l.Chain())
		}
		l.Ask(soon+2*length, nil)
		if !slices.Equal(l.Chain(), tt.want) {
			t.Errorf("%s: chain %v", tt.name, l.Chain())
		}
	}
}
