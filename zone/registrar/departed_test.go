package registrar_test

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Report of a system like ours: v1 has served beside v2 for long and has just left when all VMs are killed. Streams that began at v1 were
// taken up at v2, whose replicas are all old.
func TestStreamOfVersionThatJustLeftIsNotTakenUpByRestartedFleet(t *testing.T) {
	old := time.Now().Add(-time.Hour)
	replica := func(version string) *fuchsiaspoke.Replica {
		return &fuchsiaspoke.Replica{ID: version, Service: service, SoftwareVersion: version}
	}
	for name, c := range map[string]struct {
		changes []fuchsiaspoke.Publication
		err     error
		want    string
	}{
		"v1 drained":              {[]fuchsiaspoke.Publication{{Name: "a", Replica: replica("v1")}, {Name: "a", Withdrawn: true}}, nil, "unknown"},
		"some replica left":       {[]fuchsiaspoke.Publication{{Name: "b", Withdrawn: true}}, nil, "unknown"},
		"history is gone":         {nil, errors.New("discarded"), "unknown"},
		"v2 alone":                {[]fuchsiaspoke.Publication{{Name: "c", Replica: replica("v2")}}, nil, "v2"},
		"other service's replica": {[]fuchsiaspoke.Publication{{Name: "d", Replica: &fuchsiaspoke.Replica{Service: "desk", SoftwareVersion: "v9"}}, {Name: "d", Withdrawn: true}}, nil, "v2"},
		"nothing changed":         {nil, nil, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, false)
			f.changes, f.changesErr = c.changes, c.err
			f.publish(old, "v2")
			f.run(t)
			if got := f.find(1, "began before the restart"); got != c.want {
				t.Errorf("version %s, want %s", got, c.want)
			}
		})
	}
}
