package proof

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// settleTime lets a fleet come to rest before it is measured.
	settleTime = 4 * time.Second
	// measureTime is the length of a measurement.
	measureTime = 5 * time.Second
	// ticksPerSecond is the kernel's unit of processor time in /proc.
	ticksPerSecond = 100
)

// TestControlCost prints what an idle VM spends on control, for each number of VMs; docs/CAPACITY.md is worked out from it.
func TestControlCost(t *testing.T) {
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		must(t, err)
		t.Run(size, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, vms int) {
	f := newFleet(t, shape{vms: vms, engines: 2 * vms, services: 1})
	time.Sleep(settleTime)
	bytes, ticks, reads := f.links.bytes.Load(), f.ticks(), len(f.world.Platform.Records())
	time.Sleep(measureTime)
	perVM := func(total float64) float64 { return total / float64(vms) / measureTime.Seconds() }
	memory := int64(0)
	for _, m := range f.vms {
		memory = max(memory, m.residentKilobytes(t))
	}
	t.Logf("%d VMs, %d engines: %.0f link bytes/s, %.2f%% of a core, %.2f platform reads/s a VM; largest resident memory %d KB",
		vms, 2*vms, perVM(float64(f.links.bytes.Load()-bytes)),
		100*perVM(float64(f.ticks()-ticks)/ticksPerSecond), perVM(float64(len(f.world.Platform.Records())-reads)), memory)
}

// ticks is the processor time of all VMs.
func (f *fleet) ticks() int64 {
	total := int64(0)
	for _, m := range f.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
		must(f.t, err)
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, field := range fields[11:13] {
			n, err := strconv.ParseInt(field, 10, 64)
			must(f.t, err)
			total += n
		}
	}
	return total
}

func (m *machine) residentKilobytes(t *testing.T) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	must(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			must(t, err)
			return n
		}
	}
	return 0
}
