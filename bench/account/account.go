// Package account describes one client account's demand in a scenario.
package account

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Account is a client account with the load that it sends, as mean rates of Poisson arrivals.
type Account struct {
	Account fuchsiaspoke.ClientAccount
	// GenerationsPerSecond, PaymentsPerSecond and StatusesPerSecond are the demand; payments run at most once.
	GenerationsPerSecond, PaymentsPerSecond, StatusesPerSecond float64
	// FloodFactor multiplies the generations from the end of the warm-up on; zero stands for no flood.
	FloodFactor float64
}

// Floods reports whether the client account sends several times its rate.
func (a Account) Floods() bool {
	return a.FloodFactor > 0
}
