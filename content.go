package fuchsiaspoke

// Content is a parsed document; only the field that matches Kind is set.
type Content struct {
	Kind      DocumentKind
	VMs       []VM
	Upstreams []Upstream
	Profiles  []Profile
	Accounts  []ClientAccount
	Keys      []Key
}
