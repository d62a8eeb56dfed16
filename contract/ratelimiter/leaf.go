package ratelimiter

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// levelsTimeout is how long a leaf relies on the bucket levels of its hub; four heartbeat intervals of a large fleet.
	levelsTimeout = 1200 * time.Millisecond
	// maxSentCounts is the number of heartbeats whose counts a leaf keeps until its hub acknowledges them.
	maxSentCounts = 16
)

// leaf is a VM that reports the tokens that it admits to this one.
type leaf struct {
	incarnation    string
	epoch          uint64
	admittedTokens map[string]float64
	// heartbeatNumber is that of its last heartbeat, heardAt the time of it.
	heartbeatNumber uint64
	heardAt         time.Duration
}

// hubState is what a leaf knows of its hub.
type hubState struct {
	// adoptedAt is when the hub's levels were last adopted, 0 if they never were; share is the RateShare received with them.
	adoptedAt time.Duration
	share     float64
	sent      []sentCounts
}

// sentCounts are the tokens that were reported as admitted in one heartbeat.
type sentCounts struct {
	heartbeatNumber uint64
	admittedTokens  map[string]float64
}

func (h *hubState) recordSent(number uint64, admittedTokens map[string]float64) {
	h.sent = append(h.sent, sentCounts{number, admittedTokens})
	if len(h.sent) > maxSentCounts {
		h.sent = h.sent[1:]
	}
}

// rateShare returns the fraction of each rate that accrues here until the hub's next levels. Without a hub it is this VM's part of
// a fleet of the given size.
func (h *hubState) rateShare(now time.Duration, fleetSize int) float64 {
	if h.adoptedAt > 0 && now-h.adoptedAt <= levelsTimeout {
		return h.share
	}
	return 1 / float64(max(fleetSize, 1))
}

// StartEpoch makes this VM a leaf or a hub, or a leaf of another hub. The tokens admitted so far were reported already, so counting
// starts again.
func (l *RateLimiter) StartEpoch(epoch uint64, isLeaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if epoch == l.epoch {
		return
	}
	l.epoch = epoch
	l.admittedTokens = make(map[string]float64)
	l.hub = nil
	if isLeaf {
		l.hub = &hubState{}
	}
}

// ForgetHubs records that VMs are reachable and no hubs, so that their missing reports are no sign of a partition.
func (l *RateLimiter) ForgetHubs(vms []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, vm := range vms {
		delete(l.peers, vm)
	}
}

// ObserveLeaf counts the tokens that a leaf admitted since its last heartbeat as admitted by this VM.
func (l *RateLimiter) ObserveLeaf(now time.Duration, state fuchsiaspoke.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	known := l.leaves[state.VM.ID]
	if known == nil || known.incarnation != state.Incarnation || known.epoch != state.CountEpoch {
		known = &leaf{incarnation: state.Incarnation, epoch: state.CountEpoch}
		l.leaves[state.VM.ID] = known
	}
	if state.HeartbeatNumber < known.heartbeatNumber {
		return
	}
	for account, n := range state.AdmittedTokens {
		added := n - known.admittedTokens[account]
		l.admittedTokens[account] += added
		l.deduct(account, added)
	}
	known.admittedTokens, known.heartbeatNumber, known.heardAt = state.AdmittedTokens, state.HeartbeatNumber, now
}

// Prepare creates and refills the buckets of all client accounts if this VM has leaves, which may admit requests of any account.
func (l *RateLimiter) Prepare(now time.Duration, accounts map[string]fuchsiaspoke.AccountContract) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.leaves) == 0 || l.hub != nil {
		return
	}
	for _, a := range accounts {
		if a.TokensPerSecond > 0 {
			l.refill(now, a)
		}
	}
}

// Acks returns, by leaf, the number of the last heartbeat whose counts are included in the bucket levels, and the share of the rates
// that accrues on this side of a partition. Leaves that were not heard for peerRetention are forgotten.
func (l *RateLimiter) Acks(now time.Duration) (map[string]uint64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	maps.DeleteFunc(l.leaves, func(_ string, known *leaf) bool { return now-known.heardAt > peerRetention })
	acks := make(map[string]uint64, len(l.leaves))
	for id, known := range l.leaves {
		acks[id] = known.heartbeatNumber
	}
	return acks, l.rateShare(now)
}

// Adopt takes over the bucket levels of this leaf's hub, less the tokens admitted here that the hub did not count yet.
func (l *RateLimiter) Adopt(now time.Duration, state fuchsiaspoke.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acked, counted := state.Acks[l.Self]
	if l.hub == nil || !counted {
		return
	}
	l.hub.adoptedAt, l.hub.share = now, state.RateShare
	reported := l.hub.countsAt(acked)
	for account, level := range state.BucketLevels {
		unreported := l.admittedTokens[account] - reported[account]
		l.accounts[account] = &bucket{level: level - unreported, lastRefill: now}
	}
}

// countsAt returns the counts sent in the heartbeat of the given number, and none if it is unknown, so that all count as unreported.
func (h *hubState) countsAt(number uint64) map[string]float64 {
	for _, s := range h.sent {
		if s.heartbeatNumber == number {
			return s.admittedTokens
		}
	}
	return nil
}
