package runner

import "github.com/fuchsiaspoke/fuchsiaspoke"

// observePeers puts peers that came and went on the time line, and measures how full the batches are.
func (n *node) observePeers() {
	live := make(map[string]bool)
	for _, peer := range n.gossiper.Live() {
		live[peer.VM.ID] = true
		if !n.seen[peer.VM.ID] {
			n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPeerSeen, Detail: peer.VM.ID})
		}
	}
	for id := range n.seen {
		if !live[id] {
			n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPeerLost, Detail: id})
		}
	}
	n.seen = live
	n.observeBatches()
}

func (n *node) observeBatches() {
	places := make(map[string]int)
	for _, u := range n.engines() {
		places[u.ID] = u.Batch
	}
	for _, state := range n.manager.States() {
		n.meter.BatchOccupancy(state.Upstream, state.Running, places[state.Upstream])
	}
}
