// Package inspector finds what a configuration that can be decoded would do against its operator's intent.
package inspector

import (
	"fmt"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// The kinds of findings in one configuration.
const (
	KindRepeatedName          fuchsiaspoke.FindingKind = "repeated_name"
	KindRouteWithoutTarget    fuchsiaspoke.FindingKind = "route_without_target"
	KindUnknownService        fuchsiaspoke.FindingKind = "unknown_service"
	KindShadowedRoute         fuchsiaspoke.FindingKind = "shadowed_route"
	KindUnmatchableRoute      fuchsiaspoke.FindingKind = "unmatchable_route"
	KindNoTimeout             fuchsiaspoke.FindingKind = "no_timeout"
	KindTimeoutBelowObjective fuchsiaspoke.FindingKind = "timeout_below_objective"
	KindNegativeWeight        fuchsiaspoke.FindingKind = "negative_weight"
	KindNoWeight              fuchsiaspoke.FindingKind = "no_weight"
	KindAttemptsAboveBudget   fuchsiaspoke.FindingKind = "attempts_above_budget"
	KindServiceWithoutRoute   fuchsiaspoke.FindingKind = "service_without_route"
	KindAdapterWithoutModel   fuchsiaspoke.FindingKind = "adapter_without_model"
	KindAdapterWithoutRoom    fuchsiaspoke.FindingKind = "adapter_without_room"
	KindRegionWithoutZone     fuchsiaspoke.FindingKind = "region_without_zone"
	KindKeyWithoutAccount     fuchsiaspoke.FindingKind = "key_without_account"
	KindUnusableKey           fuchsiaspoke.FindingKind = "unusable_key"
	KindRepeatedKey           fuchsiaspoke.FindingKind = "repeated_key"
	KindAccountWithoutKey     fuchsiaspoke.FindingKind = "account_without_key"
	KindNegativeRate          fuchsiaspoke.FindingKind = "negative_rate"
	KindBurstBelowRequest     fuchsiaspoke.FindingKind = "burst_below_request"
	KindRateAboveCapacity     fuchsiaspoke.FindingKind = "rate_above_capacity"
)

// Inspector checks configurations. A field that is not set leaves out the rule that needs it.
type Inspector struct {
	// Zones holds the region of each availability zone.
	Zones map[fuchsiaspoke.Zone]fuchsiaspoke.Region
	// RetrySlack is the number of retries that the retry budget allows beyond its ratio.
	RetrySlack float64
	// RequestTokens is the size of the largest request of any account, in tokens; accounts' default tokens apply beside it.
	RequestTokens int64
	// Capacity is what all replicas of a service sustain: tokens a second for engines, requests a second for others.
	Capacity map[string]float64
}

// Inspect returns the findings in the order of the file: routes, services, accounts. A shadowed or repeated entry is found at its later position
// where the earlier one is in force, and at its earlier one where the later is.
func (i Inspector) Inspect(c *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) []fuchsiaspoke.Finding {
	var f findings
	i.routes(&f, c, file)
	i.services(&f, c, file)
	i.accounts(&f, c, file)
	return f
}

type findings []fuchsiaspoke.Finding

func (f *findings) add(s fuchsiaspoke.Severity, k fuchsiaspoke.FindingKind, p fuchsiaspoke.ConfigurationPath, message, remedy string) {
	*f = append(*f, fuchsiaspoke.Finding{Severity: s, Kind: k, Path: p, Message: message, Remedy: remedy})
}

func (f *findings) fail(k fuchsiaspoke.FindingKind, p fuchsiaspoke.ConfigurationPath, message, remedy string) {
	f.add(fuchsiaspoke.SeverityError, k, p, message, remedy)
}

func (f *findings) warn(k fuchsiaspoke.FindingKind, p fuchsiaspoke.ConfigurationPath, message, remedy string) {
	f.add(fuchsiaspoke.SeverityWarning, k, p, message, remedy)
}

func element(part fuchsiaspoke.ConfigurationPart, index int, name string) fuchsiaspoke.ConfigurationPath {
	return fuchsiaspoke.ConfigurationPath{{Part: part, Index: index, Name: name}}
}

// field returns a copy of the path with one more step.
func field(p fuchsiaspoke.ConfigurationPath, part fuchsiaspoke.ConfigurationPart) fuchsiaspoke.ConfigurationPath {
	return item(p, part, -1, "")
}

func item(p fuchsiaspoke.ConfigurationPath, part fuchsiaspoke.ConfigurationPart, index int, name string) fuchsiaspoke.ConfigurationPath {
	return append(p[:len(p):len(p)], fuchsiaspoke.ConfigurationStep{Part: part, Index: index, Name: name})
}

// hostPrefix is what a route is selected by.
type hostPrefix struct{ host, prefix string }

func (i Inspector) routes(f *findings, c *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	names, first := map[string]int{}, map[hostPrefix]int{}
	for n, r := range file.Routes {
		at := element(fuchsiaspoke.PartRoutes, n, r.Name)
		if earlier, found := names[r.Name]; found {
			f.warn(KindRepeatedName, field(at, fuchsiaspoke.PartName), fmt.Sprintf("route %d has the same name, so logs and counters do not tell them apart", earlier),
				"give each route a name of its own")
		} else {
			names[r.Name] = n
		}
		selector := hostPrefix{r.Host, r.PathPrefix}
		if earlier, found := first[selector]; found {
			f.fail(KindShadowedRoute, at, fmt.Sprintf("route %d (%q) has the same host and prefix and gets all requests", earlier, file.Routes[earlier].Name),
				"remove one of the two routes, or change the host or prefix of one")
		} else {
			first[selector] = n
		}
		if r.Host == "" {
			f.fail(KindUnmatchableRoute, field(at, fuchsiaspoke.PartHost), "the host is empty, so no request is for this route", "name the host")
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			f.fail(KindUnmatchableRoute, field(at, fuchsiaspoke.PartPathPrefix), fmt.Sprintf("no path begins with %q", r.PathPrefix), "begin the prefix with a slash")
		}
		i.routeLimits(f, at, r)
		targets(f, at, c, r)
		i.regions(f, at, r.Regions)
	}
}

func (i Inspector) routeLimits(f *findings, at fuchsiaspoke.ConfigurationPath, r fuchsiaspoke.ListedRoute) {
	switch {
	case r.Timeout <= 0:
		f.fail(KindNoTimeout, field(at, fuchsiaspoke.PartTimeout), "the timeout is not above 0, so each request is late when it arrives", "give a timeout above the objective")
	case r.Timeout < r.Objective:
		f.warn(KindTimeoutBelowObjective, field(at, fuchsiaspoke.PartTimeout), fmt.Sprintf("the timeout of %v is below the objective of %v", r.Timeout, r.Objective),
			"raise the timeout, or lower the objective")
	}
	if i.RetrySlack > 0 && float64(r.MaxAttempts-1) > i.RetrySlack {
		f.warn(KindAttemptsAboveBudget, field(at, fuchsiaspoke.PartAttempts),
			fmt.Sprintf("one request may need %d retries, and the retry budget of all VMs saves %v", r.MaxAttempts-1, i.RetrySlack),
			fmt.Sprintf("allow at most %d attempts", int(i.RetrySlack)+1))
	}
}

func targets(f *findings, at fuchsiaspoke.ConfigurationPath, c *fuchsiaspoke.Contract, r fuchsiaspoke.ListedRoute) {
	if len(r.Targets) == 0 {
		f.fail(KindRouteWithoutTarget, at, "the route names no service, so its requests are refused", "name a service, or services with weights")
		return
	}
	sum := 0.0
	for n, t := range r.Targets {
		path := targetPath(at, r, n)
		if _, known := c.Services[t.Service]; !known {
			f.fail(KindUnknownService, path, fmt.Sprintf("there is no service %q", t.Service), "add the service, or correct the name")
		}
		if t.Weight < 0 {
			f.fail(KindNegativeWeight, path, fmt.Sprintf("service %q has the weight %v", t.Service, t.Weight), "give weights of 0 and above")
		}
		sum += max(t.Weight, 0)
	}
	if sum <= 0 {
		f.fail(KindNoWeight, field(at, fuchsiaspoke.PartWeightedTargets), "the weights sum to nothing, so no request reaches a service", "give at least one service a weight above 0")
	}
}

func targetPath(at fuchsiaspoke.ConfigurationPath, r fuchsiaspoke.ListedRoute, n int) fuchsiaspoke.ConfigurationPath {
	if r.Unweighted && n == 0 {
		return field(at, fuchsiaspoke.PartTarget)
	}
	if r.Unweighted {
		n--
	}
	return item(at, fuchsiaspoke.PartWeightedTargets, n, "")
}

func (i Inspector) regions(f *findings, at fuchsiaspoke.ConfigurationPath, list []fuchsiaspoke.Region) {
	if i.Zones == nil {
		return
	}
	known := map[fuchsiaspoke.Region]bool{}
	for _, region := range i.Zones {
		known[region] = region != ""
	}
	for n, region := range list {
		if !known[region] {
			f.fail(KindRegionWithoutZone, item(at, fuchsiaspoke.PartRegions, n, ""), fmt.Sprintf("no zone is in region %q", region),
				"correct the name, or add the region's zones to the settings")
		}
	}
}

func (i Inspector) services(f *findings, c *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	last, routed := map[string]int{}, map[string]bool{}
	for n, s := range file.Services {
		last[s.Name] = n
	}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			routed[t.Service] = routed[t.Service] || t.Weight > 0
		}
	}
	for n, s := range file.Services {
		at := element(fuchsiaspoke.PartServices, n, s.Name)
		if last[s.Name] != n {
			f.fail(KindRepeatedName, field(at, fuchsiaspoke.PartName), fmt.Sprintf("service %d has the same name and replaces this one", last[s.Name]),
				"remove one of the two, or rename it")
			continue
		}
		if !routed[s.Name] {
			f.warn(KindServiceWithoutRoute, at, "no route leads to the service", "add a route, or remove the service")
		}
		if s.Engine != nil {
			models(f, at, s)
		}
	}
}

func models(f *findings, at fuchsiaspoke.ConfigurationPath, s fuchsiaspoke.ListedService) {
	engine, last, adapters := field(at, fuchsiaspoke.PartEngine), map[string]int{}, 0
	for n, m := range s.Models {
		last[m.Name] = n
		adapters += max(m.Adapters, 0)
	}
	for n, m := range s.Models {
		path := item(engine, fuchsiaspoke.PartModels, n, m.Name)
		switch {
		case m.Name == "" && m.Adapters > 0:
			f.fail(KindAdapterWithoutModel, path, fmt.Sprintf("%d adapters belong to a model without a name", m.Adapters), "name the model, or remove the entry")
		case last[m.Name] != n:
			f.fail(KindRepeatedName, field(path, fuchsiaspoke.PartName), fmt.Sprintf("model %d has the same name and replaces this one", last[m.Name]),
				"remove one of the two, or rename it")
		case m.Adapters > 0 && s.Engine.AdapterCapacity(m.Name) <= 0:
			f.fail(KindAdapterWithoutRoom, path, fmt.Sprintf("none of the model's %d adapters fits beside it", m.Adapters),
				"give the engine adapter slots and memory for at least one adapter")
		}
	}
	if s.Engine.AdapterSlots > 0 && adapters == 0 {
		f.warn(KindAdapterWithoutModel, field(engine, fuchsiaspoke.PartAdapterSlots),
			fmt.Sprintf("the engine has %d adapter slots, and none of its models has adapters", s.Engine.AdapterSlots), "add the model with its adapters, or set the slots to 0")
	}
}

func (i Inspector) accounts(f *findings, c *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	last, owner, holdsKey := map[string]int{}, map[string]int{}, map[string]bool{}
	for n, a := range file.Accounts {
		last[a.Name] = n
		for _, key := range a.Keys {
			owner[key] = n
			holdsKey[a.Name] = holdsKey[a.Name] || key != ""
		}
	}
	for n, a := range file.Accounts {
		at := element(fuchsiaspoke.PartAccounts, n, a.Name)
		for k, key := range a.Keys {
			path := item(at, fuchsiaspoke.PartKeys, k, "")
			switch {
			case key == "":
				f.fail(KindUnusableKey, path, "the key is empty, and requests without a key are refused", "remove the key")
			case a.Name == "":
				f.fail(KindKeyWithoutAccount, path, "the key belongs to an account without a name", "name the account, or move the key to one")
			case file.Accounts[owner[key]].Name != a.Name:
				f.fail(KindRepeatedKey, path, fmt.Sprintf("the same key is given to account %q, which gets its requests", file.Accounts[owner[key]].Name),
					"give each account keys of its own")
			}
		}
		if last[a.Name] != n {
			f.fail(KindRepeatedName, field(at, fuchsiaspoke.PartName), fmt.Sprintf("account %d has the same name, and its limits replace these", last[a.Name]),
				"remove one of the two, or rename it")
			continue
		}
		if !holdsKey[a.Name] {
			f.warn(KindAccountWithoutKey, at, "the account has no key, so no request is counted for it", "give it a key, or remove it")
		}
		i.accountLimits(f, at, c, a.AccountContract)
		i.regions(f, at, a.Regions)
	}
}

func (i Inspector) accountLimits(f *findings, at fuchsiaspoke.ConfigurationPath, c *fuchsiaspoke.Contract, a fuchsiaspoke.AccountContract) {
	if a.TokensPerSecond < 0 || a.BurstTokens < 0 {
		f.fail(KindNegativeRate, field(at, fuchsiaspoke.PartRate), fmt.Sprintf("the rate is %v and the burst %v", a.TokensPerSecond, a.BurstTokens),
			"give numbers above 0, or a rate of 0 for no limit")
		return
	}
	if a.TokensPerSecond == 0 {
		return
	}
	if largest := max(i.RequestTokens, a.DefaultTokens); a.BurstTokens < float64(largest) {
		f.warn(KindBurstBelowRequest, field(at, fuchsiaspoke.PartBurst),
			fmt.Sprintf("a request may cost %d, above the burst of %v, so it is admitted only after the account has been idle", largest, a.BurstTokens),
			fmt.Sprintf("raise the burst to at least %d", largest))
	}
	if capacity, known := i.capacity(c, a); known && a.TokensPerSecond > capacity {
		f.warn(KindRateAboveCapacity, field(at, fuchsiaspoke.PartRate),
			fmt.Sprintf("the rate of %v is above what all replicas together sustain, %v", a.TokensPerSecond, capacity),
			"lower the rate, or add replicas")
	}
}

// capacity returns what all services that a route leads to sustain together, in the unit of the account's rate: a request to a plain service
// costs the account's default tokens. It is unknown if that of one such service is.
func (i Inspector) capacity(c *fuchsiaspoke.Contract, a fuchsiaspoke.AccountContract) (sum float64, known bool) {
	counted := map[string]bool{}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			if t.Weight <= 0 || counted[t.Service] {
				continue
			}
			counted[t.Service] = true
			perSecond, given := i.Capacity[t.Service]
			if !given {
				return 0, false
			}
			if c.Services[t.Service].Engine == nil {
				perSecond *= float64(a.DefaultTokens)
			}
			sum += perSecond
		}
	}
	return sum, len(counted) > 0
}
