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
	maxNameBytes = 256
	// maxTokens limits token amounts, and rates in tokens per second.
	maxTokens = 1 << 40
	// maxCapacity limits the resident adapters (slots) and the running requests (batch) of an upstream.
	maxCapacity      = 1 << 16
	sha256Bytes      = 32
	firstGraphicByte = '!'
	lastGraphicByte  = '~'
)

var allowedMethods = map[string]bool{
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

// checkKind requires the document's name to match its kind. A later revision therefore cannot change the kind,
// which would remove the items of the old kind.
func checkKind(f *faults, name string, kind fuchsiaspoke.DocumentKind) {
	if name == string(kind) {
		return
	}
	if kind == fuchsiaspoke.VMsDocument {
		f.add("kind", "a document of this kind must be named %q", kind)
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
	ids, callerAddresses, linkAddresses := uniqueValues{}, uniqueValues{}, uniqueValues{}
	for i, vm := range c.VMs {
		at := itemPath(i)
		checkName(f, at, ".id", vm.ID)
		checkName(f, at, ".availability_zone", string(vm.Zone))
		checkAddress(f, at, ".caller_address", vm.CallerAddress)
		checkAddress(f, at, ".link_address", vm.LinkAddress)
		ids.check(f, at, ".id", vm.ID, i)
		callerAddresses.check(f, at, ".caller_address", vm.CallerAddress, i)
		linkAddresses.check(f, at, ".link_address", vm.LinkAddress, i)
	}
}

func checkUpstreams(f *faults, upstreams []fuchsiaspoke.Upstream) {
	ids, addresses := uniqueValues{}, uniqueValues{}
	for i, u := range upstreams {
		at := itemPath(i)
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
	checkRange(f, at, ".slots", int64(u.AdapterSlots), 1, maxCapacity)
	checkRange(f, at, ".batch", int64(u.BatchSize), 1, maxCapacity)
	if u.Service != "" {
		f.add(at+".service", "must not be set on an engine")
	}
}

func checkService(f *faults, at string, u fuchsiaspoke.Upstream) {
	checkName(f, at, ".service", u.Service)
	checkRange(f, at, ".batch", int64(u.BatchSize), 0, maxCapacity)
	if u.BaseModel != "" {
		f.add(at+".base_model", "must not be set on a service")
	}
	if u.AdapterSlots != 0 {
		f.add(at+".slots", "must not be set on a service")
	}
}

func checkProfiles(f *faults, profiles []fuchsiaspoke.Profile) {
	names := uniqueValues{}
	for i, p := range profiles {
		at := itemPath(i)
		checkName(f, at, ".name", p.Name)
		names.check(f, at, ".name", p.Name, i)
		checkAccess(f, at, p)
		switch model, service := isModelProfile(p), isServiceProfile(p); {
		case model && service:
			f.add(at, "must be either a model profile or a service profile, not both")
		case model:
			checkModelProfile(f, at, p)
		case service:
			checkServiceProfile(f, at, p)
		default:
			f.add(at, "must have base_model and adapter, or service and routes")
		}
	}
}

func isModelProfile(p fuchsiaspoke.Profile) bool {
	return p.BaseModel != "" || p.Adapter != (fuchsiaspoke.Adapter{}) || p.MaxOutputTokens != 0
}

func isServiceProfile(p fuchsiaspoke.Profile) bool {
	return p.Service != "" || len(p.Routes) > 0
}

// checkAccess validates which client accounts may call the profile.
func checkAccess(f *faults, at string, p fuchsiaspoke.Profile) {
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
	names := uniqueValues{}
	for i, name := range p.ClientAccounts {
		field := at + ".client_accounts[" + strconv.Itoa(i) + "]"
		checkName(f, field, "", name)
		names.check(f, field, "", name, i)
	}
}

func checkModelProfile(f *faults, at string, p fuchsiaspoke.Profile) {
	checkName(f, at, ".base_model", p.BaseModel)
	checkName(f, at, ".adapter.name", p.Adapter.Name)
	checkRange(f, at, ".adapter.version", p.Adapter.Version, 1, math.MaxInt64)
	checkRange(f, at, ".max_output_tokens", p.MaxOutputTokens, 1, maxTokens)
}

func checkServiceProfile(f *faults, at string, p fuchsiaspoke.Profile) {
	checkName(f, at, ".service", p.Service)
	if len(p.Routes) == 0 {
		f.add(at+".routes", "must have at least one route")
	}
	routes := uniqueValues{}
	for i, r := range p.Routes {
		field := at + ".routes[" + strconv.Itoa(i) + "]"
		if !allowedMethods[r.Method] {
			f.add(field+".method", "unknown method %q", r.Method)
		}
		checkPathPrefix(f, field, ".path_prefix", r.PathPrefix)
		checkRange(f, field, ".cost_tokens", r.CostTokens, 1, maxTokens)
		routes.check(f, field, "", r.Method+" "+r.PathPrefix, i)
	}
}

// checkPathPrefix accepts only clean paths, so that a prefix can be compared byte by byte with a cleaned request path.
func checkPathPrefix(f *faults, at, field, prefix string) {
	if !strings.HasPrefix(prefix, "/") {
		f.add(at+field, "must begin with /")
		return
	}
	trimmed := strings.TrimSuffix(prefix, "/")
	if trimmed != "" && path.Clean(trimmed) != trimmed || strings.ContainsAny(prefix, "?#%\\") || !isGraphicASCII(prefix) {
		f.add(at+field, "must be a clean path without query, fragment or escapes")
	}
}

func checkAccounts(f *faults, accounts []fuchsiaspoke.ClientAccount) {
	names := uniqueValues{}
	for i, a := range accounts {
		at := itemPath(i)
		checkName(f, at, ".name", a.Name)
		names.check(f, at, ".name", a.Name, i)
		checkAmount(f, at, ".rate_tokens_per_second", a.RateTokensPerSecond)
		checkAmount(f, at, ".burst_tokens", a.BurstTokens)
	}
}

// checkKeys validates keys and converts their hashes to lower case, so that equal hashes are equal strings. A withdrawn
// key needs no client account, since the operator may know nothing but its hash.
func checkKeys(f *faults, keys []fuchsiaspoke.Key) {
	hashes := uniqueValues{}
	for i := range keys {
		k := &keys[i]
		at := itemPath(i)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != sha256Bytes {
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
	case !isGraphicASCII(name):
		f.add(at+field, "must be printable ASCII without spaces")
	}
}

func isGraphicASCII(s string) bool {
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
		f.add(at+field, "must be a unicast IP address and a non-zero port")
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

func itemPath(i int) string {
	return "items[" + strconv.Itoa(i) + "]"
}

// uniqueValues maps each value to the index of its first occurrence.
type uniqueValues map[string]int

func (u uniqueValues) check(f *faults, at, field, value string, i int) {
	if value == "" {
		return
	}
	if first, ok := u[value]; ok {
		f.add(at+field, "duplicates the value at index %d", first)
		return
	}
	u[value] = i
}
