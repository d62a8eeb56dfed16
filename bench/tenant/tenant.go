// Package tenant describes one client account's demand in a scenario.
package tenant

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Tenant is a client account with the load that it sends, as mean rates of Poisson arrivals.
type Tenant struct {
	Account fuchsiaspoke.ClientAccount
	// GenerationsPerSecond, PaymentsPerSecond and StatusesPerSecond are the demand; payments run at most once.
	GenerationsPerSecond, PaymentsPerSecond, StatusesPerSecond float64
	// Floods marks the client account that sends several times its rate.
	Floods bool
}
