package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxWitnesses is the number of VMs kept for each other VM that report to hear it: a leaf exchanges heartbeats with two hubs, and a
	// hub that it has left must not count when the present ones fail.
	maxWitnesses = 2
	// failureMargin is added to ContactLimit: a leaf whose hubs fail takes 2 s to notice, and its next hub up to 1.5 s to name it.
	failureMargin = time.Second
	// maxReportedFailures bounds the failed VMs in one heartbeat, so that it fits a packet; the next heartbeats name the rest.
	maxReportedFailures = 16
	// silenceGrace is how long a report of silence must stand: a leaf that changes its hubs is silent for the former ones until reports of
	// the next ones arrive, within a second.
	silenceGrace = 1500 * time.Millisecond
	// lostReportDuration is how long heartbeats to hubs name a VM that is no longer heard here.
	lostReportDuration = 3 * time.Second
	// failedMark is the bit of a number in a heartbeat which says that the VM has failed, not only that it is no longer heard.
	failedMark uint32 = 1
	// failureHold is how long a leaf takes a VM for failed after a hub has named it among the failed ones: 82 VMs, a fifth of 410, are
	// named in six heartbeats, 1.8 s, and one of them may be lost.
	failureHold = 4 * time.Second
)

// witness is a VM that reported to hear another one.
type witness struct {
	id string
	// heartbeatAt is when it last received a heartbeat of the other VM, as far as it has reported.
	heartbeatAt time.Duration
	// ended means that it is no longer a hub, as of endedAt.
	ended   bool
	endedAt time.Duration
}

// SetHub sets whether this VM is a hub, which receives reports of the VMs that hear others. A leaf relies on its hubs.
func (m *Membership) SetHub(now time.Duration, hub bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hub && !hub {
		for _, p := range m.peers {
			p.witnesses, p.hadWitness = nil, false
		}
	}
	if hub && !m.hub {
		m.hubSince = now
	}
	m.hub = hub
}

// ReportFailed returns the numbers of the VMs that a heartbeat names, a part of them in each: to leaves and hubs those that have failed,
// with failedMark, and to hubs also those that this VM heard until lately and no longer hears. It returns nil unless ContactLimit is set.
func (m *Membership) ReportFailed(now time.Duration, heartbeatNumber uint64, toHubs bool) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ContactLimit == 0 {
		return nil
	}
	var all []uint32
	for _, id := range m.sortedIDs() {
		p := m.peers[id]
		switch {
		case now-p.LastHeartbeat > peerRetention:
		case m.failed(now, p):
			all = append(all, p.hash|failedMark)
		case toHubs && p.EverHeard && !m.heard(now, p) && now-p.LastHeard <= m.timeout()+lostReportDuration:
			all = append(all, p.hash)
		}
	}
	return page(all, heartbeatNumber, maxReportedFailures)
}

// observeFailures takes over what a heartbeat says of VMs that failed, and of VMs that its sender hears.
func (m *Membership) observeFailures(now time.Duration, s fuchsiaspoke.VMState, isNew bool) {
	if m.ContactLimit == 0 {
		return
	}
	if isNew {
		m.forgetWitness(s.VM.ID)
	}
	if !s.Hub {
		if m.hub {
			m.endWitness(now, s.VM.ID)
		}
		return
	}
	if s.WantsAnswer && m.hub {
		for _, r := range s.Peers {
			if p := m.peers[r.VM.ID]; p != nil {
				p.recordWitness(s.VM.ID, now-r.Age, !r.Silent && r.Age <= m.timeout())
			}
		}
	}
	m.applyFailures(now, s)
}

// applyFailures takes over the VMs that a heartbeat names as failed or no longer heard.
func (m *Membership) applyFailures(now time.Duration, s fuchsiaspoke.VMState) {
	if len(s.FailedVMs) == 0 {
		return
	}
	for _, p := range m.peers {
		n := slices.IndexFunc(s.FailedVMs, func(f uint32) bool { return f&^failedMark == p.hash })
		if n < 0 {
			continue
		}
		if s.WantsAnswer {
			p.recordWitness(s.VM.ID, 0, false)
		}
		if s.FailedVMs[n]&failedMark != 0 {
			p.failedAt, p.everFailed = now, true
		}
	}
}

// forgetWitness removes a VM that has restarted from the witnesses of all others: it no longer reports their silence.
func (m *Membership) forgetWitness(id string) {
	for _, p := range m.peers {
		p.recordWitness(id, 0, false)
	}
}

// recordWitness records whether a VM hears this one.
func (p *peer) recordWitness(id string, heartbeatAt time.Duration, hears bool) {
	p.witnesses = slices.DeleteFunc(p.witnesses, func(w witness) bool { return w.id == id })
	if !hears {
		return
	}
	p.hadWitness = true
	p.witnesses = append(p.witnesses, witness{id: id, heartbeatAt: heartbeatAt})
	slices.SortStableFunc(p.witnesses, func(a, b witness) int { return int(b.heartbeatAt - a.heartbeatAt) })
	p.witnesses = p.witnesses[:min(len(p.witnesses), maxWitnesses)]
}

// failed reports whether directory responses leave a VM out because it has failed. Without ContactLimit that is so if it is unreachable.
// A leaf takes over what its hubs say: reports of other VMs reach it late, so that it can't tell a VM that changed its hubs from one that
// failed.
func (m *Membership) failed(now time.Duration, p *peer) bool {
	switch {
	case m.ContactLimit == 0:
		return !m.reachable(now, p)
	case m.heard(now, p):
		return false
	case m.hub && (p.hadWitness || p.EverHeard && p.LastHeard >= m.hubSince):
		silent := p.silent && len(p.witnesses) == 0 && now-p.changedAt > silenceGrace
		return silent || now-m.lastEvidence(p) > m.ContactLimit+failureMargin
	}
	return m.namedAsFailed(now, p) || now-p.LastHeartbeat > m.relayTimeout()
}

// namedAsFailed reports whether a hub has named a VM as failed and no later heartbeat of the VM is known.
func (m *Membership) namedAsFailed(now time.Duration, p *peer) bool {
	if !p.everFailed || p.LastHeartbeat > p.failedAt-m.ContactLimit+reportSkew {
		return false
	}
	return m.hub || now-p.failedAt <= failureHold
}

// lastEvidence returns when this VM last heard of another one, or heard a VM that would have reported its silence.
func (m *Membership) lastEvidence(p *peer) time.Duration {
	last := p.LastHeartbeat
	for _, w := range p.witnesses {
		h := m.peers[w.id]
		switch {
		case w.ended:
			last = max(last, w.endedAt-m.timeout())
		case h != nil && h.EverHeard:
			last = max(last, h.LastHeard)
		}
	}
	return last
}

// endWitness ends what a VM that is no longer a hub has to say of others. It may have ceased to be one before it noticed their silence.
func (m *Membership) endWitness(now time.Duration, id string) {
	for _, p := range m.peers {
		for n, w := range p.witnesses {
			if w.id == id && !w.ended {
				p.witnesses[n].ended, p.witnesses[n].endedAt = true, now
			}
		}
	}
}

// vmHash returns the number by which heartbeats name a failed VM, without failedMark.
func vmHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32() &^ failedMark
}
