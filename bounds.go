package fuchsiaspoke

import "time"

// Bounds are the limits that the platform requires all VMs together to keep.
type Bounds struct {
	// RetryRatio is the number of retries allowed per request, and RetrySlack the number allowed beyond that, over all VMs.
	RetryRatio float64
	RetrySlack float64
	// OwnershipGap is the minimum time between the orders of two different owners to one engine.
	OwnershipGap time.Duration
	// DrainLimit is the time after which a replica published as draining must receive no more requests.
	DrainLimit time.Duration
	// Grace is the time that a process has to shut down after the stop signal.
	Grace time.Duration
	// QuotaOverage is the fraction by which all VMs together may exceed a client account's rate.
	QuotaOverage float64
	// Evacuation is the time after which replicas in an evacuated zone must receive no more requests; 0 sets no limit beyond DrainLimit.
	Evacuation time.Duration
	// ContactLimit is the time after which a VM that failed counts as out of contact for directory responses; 0 if there is no limit.
	ContactLimit time.Duration
	// WarmUpOver and WarmUpSlack bound the requests to a replica in warm-up in any one second: WarmUpOver times the rate that it sustains, and
	// WarmUpSlack more; 0 means the usual bounds.
	WarmUpOver  float64
	WarmUpSlack float64
}
