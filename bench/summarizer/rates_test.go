package summarizer

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var seed = flag.Int64("seed", 1, "seed of the property tests")

var testAccount = fuchsiaspoke.ClientAccount{Name: "guild", RateTokensPerSecond: 50, BurstTokens: 100}

// usesAt returns uses of the given numbers of tokens at intervals of 100 ms.
func usesAt(tokens []int64) []tokenUse {
	var uses []tokenUse
	for i, n := range tokens {
		uses = append(uses, tokenUse{time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond), float64(n)})
	}
	return uses
}

func TestOvershootEqualsMaximumOverAllWindows(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*seed)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("overshoot equals an exhaustive search over all windows", prop.ForAll(
		func(tokens []int64) bool {
			uses := usesAt(tokens)
			worst := 0.0
			for i := range uses {
				sum := 0.0
				for j := i; j < len(uses); j++ {
					sum += uses[j].tokens
					allowed := testAccount.BurstTokens + testAccount.RateTokensPerSecond*uses[j].at.Sub(uses[i].at).Seconds()
					worst = max(worst, sum-allowed)
				}
			}
			return math.Abs(worst-overshoot(testAccount, uses)) < 1e-6
		},
		gen.SliceOf(gen.Int64Range(0, 60)),
	))
	properties.Property("requests that a leaky bucket refuses are not counted as refused within the rate", prop.ForAll(
		func(costs []int64) bool {
			level, last := testAccount.BurstTokens, time.Unix(0, 0)
			var served []tokenUse
			var refused []outcome.Outcome
			for _, u := range usesAt(costs) {
				level = drainedLevel(testAccount, level, last, u.at)
				last = u.at
				if level+u.tokens <= testAccount.BurstTokens {
					level += u.tokens
					served = append(served, u)
					continue
				}
				refused = append(refused, outcome.Outcome{Intended: u.at, CostTokens: int64(u.tokens)})
			}
			return countRefusedWithinRate(testAccount, time.Unix(0, 0), served, refused) == 0 && overshoot(testAccount, served) == 0
		},
		gen.SliceOf(gen.Int64Range(1, 60)),
	))
	properties.TestingRun(t)
}

func TestOnlyRefusalsThatFitTheRateAreCounted(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	served := []tokenUse{{at(0), 90}}
	refused := []outcome.Outcome{
		{Intended: at(0.1), CostTokens: 20}, // The bucket is at 85, and 85+20 exceeds the burst.
		{Intended: at(0.2), CostTokens: 20}, // The bucket is at 80, and 80+20 fits the burst.
		{Intended: at(9), CostTokens: 101},  // The cost alone exceeds the burst.
	}
	if got := countRefusedWithinRate(testAccount, at(-2), served, refused); got != 1 {
		t.Errorf("%d refusals counted within the rate, want 1", got)
	}
}
