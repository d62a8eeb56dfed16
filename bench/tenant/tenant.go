// Package tenant describes one client account's demand in a scenario.
package tenant

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Tenant is a client account with the load that it sends, as mean rates of Poisson arrivals.
type Tenant struct {
	Account fuchsiaspoke.ClientAccount
	// GenerationsPerSecond, PaymentsPerSecond and StatusesPerSecond are the demand; payments run at most once.
	GenerationsPerSecond, PaymentsPerSecond, StatusesPerSecond float64
	// FloodFactor multiplies the generations from the end of the warm-up on; zero stands for no flood.
	FloodFactor float64
}

// Floods reports whether the client account sends several times its rate.
func (t Tenant) Floods() bool {
	return t.FloodFactor > 0
}
