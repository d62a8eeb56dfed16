package registrar_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/registrar"
)

// restart replaces the registrar of a VM by that of a new process.
func (f *fleet) restart(ids ...string) {
	for _, id := range ids {
		old := f.registrars[id]
		f.registrars[id] = &registrar.Registrar{
			Self: old.Self, VMs: old.VMs, Dialer: old.Dialer, Changes: old.Changes, AnySilent: old.AnySilent, Published: old.Published, Clock: old.Clock, Log: old.Log, Count: old.Count,
		}
	}
}

// v1 has left a moment ago, and its streams are under way. A VM that restarts sees v2 alone, at replicas that started long ago, and takes that
// for proof, though the other VMs answer that the service had two versions.
func TestRestartedVMTrustsOldReplicasAgainstOthersThatSawTwoVersions(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now().Add(-time.Hour), "v1", "v2")
	f.run(t)
	f.publish(time.Now().Add(-time.Hour), "v2")
	f.run(t)
	f.restart("vm_2")
	f.run(t)
	// The VM that began the stream died before it had told others.
	if got := f.find(2, "begun at v1 by a VM that died"); got != "unknown" {
		t.Errorf("version %s, want unknown: the five other VMs saw two versions a moment ago", got)
	}
}
