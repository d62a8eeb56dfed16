package scheduler

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// maxRecentAdapters bounds the number of adapters remembered as recently resident on an engine, which are expected to load faster
// than others.
const maxRecentAdapters = 48

// AdapterOrder is a load or unload order for the engine.
type AdapterOrder struct {
	// Load is true for a load order and false for an unload order.
	Load    bool
	Adapter string
	// Version is the version to load; 0 is the newest that the engine knows.
	Version int64
	// ExpectedLoadTime is the estimated duration of the load.
	ExpectedLoadTime time.Duration
	// Account is the client account whose request needs the load; empty if none is known.
	Account string
}

// Next returns the next order to send; false means that none is due. None is while an unload is in progress, as the engine refuses all
// others until it is complete.
//
// Loads of newer versions of resident adapters come first. Otherwise the order is for the first queued request whose adapter
// occupies no slot: a load if a slot is free, or the unload of the least recently used idle adapter.
func (s *Scheduler) Next(now time.Duration) (AdapterOrder, bool) {
	s.init()
	s.sortQueue(now)
	if s.countSlots(unloading) > 0 || s.countSlots(loading) >= maxConcurrentLoads {
		return AdapterOrder{}, false
	}
	if order, due := s.nextUpgrade(now); due {
		return order, true
	}
	for _, q := range s.queue {
		name := q.Demand.Adapter
		if name == "" || s.slots[name] != nil {
			continue
		}
		if len(s.slots) < s.Limits.AdapterSlots {
			return AdapterOrder{Load: true, Adapter: name, ExpectedLoadTime: s.estimateLoadTime(name), Account: q.Account}, true
		}
		if victim := s.victim(); victim != "" {
			return AdapterOrder{Adapter: victim}, true
		}
		return AdapterOrder{}, false
	}
	return AdapterOrder{}, false
}

func (s *Scheduler) countSlots(state slotState) int {
	n := 0
	for _, sl := range s.slots {
		if sl.state == state {
			n++
		}
	}
	return n
}

// nextUpgrade returns a load of the latest version of a resident adapter whose outdated version is not in use, or has been outdated
// for maxStaleUse.
func (s *Scheduler) nextUpgrade(now time.Duration) (AdapterOrder, bool) {
	for name, sl := range s.slots {
		if sl.state != resident || sl.latestVersion <= sl.version {
			continue
		}
		if sl.activeRequests == 0 || now-sl.staleSince >= maxStaleUse {
			return AdapterOrder{Load: true, Adapter: name, Version: sl.latestVersion, ExpectedLoadTime: s.coldLoadTime}, true
		}
	}
	return AdapterOrder{}, false
}

// victim returns the least recently used resident adapter without active or queued requests, or "" if there is none.
func (s *Scheduler) victim() string {
	best := ""
	for name, sl := range s.slots {
		if sl.state != resident || sl.activeRequests > 0 || s.hasQueuedRequest(name) {
			continue
		}
		if best == "" || sl.lastUsedAt < s.slots[best].lastUsedAt || sl.lastUsedAt == s.slots[best].lastUsedAt && name < best {
			best = name
		}
	}
	return best
}

// RecordOrder records an order before it is sent. A load occupies a slot from then on, since the engine may execute it even if it
// does not answer.
func (s *Scheduler) RecordOrder(now time.Duration, order AdapterOrder) {
	s.init()
	sl := s.slots[order.Adapter]
	if !order.Load {
		if sl != nil {
			sl.state, sl.orderedAt, sl.expectedReadyAt = unloading, now, now
		}
		return
	}
	if order.Account != "" {
		s.charge(now, order.Account, int64(order.ExpectedLoadTime.Seconds()*1000*s.prefillTokensPerMs))
	}
	_, warm := s.lastResidentAt[order.Adapter]
	if sl == nil {
		sl = &slot{latestVersion: order.Version}
		s.slots[order.Adapter] = sl
	}
	sl.state, sl.orderedAt, sl.expectedReadyAt, sl.warm, sl.lastUsedAt = loading, now, now+order.ExpectedLoadTime, warm, now
	sl.orderedVersion = order.Version
}

// RecordLoaded records that the adapter is resident on the engine in the given version; 0, an unknown version, counts as 1.
func (s *Scheduler) RecordLoaded(now time.Duration, adapter string, version int64) {
	s.init()
	sl := s.slots[adapter]
	if sl == nil {
		sl = &slot{lastUsedAt: now}
		s.slots[adapter] = sl
	}
	if sl.state == loading && sl.version == 0 {
		s.updateLoadTime(now-sl.orderedAt, sl.warm)
	}
	sl.state, sl.version, sl.staleSince, sl.expectedReadyAt = resident, max(version, 1), 0, 0
	sl.latestVersion = max(sl.latestVersion, sl.version)
	s.recordResidency(now, adapter)
}

// RecordRemoved records that the adapter is neither resident nor loading, and frees its slot.
func (s *Scheduler) RecordRemoved(now time.Duration, adapter string) {
	s.init()
	if sl := s.slots[adapter]; sl != nil {
		if sl.version > 0 {
			s.recordResidency(now, adapter)
		}
		delete(s.slots, adapter)
	}
}

// RecordUnloadFailed records that an unload order was not executed, so that the adapter is still resident.
func (s *Scheduler) RecordUnloadFailed(adapter string) {
	if sl := s.slots[adapter]; sl != nil && sl.state == unloading {
		sl.state = resident
	}
}

// SetLatestVersion records the latest version of an adapter that occupies a slot; requests no longer start on older versions.
func (s *Scheduler) SetLatestVersion(now time.Duration, adapter string, version int64) {
	sl := s.slots[adapter]
	if sl == nil || version <= sl.latestVersion {
		return
	}
	sl.latestVersion = version
	if sl.staleSince == 0 {
		sl.staleSince = now
	}
}

// ApplyReport replaces the state of the adapter slots with an engine's report. Request counts, last uses and latest versions
// of reported adapters are carried over, since when a version is outdated, and that an unload is in progress.
func (s *Scheduler) ApplyReport(now time.Duration, reported fuchsiaspoke.ResidentModel) {
	s.init()
	old := s.slots
	s.slots = make(map[string]*slot, len(reported.Adapters))
	for _, a := range reported.Adapters {
		s.RecordLoaded(now, a.Name, a.Version)
		s.carryOverUsage(old, a.Name)
		if previous := old[a.Name]; previous != nil && previous.state == unloading {
			s.RecordOrder(now, AdapterOrder{Adapter: a.Name})
		}
	}
	for _, a := range reported.Loading {
		if s.slots[a.Name] == nil {
			s.RecordOrder(now, AdapterOrder{Load: true, Adapter: a.Name, Version: a.Version, ExpectedLoadTime: s.coldLoadTime})
			s.carryOverUsage(old, a.Name)
		}
	}
}

func (s *Scheduler) carryOverUsage(old map[string]*slot, name string) {
	if previous := old[name]; previous != nil {
		s.slots[name].activeRequests, s.slots[name].lastUsedAt = previous.activeRequests, previous.lastUsedAt
		s.slots[name].latestVersion = max(s.slots[name].latestVersion, previous.latestVersion)
		if s.slots[name].latestVersion > s.slots[name].version {
			s.slots[name].staleSince = previous.staleSince
		}
	}
}

// OrdersToCheck returns the orders for the loads that are expected to be complete by now, and for the unloads that are not confirmed.
func (s *Scheduler) OrdersToCheck(now time.Duration) []AdapterOrder {
	var out []AdapterOrder
	for name, sl := range s.slots {
		if sl.state == resident || now < sl.expectedReadyAt {
			continue
		}
		if sl.state == loading {
			out = append(out, AdapterOrder{Load: true, Adapter: name, Version: sl.orderedVersion})
		} else {
			out = append(out, AdapterOrder{Adapter: name})
		}
	}
	return out
}

// DelayCheck delays the next check of a load or an unload that is not complete.
func (s *Scheduler) DelayCheck(now time.Duration, adapter string, delay time.Duration) {
	if sl := s.slots[adapter]; sl != nil && sl.state != resident {
		sl.expectedReadyAt = now + delay
	}
}

// updateLoadTime adds a measured load time to the moving average of warm or of cold loads.
func (s *Scheduler) updateLoadTime(elapsed time.Duration, warm bool) {
	const smoothingDivisor = 8
	if warm {
		s.warmLoadTime += (elapsed - s.warmLoadTime) / smoothingDivisor
		return
	}
	s.coldLoadTime += (elapsed - s.coldLoadTime) / smoothingDivisor
}

// recordResidency records that the adapter is or was resident at now. Beyond maxRecentAdapters, the least recently resident one is
// removed.
func (s *Scheduler) recordResidency(now time.Duration, adapter string) {
	s.lastResidentAt[adapter] = now
	if len(s.lastResidentAt) <= maxRecentAdapters {
		return
	}
	oldest := adapter
	for name, at := range s.lastResidentAt {
		if at < s.lastResidentAt[oldest] {
			oldest = name
		}
	}
	delete(s.lastResidentAt, oldest)
}

// View summarizes the engine's state for other VMs. The caller sets Engine, Fence and Accepting.
func (s *Scheduler) View() fuchsiaspoke.EngineView {
	s.init()
	v := fuchsiaspoke.EngineView{
		BacklogTokens: s.backlogTokens(), FairBacklogTokens: s.fairBacklog(), PrefillTokensPerMs: s.prefillTokensPerMs, Running: len(s.running), Waiting: len(s.queue),
	}
	for name, sl := range s.slots {
		switch sl.state {
		case resident:
			v.Resident = append(v.Resident, fuchsiaspoke.Adapter{Name: name, Version: sl.version})
		case loading:
			v.Loading = append(v.Loading, fuchsiaspoke.Adapter{Name: name, Version: sl.version})
		case unloading:
		}
		if sl.activeRequests > 0 || sl.state != resident || s.hasQueuedRequest(name) {
			v.BusySlots++
		}
	}
	for _, q := range s.queue {
		if q.Demand.Adapter != "" && s.slots[q.Demand.Adapter] == nil {
			v.BusySlots++
		}
	}
	return v
}

// NextLoadCheck returns the earliest time at which a pending load is expected to be complete; false means that none is pending.
func (s *Scheduler) NextLoadCheck() (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, sl := range s.slots {
		if sl.state == loading && (!found || sl.expectedReadyAt < earliest) {
			earliest, found = sl.expectedReadyAt, true
		}
	}
	return earliest, found
}

// OccupiedSlots returns the adapters that occupy a slot, in no particular order: resident, loading or unloading.
func (s *Scheduler) OccupiedSlots() []string {
	out := make([]string, 0, len(s.slots))
	for name := range s.slots {
		out = append(out, name)
	}
	return out
}

// CheckInterval returns the interval between two checks of a load: warm for a recently resident adapter, cold for others.
func (s *Scheduler) CheckInterval(adapter string, warm, cold time.Duration) time.Duration {
	if sl := s.slots[adapter]; sl != nil && sl.warm {
		return warm
	}
	return cold
}
