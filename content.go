package fuchsiaspoke

// Content is what one document holds once it is parsed; the field of its kind alone is set.
type Content struct {
	Kind      DocumentKind
	VMs       []VM
	Upstreams []Upstream
	Profiles  []Profile
	Accounts  []ClientAccount
	Keys      []Key
}
