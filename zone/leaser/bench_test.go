package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// BenchmarkRenewal renews three resources at a council of five, all in one process, and counts the bytes on the links.
func BenchmarkRenewal(b *testing.B) {
	list := fuchsiaspoke.VMList{Revision: 1}
	vms := map[string]*Leaser{}
	for i := range 5 {
		id := fmt.Sprint("vm", i)
		list.VMs = append(list.VMs, fuchsiaspoke.VM{ID: id, Zone: fuchsiaspoke.Zone(fmt.Sprint("zone", i%3))})
		vms[id] = &Leaser{Self: id, Incarnation: id + "-1", Group: "replicas"}
	}
	resources := []string{"10.0.1.7:9000", "10.0.2.7:9000", "10.0.3.7:9000"}
	now, sent := time.Duration(0), 0
	renew := func(id string, wanted []string, measure bool) {
		for _, ask := range vms[id].Ask(now, wanted) {
			answer := vms[ask.To].Answer(now, ask)
			vms[id].Hear(now, answer)
			if measure && ask.To != id {
				sent += size(b, ask) + size(b, answer)
			}
		}
	}
	for _, l := range vms {
		l.Adopt(now, list)
	}
	for ; now < 2*defaultLength; now += time.Second {
		for id := range vms {
			renew(id, nil, false)
		}
	}
	for range 3 {
		renew("vm0", resources, false)
		now += time.Second
	}
	renew("vm0", resources, true)
	if _, held := vms["vm0"].Held(now, resources[0]); !held {
		b.Fatal("nothing is held")
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second
		renew("vm0", resources, false)
	}
	b.ReportMetric(float64(sent), "link-bytes/op")
}

func size(b *testing.B, message any) int {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}
