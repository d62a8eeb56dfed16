package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// BenchmarkRenewal renews three resources at five grantors in one process, and reports the encoded size of one round's messages
// between VMs.
func BenchmarkRenewal(b *testing.B) {
	list := fuchsiaspoke.VMList{Revision: 1}
	vms := map[string]*Leaser{}
	for i := range 5 {
		id := fmt.Sprint("vm", i)
		list.VMs = append(list.VMs, fuchsiaspoke.VM{ID: id, Zone: fuchsiaspoke.Zone(fmt.Sprint("zone", i%3))})
		vms[id] = &Leaser{Self: id, Incarnation: id + "-1", Group: "replicas"}
	}
	resources := []string{"10.0.1.7:9000", "10.0.2.7:9000", "10.0.3.7:9000"}
	now, linkBytes := time.Duration(0), 0
	renewLeases := func(id string, wanted []string, measure bool) {
		for _, request := range vms[id].BuildRequests(now, wanted) {
			response := vms[request.To].HandleRequest(now, request)
			vms[id].HandleResponse(now, response)
			if measure && request.To != id {
				linkBytes += encodedSize(b, request) + encodedSize(b, response)
			}
		}
	}
	for _, l := range vms {
		l.Adopt(now, list)
	}
	for ; now < 2*defaultLength; now += time.Second {
		for id := range vms {
			renewLeases(id, nil, false)
		}
	}
	for range 3 {
		renewLeases("vm0", resources, false)
		now += time.Second
	}
	renewLeases("vm0", resources, true)
	if _, held := vms["vm0"].Held(now, resources[0]); !held {
		b.Fatal("the resource is not held")
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second
		renewLeases("vm0", resources, false)
	}
	b.ReportMetric(float64(linkBytes), "link-bytes/op")
}

func encodedSize(b *testing.B, message any) int {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}
