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
	// settleTime is the wait between the start of a fleet and the measurement, so that start-up work is not measured.
	settleTime      = 4 * time.Second
	measurementTime = 5 * time.Second
	// ticksPerSecond is the unit of processor time in /proc/PID/stat (USER_HZ).
	ticksPerSecond = 100
)

// TestControlCostOfIdleVMsIsReported logs the link traffic, processor time, platform reads and memory of idle VMs, for each number of
// VMs. docs/CAPACITY.md is computed from these figures.
func TestControlCostOfIdleVMsIsReported(t *testing.T) {
	for _, size := range strings.Split(*vmCounts, ",") {
		n, err := strconv.Atoi(size)
		requireNoError(t, err)
		t.Run(size, func(t *testing.T) { measureControlCost(t, n) })
	}
}

func measureControlCost(t *testing.T, vms int) {
	f := newFleet(t, fleetConfig{vms: vms, engines: 2 * vms, services: 1})
	time.Sleep(settleTime)
	receivedBytes, processorTicks, platformReads := f.links.receivedBytes.Load(), f.processorTicks(), len(f.standIns.Platform.Records())
	time.Sleep(measurementTime)
	perVM := func(total float64) float64 { return total / float64(vms) / measurementTime.Seconds() }
	memory := int64(0)
	for _, proc := range f.vms {
		memory = max(memory, proc.residentKilobytes(t))
	}
	t.Logf("%d VMs, %d engines: %.0f link bytes/s, %.2f%% of a core, %.2f platform reads/s per VM; largest resident memory %d KB",
		vms, 2*vms, perVM(float64(f.links.receivedBytes.Load()-receivedBytes)),
		100*perVM(float64(f.processorTicks()-processorTicks)/ticksPerSecond), perVM(float64(len(f.standIns.Platform.Records())-platformReads)), memory)
}

// processorTicks returns the total user and system time of all VMs, in ticks.
func (f *fleet) processorTicks() int64 {
	total := int64(0)
	for _, proc := range f.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", proc.cmd.Process.Pid))
		requireNoError(f.t, err)
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, field := range fields[11:13] {
			n, err := strconv.ParseInt(field, 10, 64)
			requireNoError(f.t, err)
			total += n
		}
	}
	return total
}

func (p *vmProcess) residentKilobytes(t *testing.T) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	requireNoError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			requireNoError(t, err)
			return n
		}
	}
	return 0
}
