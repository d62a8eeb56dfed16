package watcher_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// watchRecorder records when watches of the platform end.
type watchRecorder struct {
	*fakePlatform
	mu   sync.Mutex
	ends []time.Time
}

func (r *watchRecorder) Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error) {
	list, err := r.fakePlatform.Watch(ctx, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, time.Now())
	return list, err
}

// largestGap returns the longest time between two ends of watches since the time after.
func (r *watchRecorder) largestGap(after time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap, last := time.Duration(0), after
	for _, end := range slices.SortedFunc(slices.Values(r.ends), time.Time.Compare) {
		if end.After(after) {
			gap, last = max(gap, end.Sub(last)), end
		}
	}
	return gap
}

// Readers that start at once would all read at the same time, so that what other VMs know is up to a whole interval old.
func TestReadersReadInTurns(t *testing.T) {
	const interval, heartbeatInterval, delay = 600 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond
	for _, readers := range []int{2, 3, 5} {
		synctest.Test(t, func(t *testing.T) {
			p := &watchRecorder{fakePlatform: &fakePlatform{}}
			p.publish(contractPublication(1))
			var vms []*watcher.Watcher
			for range readers {
				vms = append(vms, runWatcher(t, &watcher.Watcher{Platform: p, PropagationLimit: changeLimit}))
			}
			start := time.Now()
			for time.Since(start) < 30*interval {
				var sent []fuchsiaspoke.Reading
				for _, vm := range vms {
					known := vm.Published()
					sent = append(sent, known.Reading.WithAge(vm.Clock()-known.ReadAt))
				}
				time.Sleep(delay)
				for n, vm := range vms {
					for _, reading := range slices.Delete(slices.Clone(sent), n, n+1) {
						vm.ConfirmRevision(revision(1), reading)
					}
				}
				time.Sleep(heartbeatInterval - delay)
			}
			gap, want := p.largestGap(start.Add(20*interval)), interval*3/2/time.Duration(readers)
			t.Logf("%d readers: the longest time without a read is %v", readers, gap)
			if gap > want {
				t.Errorf("%d readers: the longest time without a read is %v, want at most %v", readers, gap, want)
			}
		})
	}
}
