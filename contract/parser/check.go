package parser

import (
	"encoding/hex"
	"math"
	"net/netip"
	"path"
	"strconv"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	maxNameBytes     = 256
	maxTokens        = 1 << 40
	maxSlots         = 1 << 16
	hashBytes        = 32
	firstGraphicByte = '!'
	lastGraphicByte  = '~'
)

var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

func checkContent(f *faults, name string, c fuchsiaspoke.Content) {
	if c.Kind == "" {
		return
	}
	checkKind(f, name, c.Kind)
	checkVMs(f, c)
	checkUpstreams(f, c.Upstreams)
	checkProfiles(f, c.Profiles)
	checkAccounts(f, c.Accounts)
	checkKeys(f, c.Keys)
}

// checkKind ties a document's name to its kind, so that no revision can empty a kind by becoming another one.
func checkKind(f *faults, name string, kind fuchsiaspoke.DocumentKind) {
	if name == string(kind) {
		return
	}
	if kind == fuchsiaspoke.VMsDocument {
		f.add("kind", "the list of VMs must be the one document named %q", kind)
		return
	}
	if !strings.HasPrefix(name, string(kind)+"_") {
		f.add("kind", "a document of this kind must be named %q or begin with %q", kind, string(kind)+"_")
	}
}

func checkVMs(f *faults, c fuchsiaspoke.Content) {
	if c.Kind == fuchsiaspoke.VMsDocument && len(c.VMs) == 0 {
		f.add("items", "must list at least one VM")
	}
	ids, callers, links := unique{}, unique{}, unique{}
	for i, vm := range c.VMs {
		at := item(i)
		checkName(f, at, ".id", vm.ID)
		checkName(f, at, ".availability_zone", string(vm.Zone))
		checkAddress(f, at, ".caller_address", vm.CallerAddress)
		checkAddress(f, at, ".link_address", vm.LinkAddress)
		ids.check(f, at, ".id", vm.ID, i)
		callers.check(f, at, ".caller_address", vm.CallerAddress, i)
		links.check(f, at, ".link_address", vm.LinkAddress, i)
	}
}

func checkUpstreams(f *faults, upstreams []fuchsiaspoke.Upstream) {
	ids, addresses := unique{}, unique{}
	for i, u := range upstreams {
		at := item(i)
		checkName(f, at, ".id", u.ID)
		checkName(f, at, ".availability_zone", string(u.Zone))
		checkAddress(f, at, ".address", u.Address)
		ids.check(f, at, ".id", u.ID, i)
		addresses.check(f, at, ".address", u.Address, i)
		switch u.Kind {
		case fuchsiaspoke.EngineUpstream:
			checkEngine(f, at, u)
		case fuchsiaspoke.ServiceUpstream:
			checkService(f, at, u)
		default:
			f.add(at+".kind", "must be %q or %q", fuchsiaspoke.EngineUpstream, fuchsiaspoke.ServiceUpstream)
		}
	}
}

func checkEngine(f *faults, at string, u fuchsiaspoke.Upstream) {
	checkName(f, at, ".base_model", u.BaseModel)
	checkRange(f, at, ".slots", int64(u.Slots), 1, maxSlots)
	checkRange(f, at, ".batch", int64(u.Batch), 1, maxSlots)
	if u.Service != "" {
		f.add(at+".service", "must not be set on an engine")
	}
}

func checkService(f *faults, at string, u fuchsiaspoke.Upstream) {
	checkName(f, at, ".service", u.Service)
	checkRange(f, at, ".batch", int64(u.Batch), 0, maxSlots)
	if u.BaseModel != "" {
		f.add(at+".base_model", "must not be set on a service")
	}
	if u.Slots != 0 {
		f.add(at+".slots", "must not be set on a service")
	}
}

func checkProfiles(f *faults, profiles []fuchsiaspoke.Profile) {
	names := unique{}
	for i, p := range profiles {
		at := item(i)
		checkName(f, at, ".name", p.Name)
		names.check(f, at, ".name", p.Name, i)
		checkCallers(f, at, p)
		switch model, service := isModel(p), isService(p); {
		case model && service:
			f.add(at, "must be either a model profile or a service profile, is both")
		case model:
			checkModel(f, at, p)
		case service:
			checkRoutes(f, at, p)
		default:
			f.add(at, "must have base_model and adapter, or service and routes")
		}
	}
}

func isModel(p fuchsiaspoke.Profile) bool {
	return p.BaseModel != "" || p.Adapter != (fuchsiaspoke.Adapter{}) || p.MaxOutputTokens != 0
}

func isService(p fuchsiaspoke.Profile) bool {
	return p.Service != "" || len(p.Routes) > 0
}

func checkCallers(f *faults, at string, p fuchsiaspoke.Profile) {
	if p.Open {
		checkName(f, at, ".open_account", p.OpenAccount)
		if len(p.ClientAccounts) > 0 {
			f.add(at+".client_accounts", "must be empty on an open profile")
		}
		return
	}
	if p.OpenAccount != "" {
		f.add(at+".open_account", "must not be set unless open is true")
	}
	if len(p.ClientAccounts) == 0 {
		f.add(at+".client_accounts", "must name at least one client account, or open must be true")
	}
	names := unique{}
	for i, name := range p.ClientAccounts {
		field := at + ".client_accounts[" + strconv.Itoa(i) + "]"
		checkName(f, field, "", name)
		names.check(f, field, "", name, i)
	}
}

func checkModel(f *faults, at string, p fuchsiaspoke.Profile) {
	checkName(f, at, ".base_model", p.BaseModel)
	checkName(f, at, ".adapter.name", p.Adapter.Name)
	checkRange(f, at, ".adapter.version", p.Adapter.Version, 1, math.MaxInt64)
	checkRange(f, at, ".max_output_tokens", p.MaxOutputTokens, 1, maxTokens)
}

func checkRoutes(f *faults, at string, p fuchsiaspoke.Profile) {
	checkName(f, at, ".service", p.Service)
	if len(p.Routes) == 0 {
		f.add(at+".routes", "must have at least one route")
	}
	routes := unique{}
	for i, r := range p.Routes {
		field := at + ".routes[" + strconv.Itoa(i) + "]"
		if !methods[r.Method] {
			f.add(field+".method", "unknown method %q", r.Method)
		}
		checkPathPrefix(f, field, ".path_prefix", r.PathPrefix)
		checkRange(f, field, ".cost_tokens", r.CostTokens, 1, maxTokens)
		routes.check(f, field, "", r.Method+" "+r.PathPrefix, i)
	}
}

// checkPathPrefix takes clean paths alone, so that a prefix can be compared byte by byte with a cleaned path.
func checkPathPrefix(f *faults, at, field, prefix string) {
	if !strings.HasPrefix(prefix, "/") {
		f.add(at+field, "must begin with /")
		return
	}
	trimmed := strings.TrimSuffix(prefix, "/")
	if trimmed != "" && path.Clean(trimmed) != trimmed || strings.ContainsAny(prefix, "?#%\\") || !graphic(prefix) {
		f.add(at+field, "must be a clean path without query, fragment or escapes")
	}
}

func checkAccounts(f *faults, accounts []fuchsiaspoke.ClientAccount) {
	names := unique{}
	for i, a := range accounts {
		at := item(i)
		checkName(f, at, ".name", a.Name)
		names.check(f, at, ".name", a.Name, i)
		checkAmount(f, at, ".rate_tokens_per_second", a.RateTokensPerSecond)
		checkAmount(f, at, ".burst_tokens", a.BurstTokens)
	}
}

// checkKeys asks for no client account on a withdrawn key, since its hash may be all that the operator has.
// It writes the hashes in lower case, so that equal keys are equal strings.
func checkKeys(f *faults, keys []fuchsiaspoke.Key) {
	hashes := unique{}
	for i := range keys {
		k := &keys[i]
		at := item(i)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != hashBytes {
			f.add(at+".sha256", "must be 64 hexadecimal digits")
		}
		k.Hash = strings.ToLower(k.Hash)
		hashes.check(f, at, ".sha256", k.Hash, i)
		if !k.Withdrawn || k.Account != "" {
			checkName(f, at, ".client_account", k.Account)
		}
	}
}

func checkName(f *faults, at, field, name string) {
	switch {
	case name == "":
		f.add(at+field, "is missing or empty")
	case len(name) > maxNameBytes:
		f.add(at+field, "has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	case !graphic(name):
		f.add(at+field, "must be printable ASCII without spaces")
	}
}

func graphic(s string) bool {
	for i := range len(s) {
		if s[i] < firstGraphicByte || s[i] > lastGraphicByte {
			return false
		}
	}
	return true
}

func checkAddress(f *faults, at, field, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		f.add(at+field, "must be an IP address and a port")
	}
}

func checkAmount(f *faults, at, field string, amount float64) {
	if amount <= 0 || amount > maxTokens {
		f.add(at+field, "must be above 0 and at most %d", int64(maxTokens))
	}
}

func checkRange(f *faults, at, field string, n, low, high int64) {
	if n < low || n > high {
		f.add(at+field, "must be from %d to %d", low, high)
	}
}

func item(i int) string {
	return "items[" + strconv.Itoa(i) + "]"
}

// unique maps each value to the position where it stood first.
type unique map[string]int

func (u unique) check(f *faults, at, field, value string, i int) {
	if value == "" {
		return
	}
	if first, ok := u[value]; ok {
		f.add(at+field, "stands at position %d already", first)
		return
	}
	u[value] = i
}
