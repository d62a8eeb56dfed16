// Package account describes the load of one client account in a scenario.
package account

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Account is a client account and its offered load, as mean rates of Poisson arrivals.
type Account struct {
	Account fuchsiaspoke.ClientAccount
	// GenerationsPerSecond, PaymentsPerSecond and StatusChecksPerSecond are the arrival rates. Payments must run at most
	// once.
	GenerationsPerSecond, PaymentsPerSecond, StatusChecksPerSecond float64
	// FloodFactor multiplies GenerationsPerSecond after the warm-up; zero leaves the rate unchanged.
	FloodFactor float64
}

// Floods reports whether the client account exceeds its rate after the warm-up.
func (a Account) Floods() bool {
	return a.FloodFactor > 0
}
