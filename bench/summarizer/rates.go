package summarizer

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// tokenUse is a number of tokens that count against a client account's rate at a given time; a negative number returns
// tokens that were reserved but not used.
type tokenUse struct {
	at     time.Time
	tokens float64
}

// checkRates compares each client account's token use, computed from the upstreams' records, with its rate and burst.
func (s Summarizer) checkRates(sum *summary.Summary, runs map[string][]record.Record, accounts map[string]*accountFigures) {
	ran := make(map[string][]tokenUse)
	used := make(map[string][]tokenUse)
	reserved := make(map[string][]tokenUse)
	refused := make(map[string][]outcome.Outcome)
	for _, o := range s.Outcomes {
		if o.ErrorCode != "" && s.isMeasured(o.Intended) {
			refused[o.Account] = append(refused[o.Account], o)
		}
		requestRuns := runs[o.RecordKey]
		if len(requestRuns) == 0 {
			continue
		}
		tokens := 0.0
		for _, r := range requestRuns {
			for _, u := range tokenUses(o, r) {
				ran[o.Account] = append(ran[o.Account], u)
				tokens += u.tokens
			}
		}
		maxTokens := float64(o.CostTokens)
		used[o.Account] = append(used[o.Account], tokenUse{o.Intended, tokens})
		reserved[o.Account] = append(reserved[o.Account], tokenUse{o.Intended, maxTokens}, tokenUse{o.Intended.Add(o.Latency), tokens - maxTokens})
	}
	for _, load := range s.Scenario.AccountLoads {
		name := load.Account.Name
		a := accounts[name]
		a.figures.OvershootTokens = overshoot(load.Account, sortByTime(ran[name]))
		a.figures.RefusedWithinRate = countRefusedWithinRate(load.Account, s.LoadStart, sortByTime(used[name]), refused[name])
		a.figures.RefusedWithinReserved = countRefusedWithinRate(load.Account, s.LoadStart, sortByTime(reserved[name]), refused[name])
		for _, u := range used[name] {
			a.figures.TokensPerSecond += u.tokens / (s.Scenario.Warmup + s.Scenario.Duration).Seconds()
		}
		sum.OvershootTokens = max(sum.OvershootTokens, a.figures.OvershootTokens)
		sum.RefusedWithinRate += a.figures.RefusedWithinRate
		sum.RefusedWithinReserved += a.figures.RefusedWithinReserved
	}
}

func sortByTime(uses []tokenUse) []tokenUse {
	slices.SortStableFunc(uses, func(a, b tokenUse) int { return a.at.Compare(b.at) })
	return uses
}

// tokenUses distributes the tokens of a run over its duration: the prompt tokens at its start, the output tokens evenly
// until its end. A service call uses its cost at its start.
func tokenUses(o outcome.Outcome, r record.Record) []tokenUse {
	if o.Kind != "generation" {
		return []tokenUse{{r.Start, float64(o.CostTokens)}}
	}
	all := []tokenUse{{r.Start, float64(r.PromptTokens)}}
	took := r.End.Sub(r.Start)
	for i := range r.OutputTokens {
		at := r.Start.Add(took * time.Duration(i+1) / time.Duration(r.OutputTokens))
		all = append(all, tokenUse{at, 1})
	}
	return all
}

// overshoot returns the largest excess, over all time windows, of the token use in the window over the burst plus the
// rate times the length of the window.
//
// The level of a leaky bucket is the largest excess over the rate among all windows that end at the current time (Le
// Boudec and Thiran, "Network Calculus", 2001, section 1.2).
func overshoot(account fuchsiaspoke.ClientAccount, uses []tokenUse) float64 {
	level, maxExcess := 0.0, 0.0
	for i, u := range uses {
		if i > 0 {
			level = max(0, level-account.RateTokensPerSecond*u.at.Sub(uses[i-1].at).Seconds())
		}
		level += u.tokens
		maxExcess = max(maxExcess, level-account.BurstTokens)
	}
	return maxExcess
}

// countRefusedWithinRate replays a client account's leaky bucket over its token uses and counts the refused requests
// whose maximum cost the bucket could have admitted. Both slices must be in order of time.
//
// The leaky bucket is full at the start of the load, so that no tokens are available: the VMs have just started and may
// not know about earlier use.
func countRefusedWithinRate(account fuchsiaspoke.ClientAccount, loadStart time.Time, uses []tokenUse, refused []outcome.Outcome) int {
	level, withinRate, next := account.BurstTokens, 0, 0
	last := loadStart
	for _, o := range refused {
		for next < len(uses) && !uses[next].at.After(o.Intended) {
			level = max(0, drainedLevel(account, level, last, uses[next].at)+uses[next].tokens)
			last = uses[next].at
			next++
		}
		if drainedLevel(account, level, last, o.Intended)+float64(o.CostTokens) <= account.BurstTokens {
			withinRate++
		}
	}
	return withinRate
}

// drainedLevel returns the level of a leaky bucket at to, given its level at from.
func drainedLevel(account fuchsiaspoke.ClientAccount, level float64, from, to time.Time) float64 {
	return max(0, level-account.RateTokensPerSecond*to.Sub(from).Seconds())
}
