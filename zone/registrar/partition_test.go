package registrar_test

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Issue 51: VMs on one side of a partition, to which replicas of a second software version are not known, confirmed each other that there was one.
func TestVMsOnOneSideOfPartitionDoNotConfirmEachOther(t *testing.T) {
	f := newFleet(3, true)
	f.publish(time.Now(), "v1")
	f.run(t)
	f.newsErr, f.silent = errors.New("the platform is not reached"), true
	for range 2 {
		f.pass(3 * time.Second)
		f.run(t)
	}
	if got := f.find(0, "begun behind the partition"); got != "unknown" {
		t.Errorf("version %s, want unknown", got)
	}
	f.silent = false
	if got := f.find(0, "before"); got != "v1" {
		t.Errorf("platform down, all VMs reachable: version %s, want v1", got)
	}
}

// As above, where the partition has just begun or ended: what is published is younger than the limit, and the platform knows better.
func TestSoftwareVersionsAreReadAnewForResumedStream(t *testing.T) {
	f := newFleet(3, true)
	f.publish(time.Now(), "v1")
	f.run(t)
	f.news = []fuchsiaspoke.Publication{{Name: "e", Replica: &fuchsiaspoke.Replica{ID: "e", Service: service, SoftwareVersion: "v2"}}}
	if got := f.find(0, "begun at v2"); got != "unknown" {
		t.Errorf("version %s, want unknown: the platform names a second one", got)
	}
	f.news = []fuchsiaspoke.Publication{{Name: "e", Replica: &fuchsiaspoke.Replica{ID: "e", Service: service, SoftwareVersion: "v1"}}}
	if got := f.find(0, "before"); got != "v1" {
		t.Errorf("version %s, want v1", got)
	}
}
