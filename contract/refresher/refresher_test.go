package refresher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/refresher"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	changeLimit       = 3 * time.Second
)

// silentPlatform answers no call.
type silentPlatform struct{}

func (silentPlatform) List(ctx context.Context) (fuchsiaspoke.PublicationList, error) {
	<-ctx.Done()
	return fuchsiaspoke.PublicationList{}, ctx.Err()
}

func (silentPlatform) Watch(ctx context.Context, _ int64, _ time.Duration) (fuchsiaspoke.PublicationList, error) {
	<-ctx.Done()
	return fuchsiaspoke.PublicationList{}, ctx.Err()
}

func discard(string, ...any) {}

// startWatcher runs a watcher that the platform does not answer and that has the contract version 1.
func startWatcher(t *testing.T) *watcher.Watcher {
	started := time.Now()
	w := &watcher.Watcher{
		Platform: silentPlatform{}, PropagationLimit: changeLimit, IsReader: func() bool { return false }, Log: discard,
		Clock: func() time.Duration { return time.Since(started) },
	}
	w.ApplyRelay(&fuchsiaspoke.Contract{Version: 1}, fuchsiaspoke.PublicationRelay{Revision: fuchsiaspoke.Revision{Number: 1}, Whole: true}, "hub")
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return w
}

// relayOfVersion2 is what a VM relays that has the contract version 2.
func relayOfVersion2() fuchsiaspoke.PublicationRelay {
	return fuchsiaspoke.PublicationRelay{
		Revision: fuchsiaspoke.Revision{Number: 2}, ContractVersion: 2, ContractRaw: []byte("2"), Whole: true,
	}
}

// Two hubs send heartbeats at the same rate, and pulls from the first one get no response, as after its restart.
func TestPullFromHubThatDoesNotAnswerKeepsNoOtherPullBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t)
		r := &refresher.Refresher{
			Watcher: w, Log: discard, Clock: w.Clock,
			Decode: func([]byte) (*fuchsiaspoke.Contract, error) { return &fuchsiaspoke.Contract{Version: 2}, nil },
			Pull: func(ctx context.Context, vm fuchsiaspoke.VM, _ fuchsiaspoke.PublicationQuery) (fuchsiaspoke.PublicationRelay, error) {
				if vm.ID == "hub_1" {
					<-ctx.Done()
					return fuchsiaspoke.PublicationRelay{}, ctx.Err()
				}
				return relayOfVersion2(), nil
			},
		}
		for number, end := uint64(1), time.Now().Add(changeLimit); time.Now().Before(end); number++ {
			for _, hub := range []string{"hub_1", "hub_2"} {
				r.Observe(fuchsiaspoke.VMState{
					VM: fuchsiaspoke.VM{ID: hub}, Incarnation: hub, HeartbeatNumber: number, ContractVersion: 2, Revision: fuchsiaspoke.Revision{Number: 2},
				})
				time.Sleep(heartbeatInterval / 6)
			}
			time.Sleep(heartbeatInterval * 2 / 3)
		}
		if v := w.Published().Contract.Version; v != 2 {
			t.Errorf("contract version %d in force %v after heartbeats named version 2", v, changeLimit)
		}
	})
}
