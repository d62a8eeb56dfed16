package entry

// updateFairQueueing decides for each engine service whether the rates of the client accounts exceed what its engines read together, so
// that fair queueing is active there. Accounts without a rate state no demand.
func (e *Entry) updateFairQueueing() {
	p := e.watcher.Published()
	if p.Contract == nil {
		return
	}
	accountRates := 0.0
	for _, a := range p.Contract.Accounts {
		accountRates += max(a.TokensPerSecond, 0)
	}
	for name, service := range p.Contract.Services {
		if service.Engine == nil {
			continue
		}
		engines, views, tokensPerMs := p.ReadyReplicas(name), 0, 0.0
		for _, r := range engines {
			if view, _, known := e.requester.View(r.ID); known && view.PrefillTokensPerMs > 0 {
				views++
				tokensPerMs += view.PrefillTokensPerMs
			}
		}
		if views == 0 {
			continue
		}
		engineRate := tokensPerMs / float64(views) * 1000 * float64(len(engines))
		active, changed := e.sharer.SetCapacity(name, accountRates, engineRate)
		if !changed {
			continue
		}
		e.CountEvent("fair_queueing_changed")
		e.Log("fair queueing changed", "service", name, "active", active, "account_tokens_per_s", int64(accountRates),
			"engine_tokens_per_s", int64(engineRate), "engines", len(engines), "views", views)
	}
}
