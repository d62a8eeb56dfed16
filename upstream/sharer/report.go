package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Report returns what this VM served, for its next heartbeat; nil unless two or more accounts wait here, or lately did at another VM.
func (s *Sharer) Report(now time.Duration) *fuchsiaspoke.ServedReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	contended := s.contended()
	if !contended && (s.contendedAt == 0 || now-s.contendedAt > contentionTimeout) {
		return nil
	}
	var costs []fuchsiaspoke.ServedCost
	for service, l := range s.ledgers {
		for _, a := range l.accounts {
			if a.served > 0 && now-a.servedAt <= retention {
				costs = append(costs, fuchsiaspoke.ServedCost{Service: service, Account: a.name, Cost: a.served})
			}
		}
	}
	slices.SortFunc(costs, func(a, b fuchsiaspoke.ServedCost) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	s.turn++
	return &fuchsiaspoke.ServedReport{Contended: contended, Costs: fuchsiaspoke.InTurn(costs, s.turn, maxReportedCosts)}
}

// contended reports whether two or more accounts wait at this VM's engines of one service.
func (s *Sharer) contended() bool {
	for _, l := range s.ledgers {
		if l.active && len(l.counters.Active()) > 1 {
			return true
		}
	}
	return false
}

// Merge adds what another VM served since its last report. The first report of an incarnation, and the first one after a gap, is only a
// base line, since it may count what was served before anything was contended.
func (s *Sharer) Merge(now time.Duration, vm, incarnation string, report *fuchsiaspoke.ServedReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Contended {
		s.contendedAt = now
	}
	p := s.peers[vm]
	if p == nil || p.incarnation != incarnation || now-p.heardAt > reportTimeout {
		p = &peer{incarnation: incarnation, costs: make(map[costKey]int64)}
		if s.peers == nil {
			s.peers = make(map[string]*peer)
		}
		s.peers[vm] = p
	}
	p.heardAt, s.heardAt = now, now
	for _, c := range report.Costs {
		key := costKey{c.Service, c.Account}
		last, known := p.costs[key]
		if known && c.Cost <= last {
			continue
		}
		p.costs[key] = c.Cost
		if l := s.ledgers[c.Service]; known && l != nil && l.active {
			l.account(c.Account).add(now, c.Cost-last)
		}
	}
}

// forget drops accounts that were served by other VMs alone, and peers, after the retention time. What this VM served is kept, since
// others would take a cost that begins anew for one that they have heard.
func (s *Sharer) forget(now time.Duration) {
	for _, l := range s.ledgers {
		maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return a.waiting == 0 && a.served == 0 && now-a.servedAt > retention })
	}
	maps.DeleteFunc(s.peers, func(_ string, p *peer) bool { return now-p.heardAt > retention })
}
