package queuer

import (
	"fmt"
)

// countBypass adds the served entry's cost to the bypassed tokens of each bypassed account. The served account counts
// as bypassed too, unless the entry is its oldest runnable one, which resets its bypassed tokens.
func (q *Queuer) countBypass(served *account, e, oldest *entry) {
	for _, a := range q.bypassed {
		q.addBypass(a, maxCost(e))
	}
	if e == oldest {
		served.bypassedTokens = 0
		return
	}
	q.addBypass(served, maxCost(e))
}

// addBypass adds to the account's bypassed tokens and asserts that they stay within MaxBypassTokens.
func (q *Queuer) addBypass(a *account, tokens int64) {
	a.bypassedTokens += tokens
	if a.bypassedTokens > MaxBypassTokens {
		q.reportViolation(fmt.Sprintf("client account %s bypassed by %d weighted tokens", a.name, a.bypassedTokens))
	}
}

// liftLagging raises the counters of waiting accounts to at least the served account's counter minus MaxLagTokens, and
// asserts this bound.
func (q *Queuer) liftLagging(served *account) {
	limit := served.counter.Tokens - MaxLagTokens
	if lowest := q.counters.LiftLagging(limit); lowest != nil && lowest.Tokens < limit {
		q.reportViolation("client account " + lowest.Value.name + " lags the served account by more than the bound")
	}
}

// maxCost returns an upper bound on what a request adds to its account's counter.
func maxCost(e *entry) int64 {
	return PromptWeight*e.generation.PromptTokens + OutputWeight*e.generation.MaxOutputTokens
}
