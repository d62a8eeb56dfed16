package inspector

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// The kinds of differences from the version in force.
const (
	KindVersionNotHigher fuchsiaspoke.FindingKind = "version_not_higher"
	KindRouteRemoved     fuchsiaspoke.FindingKind = "route_removed"
	KindServiceRemoved   fuchsiaspoke.FindingKind = "service_removed"
	KindModelRemoved     fuchsiaspoke.FindingKind = "model_removed"
	KindAccountRemoved   fuchsiaspoke.FindingKind = "account_removed"
	KindKeyWithdrawn     fuchsiaspoke.FindingKind = "key_withdrawn"
	KindKeyMoved         fuchsiaspoke.FindingKind = "key_moved"
	KindKeyRequired      fuchsiaspoke.FindingKind = "key_required"
	KindLimitLowered     fuchsiaspoke.FindingKind = "limit_lowered"
	KindRegionsNarrowed  fuchsiaspoke.FindingKind = "regions_narrowed"
)

// Compare returns what the version in force serves and the next one does not. What is added or raised is no finding. Paths lead into the file
// of the version in force.
func (Inspector) Compare(next, inForce *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) []fuchsiaspoke.Finding {
	var f findings
	if next.Version <= inForce.Version {
		f.fail(KindVersionNotHigher, fuchsiaspoke.ConfigurationPath{{Part: fuchsiaspoke.PartVersion, Index: -1}},
			fmt.Sprintf("version %d is not above the version in force, %d, so VMs keep that one", next.Version, inForce.Version),
			fmt.Sprintf("give a version above %d", inForce.Version))
	}
	var changes findings
	compareRoutes(&changes, next, file)
	compareServices(&changes, next, file)
	compareAccounts(&changes, next, inForce, file)
	limits := fuchsiaspoke.ConfigurationPath{{Part: fuchsiaspoke.PartRequestLimits, Index: -1}}
	loweredWithDefault(&changes, field(limits, fuchsiaspoke.PartHeaderBytes), "header bytes of a request", inForce.Limits.HeaderBytes, next.Limits.HeaderBytes)
	loweredWithDefault(&changes, field(limits, fuchsiaspoke.PartBodyBytes), "body bytes of a request", inForce.Limits.BodyBytes, next.Limits.BodyBytes)
	for n := range changes {
		changes[n].InForce = true
	}
	return append(f, changes...)
}

func (f *findings) change(k fuchsiaspoke.FindingKind, p fuchsiaspoke.ConfigurationPath, message, remedy string) {
	f.add(fuchsiaspoke.SeverityChange, k, p, message, remedy)
}

// lowered adds a finding if a limit has become lower.
func lowered[T cmp.Ordered](f *findings, p fuchsiaspoke.ConfigurationPath, what string, before, after T) {
	if after < before {
		f.change(KindLimitLowered, p, fmt.Sprintf("%s lowered from %v to %v", what, before, after), fmt.Sprintf("keep %v unless the cut is meant", before))
	}
}

// loweredWithDefault is lowered for a limit of which 0 means none or a default: nothing is found where either is 0.
func loweredWithDefault[T cmp.Ordered](f *findings, p fuchsiaspoke.ConfigurationPath, what string, before, after T) {
	var unset T
	if before > unset && after > unset {
		lowered(f, p, what, before, after)
	}
}

// narrowed adds a finding if a region was allowed and no longer is.
func narrowed(f *findings, p fuchsiaspoke.ConfigurationPath, before, after []fuchsiaspoke.Region) {
	if len(after) == 0 {
		return
	}
	removed := slices.DeleteFunc(slices.Clone(before), func(r fuchsiaspoke.Region) bool { return slices.Contains(after, r) })
	switch {
	case len(before) == 0:
		f.change(KindRegionsNarrowed, field(p, fuchsiaspoke.PartRegions), fmt.Sprintf("any region was allowed, now only %q", after), "remove the list unless the cut is meant")
	case len(removed) > 0:
		f.change(KindRegionsNarrowed, field(p, fuchsiaspoke.PartRegions), fmt.Sprintf("regions no longer allowed: %q", removed), "keep them unless the cut is meant")
	}
}

func compareRoutes(f *findings, next *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	after := map[hostPrefix]fuchsiaspoke.ServiceRoute{}
	for _, r := range slices.Backward(next.Routes) {
		after[hostPrefix{r.Host, r.PathPrefix}] = r
	}
	seen := map[hostPrefix]bool{}
	for n, r := range file.Routes {
		selector := hostPrefix{r.Host, r.PathPrefix}
		if seen[selector] {
			continue
		}
		seen[selector] = true
		at := element(fuchsiaspoke.PartRoutes, n, r.Name)
		now, found := after[selector]
		if !found {
			f.change(KindRouteRemoved, at, fmt.Sprintf("no route for host %q and prefix %q any more", r.Host, r.PathPrefix), "keep the route until no caller uses it")
			continue
		}
		lowered(f, field(at, fuchsiaspoke.PartTimeout), "timeout", r.Timeout, now.Timeout)
		lowered(f, field(at, fuchsiaspoke.PartAttempts), "attempts", r.MaxAttempts, now.MaxAttempts)
		if r.Open && !now.Open {
			f.change(KindKeyRequired, field(at, fuchsiaspoke.PartOpen), "requests needed no key and now need one", "keep the route open until all its callers have keys")
		}
		narrowed(f, at, r.Regions, now.Regions)
	}
}

func compareServices(f *findings, next *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	for n, s := range file.Services {
		at := element(fuchsiaspoke.PartServices, n, s.Name)
		now, found := next.Services[s.Name]
		if !found {
			f.change(KindServiceRemoved, at, "the service is gone", "keep it until no route and no replica uses it")
			continue
		}
		if s.Engine == nil {
			continue
		}
		engine := field(at, fuchsiaspoke.PartEngine)
		if now.Engine == nil {
			f.change(KindModelRemoved, engine, fmt.Sprintf("the service no longer runs its %d models", len(s.Models)), "keep the engine until no caller uses its models")
			continue
		}
		lowered(f, field(engine, fuchsiaspoke.PartBatchSize), "batch size", s.Engine.BatchSize, now.Engine.BatchSize)
		lowered(f, field(engine, fuchsiaspoke.PartCacheTokens), "tokens in the cache", s.Engine.CacheTokens, now.Engine.CacheTokens)
		lowered(f, field(engine, fuchsiaspoke.PartAdapterSlots), "adapter slots", s.Engine.AdapterSlots, now.Engine.AdapterSlots)
		loweredWithDefault(f, field(engine, fuchsiaspoke.PartLoadRate), "loads a second", s.Engine.LoadsPerSecond, now.Engine.LoadsPerSecond)
		for k, m := range s.Models {
			if _, found := now.Engine.Models[m.Name]; !found {
				f.change(KindModelRemoved, item(engine, fuchsiaspoke.PartModels, k, m.Name), fmt.Sprintf("the model and its %d adapters are gone", m.Adapters),
					"keep it until no caller uses it")
			}
		}
	}
}

func compareAccounts(f *findings, next, inForce *fuchsiaspoke.Contract, file fuchsiaspoke.ConfigurationFile) {
	for n, a := range file.Accounts {
		at := element(fuchsiaspoke.PartAccounts, n, a.Name)
		now, found := next.Accounts[a.Name]
		if !found {
			f.change(KindAccountRemoved, at, fmt.Sprintf("the account is gone, and its keys with it (%d)", len(a.Keys)), "keep it until no caller uses its keys")
		}
		for k, key := range a.Keys {
			compareKey(f, item(at, fuchsiaspoke.PartKeys, k, ""), next, inForce, key, a.Name, found)
		}
		if !found {
			continue
		}
		before := inForce.Accounts[a.Name]
		rate := field(at, fuchsiaspoke.PartRate)
		if before.TokensPerSecond <= 0 && now.TokensPerSecond > 0 {
			f.change(KindLimitLowered, rate, fmt.Sprintf("the rate was not limited and is now %v a second", now.TokensPerSecond), "keep 0 unless the cut is meant")
		}
		loweredWithDefault(f, rate, "rate a second", before.TokensPerSecond, now.TokensPerSecond)
		if before.TokensPerSecond > 0 && now.TokensPerSecond > 0 {
			lowered(f, field(at, fuchsiaspoke.PartBurst), "burst", before.BurstTokens, now.BurstTokens)
		}
		narrowed(f, at, before.Regions, now.Regions)
	}
}

// compareKey adds a finding for a key that its account no longer has. The keys of an account that is gone are named only if another account
// has them now. No message holds a key.
func compareKey(f *findings, p fuchsiaspoke.ConfigurationPath, next, inForce *fuchsiaspoke.Contract, key, account string, accountKept bool) {
	if inForce.Keys[key] != account {
		return
	}
	now, found := next.Keys[key]
	switch {
	case !found && accountKept:
		f.change(KindKeyWithdrawn, p, "the key is withdrawn", "keep it until no caller uses it")
	case found && now != account:
		f.change(KindKeyMoved, p, fmt.Sprintf("the key now belongs to account %q", now), "keep it here unless its callers are meant to change account")
	}
}
