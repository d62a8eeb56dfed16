package claimer

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// turnStart returns when this VM's current turn to claim the engine began, or a future time outside the claim window of its turn.
// The turn follows from this VM's rank for the engine among itself and the peers with a heartbeat within maxPartitionDuration.
func (c *Claimer) turnStart(now time.Duration, view FleetView, engine string) time.Duration {
	ownWeight := ranker.Weight(engine, view.Self)
	rank, vmCount := 0, 1
	for _, p := range view.Peers {
		if p.Leaf || now-p.LastHeartbeat > maxPartitionDuration {
			continue
		}
		vmCount++
		if ranker.Weight(engine, p.ID) > ownWeight {
			rank++
		}
	}
	turns := min(vmCount, maxTurns)
	cycle := turnDuration * time.Duration(turns)
	sinceTurnStart := view.WallClock%cycle - turnDuration*time.Duration(min(rank, turns-1))
	if sinceTurnStart < 0 || sinceTurnStart > claimWindow {
		return now + turnDuration
	}
	return now - sinceTurnStart
}

// mayBePartitioned reports whether the peer is unreachable from here but may be running on another side of a partition.
func mayBePartitioned(now time.Duration, view FleetView, p Peer) bool {
	sinceHeartbeat := now - p.LastHeartbeat
	return !p.Leaving && (p.Indirect || sinceHeartbeat > view.peerTimeout()) && sinceHeartbeat <= maxPartitionDuration
}

// isPreferred reports whether this VM ranks highest for the engine among itself and the reachable peers that are ready.
func (c *Claimer) isPreferred(now time.Duration, view FleetView, engine string) bool {
	ownWeight := ranker.Weight(engine, view.Self)
	for _, p := range view.Peers {
		if p.Ready && !p.Indirect && now-p.LastHeartbeat <= view.peerTimeout() && ranker.Weight(engine, p.ID) > ownWeight {
			return false
		}
	}
	return true
}

// isolated reports whether no peer is reachable directly and the hold-off is not over, so that this VM may be the one that is
// partitioned off. The hold-off is isolatedHoldOff if a peer's last heartbeat is within maxPartitionDuration, or else
// noPeersHoldOff if peers are expected; a VM that neither knows nor expects a peer is never isolated.
func (c *Claimer) isolated(now time.Duration, view FleetView) bool {
	knowsPeer := false
	for _, p := range view.Peers {
		if !p.Indirect && !p.Leaf && now-p.LastHeartbeat <= view.peerTimeout() {
			c.isolatedSince = 0
			return false
		}
		knowsPeer = knowsPeer || now-p.LastHeartbeat <= maxPartitionDuration
	}
	if !knowsPeer && !view.ExpectsPeers {
		return false
	}
	if c.isolatedSince == 0 {
		c.isolatedSince = now
	}
	if knowsPeer {
		return now-c.isolatedSince < isolatedHoldOff
	}
	return now-c.isolatedSince < noPeersHoldOff
}

// partitionPossible reports whether an unreachable peer may be sending orders on another side of a partition.
func (c *Claimer) partitionPossible(now time.Duration, view FleetView) bool {
	return slices.ContainsFunc(view.Peers, func(p Peer) bool { return mayBePartitioned(now, view, p) })
}
