// Package bencher runs a scenario against entry VMs in this process and stand-ins for the platform and the upstreams.
package bencher

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/generator"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/incident"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summarizer"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/pkg/errors"
)

const (
	readyTimeout     = 30 * time.Second
	readyInterval    = 100 * time.Millisecond
	progressInterval = 5 * time.Second
	serviceRunTime   = 5 * time.Millisecond
	// settleTime is the time for the stand-ins to record the last runs: an engine ends a run two seconds after its
	// caller disconnected.
	settleTime = 3 * time.Second
)

// Bencher runs one scenario once and measures it.
type Bencher struct {
	Scenario scenario.Scenario
	// Variant is the name of what StartVM starts; it is copied to the summary.
	Variant string
	Seed    int64
	// StartVM runs one entry VM until ctx ends, then shuts it down gracefully and returns.
	StartVM func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error
	// Progress receives progress messages; nil discards them.
	Progress io.Writer

	standIns starter.Starter
	apiKeys  map[string]string
	vms      []*runningVM
}

// runningVM is an entry VM that StartVM runs in a goroutine.
type runningVM struct {
	vm   fuchsiaspoke.VM
	stop context.CancelFunc
	// exited receives the result of StartVM.
	exited chan error
}

// Run starts the stand-ins and the VMs, sends the load, shuts everything down and returns the results.
func (b *Bencher) Run(ctx context.Context) (summary.Summary, error) {
	if b.Progress == nil {
		b.Progress = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := b.startStandIns(ctx); err != nil {
		return summary.Summary{}, err
	}
	err := b.startVMs(ctx)
	if err == nil {
		err = b.waitReady(ctx)
	}
	var loadResult summarizer.Summarizer
	if err == nil {
		loadResult = b.runLoad(ctx)
		err = ctx.Err()
	}
	settledAt := time.Now().Add(settleTime)
	if stopErr := b.stopVMs(); err == nil {
		err = stopErr
	}
	sleeper.Sleep(ctx, time.Until(settledAt))
	cancel()
	if waitErr := b.standIns.Wait(); err == nil {
		err = waitErr
	}
	return b.summarize(loadResult), err
}

// summarize adds the stand-ins' records to the callers' outcomes and returns the results.
func (b *Bencher) summarize(s summarizer.Summarizer) summary.Summary {
	for _, e := range b.standIns.Engines {
		s.Engines = append(s.Engines, e.Records())
	}
	for _, srv := range b.standIns.Services {
		s.Services = append(s.Services, srv.Records())
	}
	sum := s.Summary()
	sum.Variant, sum.Seed = b.Variant, b.Seed
	return sum
}

// runLoad sends the load while it injects the scenario's faults.
func (b *Bencher) runLoad(ctx context.Context) summarizer.Summarizer {
	loadStart := time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{}, 2)
	go func() { b.injectFaults(loadCtx, loadStart); done <- struct{}{} }()
	go func() { b.reportProgress(loadCtx, loadStart); done <- struct{}{} }()
	g := generator.Generator{Scenario: b.Scenario, APIKeys: b.apiKeys, Seed: b.Seed}
	for _, m := range b.vms {
		g.EntryAddresses = append(g.EntryAddresses, m.vm.CallerAddress)
	}
	s := summarizer.Summarizer{Scenario: b.Scenario, LoadStart: loadStart, Outcomes: g.Run(ctx, loadStart)}
	stop()
	<-done
	<-done
	return s
}

// injectFaults applies the scenario's incidents in order, each at its time.
func (b *Bencher) injectFaults(ctx context.Context, loadStart time.Time) {
	for _, i := range b.Scenario.Incidents {
		if !sleeper.Sleep(ctx, time.Until(loadStart.Add(i.At))) {
			return
		}
		b.printProgress("injecting fault: target %s, index %d, %+v", i.Target, i.Index, i.Fault)
		b.apply(i)
	}
}

// apply sets the fault on the incident's stand-in, or shuts down the incident's VM.
func (b *Bencher) apply(i incident.Incident) {
	switch i.Target {
	case "engine":
		b.standIns.Engines[i.Index].SetFault(i.Fault)
	case "service":
		b.standIns.Services[i.Index].SetFault(i.Fault)
	case "platform":
		b.standIns.Platform.SetFault(i.Fault)
	case "stop_vm":
		b.vms[i.Index].stop()
	}
}

func (b *Bencher) reportProgress(ctx context.Context, loadStart time.Time) {
	total := b.Scenario.Warmup + b.Scenario.Duration
	for sleeper.Sleep(ctx, progressInterval) {
		generations := 0
		for _, e := range b.standIns.Engines {
			generations += countRecords(e.Records(), "run")
		}
		b.printProgress("load at %.0f of %.0f s, engines finished %d generations", time.Since(loadStart).Seconds(), total.Seconds(), generations)
	}
}

func countRecords(records []record.Record, kind string) int {
	n := 0
	for _, r := range records {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

func (b *Bencher) printProgress(format string, values ...any) {
	// A failed write of a progress message does not affect the run.
	_, _ = fmt.Fprintf(b.Progress, format+"\n", values...)
}

func (b *Bencher) startStandIns(ctx context.Context) error {
	b.standIns.BaseModel = "base"
	b.standIns.ServiceName = "booking"
	b.standIns.Zones = []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	for i := range b.Scenario.Engines {
		b.standIns.Engines = append(b.standIns.Engines, &engine.Engine{
			Slots: b.Scenario.AdapterSlots, Batch: b.Scenario.BatchSize, ChecksFence: i%2 == 0, OutputTokens: outputTokens,
		})
	}
	for range b.Scenario.Services {
		b.standIns.Services = append(b.standIns.Services, &service.Service{RunTime: serviceRunTime})
	}
	if err := b.standIns.Start(ctx); err != nil {
		return err
	}
	return b.publish()
}

// outputTokens returns the output length for a prompt: between a quarter of limit and limit, from a hash of the prompt.
func outputTokens(prompt string, limit int64) int64 {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	minTokens := limit / 4
	return minTokens + int64(h.Sum64()%uint64(limit-minTokens+1))
}

// publish publishes the scenario's client accounts, an API key for each, and the profiles.
func (b *Bencher) publish() error {
	b.apiKeys = make(map[string]string)
	var accounts []fuchsiaspoke.ClientAccount
	var keys []fuchsiaspoke.Key
	var names []string
	for _, load := range b.Scenario.AccountLoads {
		key := "fsk_" + rand.Text()
		sum := sha256.Sum256([]byte(key))
		b.apiKeys[load.Account.Name] = key
		names = append(names, load.Account.Name)
		accounts = append(accounts, load.Account)
		keys = append(keys, fuchsiaspoke.Key{Hash: hex.EncodeToString(sum[:]), Account: load.Account.Name})
	}
	if err := b.standIns.PublishAccounts(accounts); err != nil {
		return err
	}
	if err := b.standIns.PublishKeys(keys); err != nil {
		return err
	}
	profiles := []fuchsiaspoke.Profile{{
		Name: "booking", ClientAccounts: names, Service: "booking",
		Routes: []fuchsiaspoke.ProfileRoute{
			{Method: http.MethodPost, PathPrefix: "/payments", CostTokens: 1},
			{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, CostTokens: 1},
		},
	}}
	for i := range b.Scenario.Adapters {
		profiles = append(profiles, fuchsiaspoke.Profile{
			Name: fmt.Sprint("profile_", i), ClientAccounts: names, BaseModel: "base",
			Adapter:         fuchsiaspoke.Adapter{Name: fmt.Sprint("adapter_", i), Version: 1},
			MaxOutputTokens: b.Scenario.MaxOutputTokens,
		})
	}
	return b.standIns.PublishProfiles(profiles)
}

func (b *Bencher) startVMs(ctx context.Context) error {
	var publishedVMs []fuchsiaspoke.VM
	for i := range b.Scenario.VMs {
		callerAddress, err := freeTCPAddress()
		if err != nil {
			return err
		}
		linkAddress, err := freeUDPAddress()
		if err != nil {
			return err
		}
		vm := fuchsiaspoke.VM{
			ID: fmt.Sprint("vm_", i), Zone: b.standIns.Zones[i%len(b.standIns.Zones)], CallerAddress: callerAddress, LinkAddress: linkAddress,
		}
		publishedVMs = append(publishedVMs, vm)
		b.vms = append(b.vms, &runningVM{vm: vm, exited: make(chan error, 1)})
	}
	if err := b.standIns.PublishVMs(publishedVMs); err != nil {
		return err
	}
	for _, m := range b.vms {
		vmCtx, stop := context.WithCancel(ctx)
		m.stop = stop
		go func() { m.exited <- b.StartVM(vmCtx, m.vm, "http://"+b.standIns.Address()) }()
	}
	return nil
}

func (b *Bencher) stopVMs() error {
	var firstErr error
	for _, m := range b.vms {
		if m.stop != nil {
			m.stop()
		}
	}
	for _, m := range b.vms {
		if m.stop == nil {
			continue
		}
		if err := <-m.exited; err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "run VM %s", m.vm.ID)
		}
	}
	return firstErr
}

// waitReady waits until /readyz of every VM answers with 200.
func (b *Bencher) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range b.vms {
		for !isReady(ctx, m.vm.CallerAddress) {
			if time.Now().After(deadline) {
				return errors.Errorf("VM %s at %s did not answer /readyz with 200 within %s", m.vm.ID, m.vm.CallerAddress, readyTimeout)
			}
			if !sleeper.Sleep(ctx, readyInterval) {
				return ctx.Err()
			}
		}
	}
	b.printProgress("all %d VMs are ready", len(b.vms))
	return nil
}

// isReady reports whether /readyz at the address answers with 200.
func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func freeTCPAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free TCP port on 127.0.0.1")
	}
	address := l.Addr().String()
	return address, l.Close()
}

func freeUDPAddress() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free UDP port on 127.0.0.1")
	}
	address := c.LocalAddr().String()
	return address, c.Close()
}
