package fuchsiaspoke

import "slices"

// Region is the name of a region, which has one or more availability zones; "" is an unknown one.
type Region string

// IntersectRegions returns the regions that two lists allow together; an empty list allows any region. The result is nil if both are empty,
// and not nil but empty if they have no region in common.
func IntersectRegions(a, b []Region) []Region {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	out := make([]Region, 0, len(a))
	for _, r := range a {
		if slices.Contains(b, r) {
			out = append(out, r)
		}
	}
	return out
}

// RegionAllowed reports whether a list allows a region. Nil allows any; no other list allows an unknown region.
func RegionAllowed(list []Region, r Region) bool {
	return list == nil || r != "" && slices.Contains(list, r)
}

// DirectoryQuery is a caller's lookup of the addresses of VMs. Its fields may be empty.
type DirectoryQuery struct {
	// Host is the host that the caller wants to reach, Region and Zone are where the caller is.
	Host   string
	Region Region
	Zone   Zone
}
