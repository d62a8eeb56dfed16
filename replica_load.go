package fuchsiaspoke

// ReplicaLoad is the load that a replica states in a response.
type ReplicaLoad struct {
	// Running is the number of requests that run, and Waiting the number of those that wait for one of Slots.
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes at the replica at this moment, in percent of the usual time; it is valid if HasWorkPercent is
	// set, as many replicas state only the first three figures.
	WorkPercent    float64
	HasWorkPercent bool
}

// minWorkFactor and maxWorkFactor bound the factor that is used, so that one absurd figure neither draws nor repels all requests.
const (
	minWorkFactor = 0.1
	maxWorkFactor = 100
)

// WorkFactor returns how many times the usual time work takes, between 0.1 and 100; 0 means that it is not stated.
func (l ReplicaLoad) WorkFactor() float64 {
	if !l.HasWorkPercent {
		return 0
	}
	return min(max(l.WorkPercent/100, minWorkFactor), maxWorkFactor)
}
