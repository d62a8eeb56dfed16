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

// TestRunMeasuresTheBaselines also shows that the figures tell policies apart: alone, VMs give out too many tokens.
func TestRunMeasuresTheBaselines(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, ok := scenario.Find("saathi")
	if !ok {
		t.Fatal("no scenario saathi")
	}
	s = s.WithTimes(500*time.Millisecond, 2*time.Second).WithSize(3, 2)
	s.Adapters, s.MaxOutputTokens = 4, 20
	for i := range s.Tenants {
		s.Tenants[i].Account.BurstTokens /= 20
	}
	for name, policy := range map[string]baseline.Baseline{"split": {}, "alone": {Alone: true, ByHash: true}} {
		b := bencher.Bencher{Scenario: s, Seed: *seed, Variant: name, StartVM: policy.Run}
		got, err := b.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if got.Whole == 0 || got.Whole+got.Refused+got.Cut != got.Requests || got.Wrong != 0 || got.DuplicatePayment != 0 {
			t.Errorf("%s: %+v", name, got)
		}
		if got.FirstToken.P50 <= 0 || got.BatchOccupancy <= 0 || got.Loads == 0 || len(got.Accounts) != len(s.Tenants) {
			t.Errorf("%s: %+v", name, got)
		}
		if over := got.OvershootTokens > 0; over != policy.Alone {
			t.Errorf("%s: overshoot of %.0f tokens", name, got.OvershootTokens)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
