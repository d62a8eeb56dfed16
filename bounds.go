package fuchsiaspoke

import "time"

// Bounds are the limits that the platform holds the system to.
type Bounds struct {
	// RetryRatio and RetrySlack bound sends beyond the first of each request, over all VMs.
	RetryRatio float64
	RetrySlack float64
	// OrderLease is how long two holders of one engine must keep apart.
	OrderLease time.Duration
	// LeavingLimit is how soon after its leaving is published a replica must get no more work.
	LeavingLimit time.Duration
	// Grace is how long a process may still work after it was told to stop.
	Grace time.Duration
	// QuotaOverage is the room above an account's rate, as a part of it.
	QuotaOverage float64
}
