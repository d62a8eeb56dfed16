package membership

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// ReportToHubs returns the VMs to name in a heartbeat to hubs. Only VMs that this one hears are named, so that no report can
// return to its source and seem newer. A small fleet, in which all VMs hear each other, names them after a VM has joined or once they
// are nearly silent; a large one in turn.
func (m *Membership) ReportToHubs(now time.Duration, heartbeatNumber uint64) []fuchsiaspoke.ReportedPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	reportAll := now-m.lastJoin < reportAllDuration || len(m.peers) >= largeFleetSize
	reports := m.reportInTurn(now, heartbeatNumber, 1, func(p *peer) bool {
		if !p.EverHeard || p.LastHeard+reportSkew < p.LastHeartbeat {
			return false
		}
		return reportAll || !p.Hub || now-p.LastHeard > m.timeout()/2
	})
	for n := range reports {
		reports[n].Age = now - m.peers[reports[n].VM.ID].LastHeard
	}
	return reports
}

// ReportToLeaves returns the VMs to name in a heartbeat to leaves: all in turn, more at once after a VM has joined.
func (m *Membership) ReportToLeaves(now time.Duration, heartbeatNumber uint64) []fuchsiaspoke.ReportedPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportInTurn(now, heartbeatNumber, formingFactor, func(*peer) bool { return true })
}

// reportInTurn returns the VMs to name of those that the function selects: factor times maxReportedPeers while VMs join. Later only
// one in restInterval heartbeats names VMs that did not change.
func (m *Membership) reportInTurn(
	now time.Duration, heartbeatNumber uint64, factor int, selects func(*peer) bool,
) []fuchsiaspoke.ReportedPeer {
	if now-m.lastJoin < reportAllDuration || len(m.peers) < largeFleetSize {
		return m.report(now, heartbeatNumber, factor*maxReportedPeers, selects)
	}
	namesAll := heartbeatNumber%restInterval == 0
	return m.report(now, heartbeatNumber/restInterval, maxReportedPeers, func(p *peer) bool {
		return selects(p) && (namesAll || now-p.changedAt < changeReportDuration)
	})
}

// report returns at most size of the VMs that the function selects. Those that changed lately come first, but leave a third for
// others, if there are any; the number of the heartbeat selects a part of each.
func (m *Membership) report(now time.Duration, heartbeatNumber uint64, size int, selects func(*peer) bool) []fuchsiaspoke.ReportedPeer {
	var changed, others []*peer
	for _, id := range m.sortedIDs() {
		p := m.peers[id]
		m.noticeSilence(now, p)
		switch {
		case now-p.LastHeartbeat > peerRetention || !selects(p):
		case now-p.changedAt < changeReportDuration:
			changed = append(changed, p)
		default:
			others = append(others, p)
		}
	}
	chosen := page(changed, heartbeatNumber, max(size*2/3, size-len(others)))
	chosen = append(chosen, page(others, heartbeatNumber, size-len(chosen))...)
	out := make([]fuchsiaspoke.ReportedPeer, 0, len(chosen))
	for _, p := range chosen {
		out = append(out, fuchsiaspoke.ReportedPeer{
			VM: p.VM, Incarnation: p.Incarnation, Age: now - p.LastHeartbeat, Ready: p.Ready, Draining: p.Draining, Hub: p.Hub,
			Silent: p.silent, ReplicasUnreachable: p.ReplicasUnreachable,
		})
	}
	return out
}

// noticeSilence marks a VM as changed once it is no longer heard, after it was for a while, and nobody reports it.
func (m *Membership) noticeSilence(now time.Duration, p *peer) {
	wasContact := p.EverHeard && p.LastHeard-p.heardSince >= minContactDuration
	if !p.silent && wasContact && p.LastHeard+reportSkew >= p.LastHeartbeat && !m.heard(now, p) {
		p.silent, p.changedAt = true, now
	}
}

// page returns at most size of the items; the number selects which.
func page[T any](all []T, number uint64, size int) []T {
	if len(all) <= size || size <= 0 {
		return all[:min(max(size, 0), len(all))]
	}
	pages := uint64(len(all)+size-1) / uint64(size)
	start := int(number%pages) * size
	return all[start:min(start+size, len(all))]
}
