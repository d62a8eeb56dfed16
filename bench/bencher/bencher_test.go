package bencher_test

import (
	"context"
	"flag"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/baseline"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/bencher"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
	"go.uber.org/goleak"
)

var seed = flag.Int64("seed", 1, "seed of the load")

// TestBaselinesAreMeasuredAndOnlyAloneExceedsTheRate checks that a run yields consistent results and that these
// distinguish rate-limiting policies: where each VM admits the full rate of a client account, the VMs together exceed
// it.
func TestBaselinesAreMeasuredAndOnlyAloneExceedsTheRate(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, ok := scenario.Find("saathi")
	if !ok {
		t.Fatal("scenario saathi not found")
	}
	s = s.WithTimes(500*time.Millisecond, 2*time.Second).WithSize(3, 2)
	s.Adapters, s.MaxOutputTokens = 4, 20
	for i := range s.AccountLoads {
		s.AccountLoads[i].Account.BurstTokens /= 20
	}
	for name, policy := range map[string]baseline.Baseline{"split": {}, "alone": {Alone: true, ByHash: true}} {
		b := bencher.Bencher{Scenario: s, Seed: *seed, Variant: name, StartVM: policy.Run}
		got, err := b.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if got.Completed == 0 || got.Completed+got.Refused+got.Truncated != got.Requests || got.WrongAnswers != 0 || got.DuplicatePayments != 0 {
			t.Errorf("%s: counts are zero, inconsistent or show wrong answers or duplicate payments: %+v", name, got)
		}
		if got.TimeToFirstToken.P50 <= 0 || got.BatchOccupancy <= 0 || got.Loads == 0 || len(got.Accounts) != len(s.AccountLoads) {
			t.Errorf("%s: first-token time, batch occupancy, adapter loads or client accounts are missing: %+v", name, got)
		}
		if exceeded := got.OvershootTokens > 0; exceeded != policy.Alone {
			t.Errorf("%s: overshoot is %.0f tokens, want it above zero only for alone", name, got.OvershootTokens)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
