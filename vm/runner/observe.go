package runner

import "github.com/fuchsiaspoke/fuchsiaspoke"

// observePeers records on the timeline which VMs became live and which are no longer live, and measures batch occupancy.
func (p *process) observePeers() {
	live := make(map[string]bool)
	for _, peer := range p.gossiper.Live() {
		live[peer.VM.ID] = true
		if !p.knownPeers[peer.VM.ID] {
			p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPeerSeen, Detail: peer.VM.ID})
		}
	}
	for id := range p.knownPeers {
		if !live[id] {
			p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPeerLost, Detail: id})
		}
	}
	p.knownPeers = live
	p.observeBatches()
}

// observeBatches measures the batch occupancy of the engines whose leases this VM holds and does not drain.
func (p *process) observeBatches() {
	batchSizes := make(map[string]int)
	for _, u := range p.engines() {
		batchSizes[u.ID] = u.BatchSize
	}
	for _, state := range p.manager.States() {
		p.meter.BatchOccupancy(state.Upstream, state.Running, batchSizes[state.Upstream])
	}
}
