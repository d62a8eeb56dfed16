package versionassigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/versionassigner"
)

// engines returns n engines of a version.
func engines(version string, n int) []fuchsiaspoke.Replica {
	var out []fuchsiaspoke.Replica
	for i := range n {
		out = append(out, fuchsiaspoke.Replica{ID: fmt.Sprint(version, "-", i), SoftwareVersion: version})
	}
	return out
}

func TestOneVersionIsNotAssigned(t *testing.T) {
	var a versionassigner.VersionAssigner
	for _, all := range [][]fuchsiaspoke.Replica{nil, engines("v1", 3)} {
		if version, several := a.Assign("key", all); several {
			t.Errorf("%d engines of one version: assigned to %q", len(all), version)
		}
	}
}

func TestVersionsAreAssignedByTheirEngines(t *testing.T) {
	var a versionassigner.VersionAssigner
	all := append(engines("v1", 9), engines("v2", 3)...)
	n := map[string]int{}
	for i := range 4000 {
		version, _ := a.Assign(fmt.Sprint("stream ", i), all)
		n[version]++
	}
	if n["v2"] < 900 || n["v2"] > 1100 {
		t.Errorf("assigned %v of 4000 streams, want 1000 to v2", n)
	}
}

// A wrong version joins two streams: whatever engines of the uncertain ones were ready, the version that is recalled was assigned.
func TestRecalledVersionIsTheAssignedOne(t *testing.T) {
	var a versionassigner.VersionAssigner
	certain, uncertain := append(engines("v1", 4), engines("v2", 2)...), engines("v3", 2)
	recalled := 0
	for i := range 1000 {
		key := fmt.Sprint("stream ", i)
		version, found := a.Recall(key, certain, uncertain)
		if !found {
			continue
		}
		recalled++
		for n := range len(uncertain) + 1 {
			if assigned, _ := a.Assign(key, append(certain[:len(certain):len(certain)], uncertain[:n]...)); assigned != version {
				t.Fatalf("stream %d: recalled %s, assigned %s with %d of the uncertain engines", i, version, assigned, n)
			}
		}
	}
	if recalled < 700 || recalled > 800 {
		t.Errorf("%d of 1000 recalled, want the three quarters that no uncertain engine may have had", recalled)
	}
	if _, found := a.Recall("key", nil, uncertain); found {
		t.Error("recalled without any certain engine")
	}
}

func TestEngineRunsSince(t *testing.T) {
	var a versionassigner.VersionAssigner
	now := time.Now()
	e := fuchsiaspoke.Replica{StartedAtMs: now.Add(-13 * time.Second).UnixMilli()}
	if !a.RunsSince(e, now, 10*time.Second) || a.RunsSince(e, now, 12*time.Second) || a.RunsSince(fuchsiaspoke.Replica{}, now, time.Second) {
		t.Error("an engine of 13 s counts as older than 12 s with the clocks' difference, or not as older than 10 s, or one without a start")
	}
}
