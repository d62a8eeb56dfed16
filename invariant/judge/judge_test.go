package judge_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/invariant/judge"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// cutRequest is sent to VM a at a time, passed on and cut at another time.
func cutRequest(sent, end time.Duration) fuchsiaspoke.ObservedRequest {
	return fuchsiaspoke.ObservedRequest{
		ID: "r", VM: "a", FirstByte: sent, LastByte: sent, End: end, TimeLimit: 15 * second, Status: 200,
		Runs: []fuchsiaspoke.ObservedRun{{Replica: "x", Begin: sent + 5*ms, End: end}},
	}
}

// VM a gets SIGTERM at 10 s; the grace period is 8 s.
func TestRequestsCutByStop(t *testing.T) {
	with := func(q fuchsiaspoke.ObservedRequest, change func(*fuchsiaspoke.ObservedRequest)) fuchsiaspoke.ObservedRequest {
		change(&q)
		return q
	}
	unsent := cutRequest(11*second, 11*second+201*ms)
	unsent.Runs, unsent.Status = nil, 0
	for _, c := range []struct {
		name        string
		request     fuchsiaspoke.ObservedRequest
		disruptions []fuchsiaspoke.ObservedDisruption
		lost        bool
	}{
		{name: "sent too late, cut with the process", request: cutRequest(13*second+ms, 17400*ms), lost: true},
		{name: "sent at the last moment, replica at work to the end", request: cutRequest(13*second, 17400*ms)},
		{name: "last byte sent too late", request: with(cutRequest(13*second, 17400*ms), func(q *fuchsiaspoke.ObservedRequest) { q.LastByte += ms }), lost: true},
		{name: "replica ended just before the last sixth", request: cutRequest(11*second, 16666*ms), lost: true},
		{name: "replica at work in the last sixth", request: cutRequest(11*second, 16667*ms)},
		{name: "sent before the stop and cut at once", request: cutRequest(9*second, 10*second), lost: true},
		{name: "cut before the stop", request: cutRequest(9*second, 10*second-ms)},
		{name: "cut after the process must be gone", request: cutRequest(13500*ms, 19*second+ms)},
		{name: "cut just then", request: cutRequest(13500*ms, 19*second), lost: true},
		{name: "at another VM", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.VM = "b" })},
		{name: "whole", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.Whole = true })},
		{name: "caller left", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.CallerLeft = true })},
		{name: "never sent whole", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.Unsent = true })},
		{name: "replica broke off", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.Runs[0].BrokeOff = true })},
		{name: "first replica broke off, second one cut", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) {
			q.Runs = append(q.Runs, fuchsiaspoke.ObservedRun{Replica: "y", Begin: 13501 * ms, End: 13600 * ms, BrokeOff: true})
		}), lost: true},
		{name: "time limit reached", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.TimeLimit = 3500 * ms })},
		{name: "just before the time limit", request: with(cutRequest(13500*ms, 17*second), func(q *fuchsiaspoke.ObservedRequest) { q.TimeLimit = 3501 * ms }), lost: true},
		{name: "not passed on, later than the slack", request: unsent, lost: true},
		{name: "not passed on, within the slack", request: with(unsent, func(q *fuchsiaspoke.ObservedRequest) { q.End -= ms })},
		{
			name: "VM disrupted shortly before", request: cutRequest(13500*ms, 17*second),
			disruptions: []fuchsiaspoke.ObservedDisruption{{VM: "a", Begin: 5 * second, End: 10500 * ms}},
		},
		{
			name: "VM disrupted long before", request: cutRequest(13500*ms, 17*second), lost: true,
			disruptions: []fuchsiaspoke.ObservedDisruption{{VM: "a", Begin: 5 * second, End: 10500*ms - 1}},
		},
		{
			name: "another VM disrupted", request: cutRequest(13500*ms, 17*second), lost: true,
			disruptions: []fuchsiaspoke.ObservedDisruption{{VM: "b", Begin: 5 * second, End: 15 * second}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := newJudge().Lost(fuchsiaspoke.RunRecord{
				Requests: []fuchsiaspoke.ObservedRequest{c.request}, Disruptions: c.disruptions,
				Stops: []fuchsiaspoke.ObservedStop{{VM: "a", Signal: 10 * second}},
			})
			if (len(lost) > 0) != c.lost {
				t.Errorf("found %+v, want a loss: %t", lost, c.lost)
			}
		})
	}
}

func newJudge() judge.Judge {
	return judge.Judge{Grace: 8 * second, LossSlack: 200 * ms, Contact: 3 * second, Apply: 2 * second}
}

func TestRequestsCutAfterReload(t *testing.T) {
	for _, c := range []struct {
		name    string
		request fuchsiaspoke.ObservedRequest
		lost    bool
	}{
		{"sent before, cut after", cutRequest(9*second, 10*second), true},
		{"sent before the settings are in force", cutRequest(12*second, 20*second), true},
		{"sent after that", cutRequest(12*second+ms, 20*second), false},
		{"cut before", cutRequest(9*second, 10*second-ms), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := newJudge().Lost(fuchsiaspoke.RunRecord{
				Requests: []fuchsiaspoke.ObservedRequest{c.request}, Reloads: []fuchsiaspoke.ObservedReload{{VM: "a", Signal: 10 * second}},
			})
			if (len(lost) > 0) != c.lost {
				t.Errorf("found %+v, want a loss: %t", lost, c.lost)
			}
		})
	}
}

// A publication counts only if requests are cut beside it over three times as often as at other times.
func TestRequestsCutBesidePublication(t *testing.T) {
	record := fuchsiaspoke.RunRecord{Publications: []fuchsiaspoke.ObservedPublication{{Sent: 100 * second, Acknowledged: 101 * second}}}
	whole := func(at time.Duration, n int) {
		for range n {
			q := cutRequest(at, at+second)
			q.Whole = true
			record.Requests = append(record.Requests, q)
		}
	}
	whole(10*second, 99)
	whole(100*second, 97)
	record.Requests = append(record.Requests, cutRequest(10*second, 11*second))
	cut := cutRequest(103*second, 104*second)
	record.Requests = append(record.Requests, cut, cut, cut)
	if lost := newJudge().Lost(record); len(lost) > 0 {
		t.Errorf("%d lost, want none: three times as often is not more", len(lost))
	}
	record.Requests = append(record.Requests, cut)
	if lost := newJudge().Lost(record); len(lost) != 4 {
		t.Errorf("%d lost, want the four beside the publication", len(lost))
	}
	for i := range record.Requests {
		record.Requests[i].TimeLimit = 1400 * ms
	}
	if lost := newJudge().Lost(record); len(lost) > 0 {
		t.Errorf("%d lost, want none after seven tenths of their time", len(lost))
	}
}

func wholeRequest(at time.Duration) fuchsiaspoke.ObservedRequest {
	q := cutRequest(at, at+second)
	q.Whole = true
	return q
}

// A VM was stopped and started again long before a publication.
func TestEarlierStopDoesNotExcuseCutsBesideLaterPublication(t *testing.T) {
	record := fuchsiaspoke.RunRecord{
		Publications: []fuchsiaspoke.ObservedPublication{{Sent: 100 * second, Acknowledged: 101 * second}},
		Stops:        []fuchsiaspoke.ObservedStop{{VM: "a", Signal: 10 * second}},
	}
	for range 50 {
		record.Requests = append(record.Requests, wholeRequest(50*second), wholeRequest(100*second))
	}
	for range 4 {
		record.Requests = append(record.Requests, cutRequest(101*second, 102*second))
	}
	if lost := newJudge().Lost(record); len(lost) != 4 {
		t.Errorf("%d lost, want the four beside the publication", len(lost))
	}
}

// The page excuses a request at which a replica was at work in the last sixth of the grace period, whatever planned work was beside.
func TestRequestThatOutlastsGraceIsExcusedBesideOtherPlannedWork(t *testing.T) {
	cut := cutRequest(11*second, 17400*ms)
	stop := []fuchsiaspoke.ObservedStop{{VM: "a", Signal: 10 * second}}
	t.Run("reload", func(t *testing.T) {
		if lost := newJudge().Lost(fuchsiaspoke.RunRecord{
			Requests: []fuchsiaspoke.ObservedRequest{cut}, Stops: stop,
			Reloads: []fuchsiaspoke.ObservedReload{{VM: "a", Signal: 9500 * ms}},
		}); len(lost) > 0 {
			t.Errorf("lost %+v", lost)
		}
	})
	t.Run("publication", func(t *testing.T) {
		cutBefore := cutRequest(8*second, 9*second)
		record := fuchsiaspoke.RunRecord{
			Requests: []fuchsiaspoke.ObservedRequest{cut, cutBefore, wholeRequest(2 * second)}, Stops: stop,
			Publications: []fuchsiaspoke.ObservedPublication{{Sent: 8 * second, Acknowledged: 15 * second}},
		}
		for _, b := range newJudge().Lost(record) {
			if b.Request.End == cut.End {
				t.Errorf("lost %+v", b)
			}
		}
	})
}
