// Package versionassigner assigns new streams to one of the software versions of their service's engines.
//
// All VMs assign a stream alike, by rendezvous hashing of its key over the engines, so that the version at which a stream began can still be
// told after all VMs have restarted and their records are gone.
package versionassigner

import (
	"cmp"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// clockMargin is the difference allowed between the times of day of VMs and engines.
const clockMargin = 2 * time.Second

// VersionAssigner assigns streams. Its zero value is ready to use.
type VersionAssigner struct{}

// Key returns the key of a stream for the demand, which the attempt began. Streams of one adapter have the same key, so that the adapter need
// not be loaded at two versions.
func (VersionAssigner) Key(d fuchsiaspoke.Demand, attempt string) string {
	return d.Model + "/" + cmp.Or(d.Adapter, attempt)
}

// Assign returns the version at whose engines a new stream begins. It returns false if the engines have one version, so that there is nothing
// to assign.
func (VersionAssigner) Assign(key string, engines []fuchsiaspoke.Replica) (version string, several bool) {
	for _, e := range engines {
		if e.SoftwareVersion != engines[0].SoftwareVersion {
			return rank(key, engines)[0].SoftwareVersion, true
		}
	}
	return "", false
}

// Recall returns the version to which a stream was assigned while the engines certain were ready, and perhaps some of the engines uncertain. It
// returns false if that leaves several versions.
func (VersionAssigner) Recall(key string, certain, uncertain []fuchsiaspoke.Replica) (version string, found bool) {
	if len(certain) == 0 {
		return "", false
	}
	isCertain := make(map[string]bool, len(certain))
	for _, e := range certain {
		isCertain[e.ID] = true
	}
	ranked := rank(key, append(append([]fuchsiaspoke.Replica(nil), certain...), uncertain...))
	for _, e := range ranked {
		if e.SoftwareVersion != ranked[0].SoftwareVersion {
			return "", false
		}
		if isCertain[e.ID] {
			break
		}
	}
	return ranked[0].SoftwareVersion, true
}

// RunsSince reports whether an engine has run for the time age at least.
func (VersionAssigner) RunsSince(e fuchsiaspoke.Replica, now time.Time, age time.Duration) bool {
	return e.StartedAtMs > 0 && e.StartedAtMs <= now.Add(-age-clockMargin).UnixMilli()
}

func rank(key string, engines []fuchsiaspoke.Replica) []fuchsiaspoke.Replica {
	return ranker.RankBy(key, engines, func(r fuchsiaspoke.Replica) string { return r.ID })
}
