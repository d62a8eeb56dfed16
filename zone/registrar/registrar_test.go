package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/versionassigner"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/registrar"
	"github.com/fxamacker/cbor/v2"
)

const service = "texts"

// fleet is a number of registrars that call each other.
type fleet struct {
	vms        []fuchsiaspoke.VM
	registrars map[string]*registrar.Registrar
	down       map[string]bool
	published  *fuchsiaspoke.PublishedState
	began      time.Time
	// passed is how far the clock was put forward.
	passed time.Duration
	// changes is what the platform still holds from before, or changesErr why it can't be read.
	changes    []fuchsiaspoke.Publication
	changesErr error
	// news is what the platform holds that no VM has heard of, and newsErr why it can't be read; silent means that a VM is not heard.
	news    []fuchsiaspoke.Publication
	newsErr error
	silent  bool
}

// Read returns the changes that the platform holds.
func (f *fleet) Read(context.Context) ([]fuchsiaspoke.Publication, error) {
	return f.changes, f.changesErr
}

// ReadNews returns what the platform holds that no VM has heard of.
func (f *fleet) ReadNews(context.Context) ([]fuchsiaspoke.Publication, error) {
	return f.news, f.newsErr
}

func newFleet(n int, firstStart bool) *fleet {
	f := &fleet{registrars: map[string]*registrar.Registrar{}, down: map[string]bool{}, began: time.Now()}
	for i := range n {
		f.vms = append(f.vms, fuchsiaspoke.VM{ID: fmt.Sprint("vm_", i), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone_", i%3))})
	}
	for _, vm := range f.vms {
		f.registrars[vm.ID] = &registrar.Registrar{
			Self: vm, FirstStart: firstStart, VMs: func() []fuchsiaspoke.VM { return f.vms }, Dialer: f, Changes: f,
			Published: func() *fuchsiaspoke.PublishedState { return f.published },
			Clock:     f.clock, AnySilent: func() bool { return f.silent },
			Log: func(string, ...any) {}, Count: func(string) {},
		}
	}
	return f
}

func (f *fleet) clock() time.Duration { return time.Second + time.Since(f.began) + f.passed }

// pass puts the clock forward.
func (f *fleet) pass(d time.Duration) { f.passed += d }

// publish sets the software versions of the service's replicas, which started at a time.
func (f *fleet) publish(started time.Time, versions ...string) {
	p := &fuchsiaspoke.PublishedState{Replicas: map[string]fuchsiaspoke.Replica{}, ReadAt: f.clock()}
	for _, v := range versions {
		p.Replicas[v] = fuchsiaspoke.Replica{ID: v, Service: service, SoftwareVersion: v, StartedAtMs: started.UnixMilli()}
	}
	f.published = p
}

// Call calls a registrar as a link does; VMs that are down don't respond.
func (f *fleet) Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error {
	if f.down[vm.ID] {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	send := func(reply any) error {
		raw, err := cbor.Marshal(reply)
		if err != nil {
			return err
		}
		return receive(raw)
	}
	r := f.registrars[vm.ID]
	switch method {
	case registrar.MethodRecord:
		return r.ServeRecord(ctx, method, frame.Frame{Body: body}, send)
	case registrar.MethodOrigin:
		return r.ServeOrigin(ctx, method, frame.Frame{Body: body}, send)
	}
	return errors.New("unknown method " + method)
}

// run runs all registrars for a time, within which they have delivered what is due.
func (f *fleet) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var ended []<-chan error
	for _, r := range f.registrars {
		ended = append(ended, r.Run(ctx))
	}
	time.Sleep(300 * time.Millisecond)
	cancel()
	for _, e := range ended {
		if err := <-e; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

func origin(version string) fuchsiaspoke.StreamOrigin {
	return fuchsiaspoke.StreamOrigin{Service: service, SoftwareVersion: version}
}

// find asks a VM at which software version a stream began.
func (f *fleet) find(vm int, begunBy string) string {
	o, known := f.registrars[f.vms[vm].ID].Find(context.Background(), fuchsiaspoke.StreamQuestion{
		BegunBy: begunBy, Service: service, Recall: f.recall(begunBy),
	})
	if !known || o.Service != service {
		return "unknown"
	}
	return o.SoftwareVersion
}

// recall returns what tells the version to which a stream was assigned that began up to 10 s ago.
func (f *fleet) recall(begunBy string) func([]fuchsiaspoke.Replica) (string, bool) {
	return func(uncertain []fuchsiaspoke.Replica) (string, bool) {
		var a versionassigner.VersionAssigner
		var certain []fuchsiaspoke.Replica
		for _, r := range f.published.Replicas {
			if a.RunsSince(r, time.Now(), 10*time.Second) {
				certain = append(certain, r)
			} else {
				uncertain = append(uncertain, r)
			}
		}
		return a.Recall(a.Key(fuchsiaspoke.Demand{}, begunBy), certain, uncertain)
	}
}

// assigned returns the version at which a stream begins.
func (f *fleet) assigned(begunBy string) string {
	var a versionassigner.VersionAssigner
	version, _ := a.Assign(a.Key(fuchsiaspoke.Demand{}, begunBy), slices.Collect(maps.Values(f.published.Replicas)))
	return version
}

func TestOriginOutlivesItsVMWhileVersionsAreMixed(t *testing.T) {
	for _, n := range []int{3, 6, 40} {
		f := newFleet(n, true)
		f.publish(time.Now(), "v1", "v2")
		f.run(t)
		for i := range 50 {
			f.registrars["vm_0"].Record(fmt.Sprint("a", i), origin([]string{"v1", "v2"}[i%2]), 20*time.Second)
		}
		f.run(t)
		f.down["vm_0"] = true
		f.down["vm_1"] = n > 3
		for i := range 50 {
			if got, want := f.find(2, fmt.Sprint("a", i)), []string{"v1", "v2"}[i%2]; got != want {
				t.Fatalf("%d VMs, stream %d: version %s, want %s", n, i, got, want)
			}
		}
	}
}

// Streams that began while there was one software version are recorded once a second one appears.
func TestStreamsUnderWayAreToldWhenSecondVersionAppears(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now(), "v1")
	f.run(t)
	f.registrars["vm_0"].Record("early", origin("v1"), 20*time.Second)
	f.run(t)
	f.publish(time.Now(), "v1", "v2")
	f.run(t)
	f.down["vm_0"] = true
	if got := f.find(2, "early"); got != "v1" {
		t.Errorf("version %s, want v1", got)
	}
}

func TestUnknownIsNeverTheSame(t *testing.T) {
	f := newFleet(4, true)
	f.publish(time.Now(), "v1", "v2")
	f.run(t)
	f.registrars["vm_0"].Record("other service", fuchsiaspoke.StreamOrigin{Service: "desk", SoftwareVersion: "v1"}, 20*time.Second)
	for _, begunBy := range []string{"nobody", "", "other service"} {
		if got := f.find(1, begunBy); got != "unknown" {
			t.Errorf("begun by %q: version %s, want unknown", begunBy, got)
		}
	}
}

// All VMs have restarted. Whether a software version has left lately can be told by replicas that started lately, which took its place.
func TestAfterRestartOfAllVMsOneVersionIsTrustedUnlessAReplicaIsNew(t *testing.T) {
	f := newFleet(3, false)
	f.publish(time.Now().Add(-time.Hour), "v2")
	f.run(t)
	if got := f.find(0, "before"); got != "v2" {
		t.Errorf("old replicas alone: version %s, want v2", got)
	}
	f.publish(time.Now(), "v2")
	f.run(t)
	if got := f.find(0, "before"); got != "unknown" {
		t.Errorf("a new replica: version %s, want unknown", got)
	}
}
