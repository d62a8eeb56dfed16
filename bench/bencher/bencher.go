// Package bencher runs a scenario against VMs in this process and stand-ins of everything else.
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
	"github.com/pkg/errors"
)

const (
	readyTimeout  = 30 * time.Second
	readyInterval = 100 * time.Millisecond
	progressEvery = 5 * time.Second
	serviceTime   = 5 * time.Millisecond
	// settleTime lets the last records of the stand-ins come in: an orphaned run ends two seconds after its caller.
	settleTime = 3 * time.Second
)

// Bencher runs one scenario once.
type Bencher struct {
	Scenario scenario.Scenario
	// Variant names what StartVM starts, for reports.
	Variant string
	Seed    int64
	// StartVM runs one entry VM until ctx ends and then shuts it down gracefully.
	StartVM func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error
	// Progress is where the run tells how far it is; nil drops it.
	Progress io.Writer

	world starter.Starter
	keys  map[string]string
	vms   []*machine
}

type machine struct {
	vm    fuchsiaspoke.VM
	stop  context.CancelFunc
	ended chan error
}

// Run starts everything, sends the load, and returns the figures.
func (b *Bencher) Run(ctx context.Context) (summary.Summary, error) {
	if b.Progress == nil {
		b.Progress = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := b.startWorld(ctx); err != nil {
		return summary.Summary{}, err
	}
	err := b.startVMs(ctx)
	if err == nil {
		err = b.awaitReady(ctx)
	}
	var left summarizer.Summarizer
	if err == nil {
		left = b.load(ctx)
		err = ctx.Err()
	}
	settled := time.Now().Add(settleTime)
	if ended := b.stopVMs(); err == nil {
		err = ended
	}
	sleep(ctx, time.Until(settled))
	cancel()
	if ended := b.world.Wait(); err == nil {
		err = ended
	}
	return b.figures(left), err
}

// figures joins what the callers saw with the stand-ins' records.
func (b *Bencher) figures(s summarizer.Summarizer) summary.Summary {
	for _, e := range b.world.Engines {
		s.Engines = append(s.Engines, e.Records())
	}
	for _, srv := range b.world.Services {
		s.Services = append(s.Services, srv.Records())
	}
	figures := s.Summary()
	figures.Variant, figures.Seed = b.Variant, b.Seed
	return figures
}

// load sends the load while incidents happen.
func (b *Bencher) load(ctx context.Context) summarizer.Summarizer {
	began := time.Now()
	side, stop := context.WithCancel(ctx)
	done := make(chan struct{}, 2)
	go func() { b.happen(side, began); done <- struct{}{} }()
	go func() { b.tell(side, began); done <- struct{}{} }()
	g := generator.Generator{Scenario: b.Scenario, Keys: b.keys, Seed: b.Seed}
	for _, m := range b.vms {
		g.Entries = append(g.Entries, m.vm.CallerAddress)
	}
	s := summarizer.Summarizer{Scenario: b.Scenario, Began: began, Outcomes: g.Run(ctx, began)}
	stop()
	<-done
	<-done
	return s
}

// happen brings the incidents about, in order.
func (b *Bencher) happen(ctx context.Context, began time.Time) {
	for _, i := range b.Scenario.Incidents {
		if !sleep(ctx, time.Until(began.Add(i.At))) {
			return
		}
		b.say("%s %d: %+v", i.Target, i.Index, i.Fault)
		b.bring(i)
	}
}

func (b *Bencher) bring(i incident.Incident) {
	switch i.Target {
	case "engine":
		b.world.Engines[i.Index].SetFault(i.Fault)
	case "service":
		b.world.Services[i.Index].SetFault(i.Fault)
	case "platform":
		b.world.Platform.SetFault(i.Fault)
	case "stop_vm":
		b.vms[i.Index].stop()
	}
}

func (b *Bencher) tell(ctx context.Context, began time.Time) {
	total := b.Scenario.Warmup + b.Scenario.Duration
	for sleep(ctx, progressEvery) {
		ended := 0
		for _, e := range b.world.Engines {
			ended += count(e.Records(), "run")
		}
		b.say("%.0f of %.0f s, %d generations ran", time.Since(began).Seconds(), total.Seconds(), ended)
	}
}

func count(records []record.Record, kind string) int {
	n := 0
	for _, r := range records {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

func (b *Bencher) say(format string, values ...any) {
	// Progress that can't be shown stops nothing.
	_, _ = fmt.Fprintf(b.Progress, format+"\n", values...)
}

func (b *Bencher) startWorld(ctx context.Context) error {
	b.world.BaseModel = "base"
	b.world.ServiceName = "booking"
	b.world.Zones = []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	for i := range b.Scenario.Engines {
		b.world.Engines = append(b.world.Engines, &engine.Engine{
			Slots: b.Scenario.Slots, Batch: b.Scenario.Batch, ChecksFence: i%2 == 0, OutputTokens: outputTokens,
		})
	}
	for range b.Scenario.Services {
		b.world.Services = append(b.world.Services, &service.Service{RunTime: serviceTime})
	}
	if err := b.world.Start(ctx); err != nil {
		return err
	}
	return b.publish()
}

// outputTokens ends answers between a quarter and the whole of what was asked for, by the prompt alone.
func outputTokens(prompt string, limit int64) int64 {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	least := limit / 4
	return least + int64(h.Sum64()%uint64(limit-least+1))
}

func (b *Bencher) publish() error {
	b.keys = make(map[string]string)
	var accounts []fuchsiaspoke.ClientAccount
	var keys []fuchsiaspoke.Key
	var names []string
	for _, t := range b.Scenario.Tenants {
		key := "fsk_" + rand.Text()
		sum := sha256.Sum256([]byte(key))
		b.keys[t.Account.Name] = key
		names = append(names, t.Account.Name)
		accounts = append(accounts, t.Account)
		keys = append(keys, fuchsiaspoke.Key{Hash: hex.EncodeToString(sum[:]), Account: t.Account.Name})
	}
	if err := b.world.PublishAccounts(accounts); err != nil {
		return err
	}
	if err := b.world.PublishKeys(keys); err != nil {
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
	return b.world.PublishProfiles(profiles)
}

func (b *Bencher) startVMs(ctx context.Context) error {
	var list []fuchsiaspoke.VM
	for i := range b.Scenario.VMs {
		caller, err := freeTCP()
		if err != nil {
			return err
		}
		link, err := freeUDP()
		if err != nil {
			return err
		}
		vm := fuchsiaspoke.VM{
			ID: fmt.Sprint("vm_", i), Zone: b.world.Zones[i%len(b.world.Zones)], CallerAddress: caller, LinkAddress: link,
		}
		list = append(list, vm)
		b.vms = append(b.vms, &machine{vm: vm, ended: make(chan error, 1)})
	}
	if err := b.world.PublishVMs(list); err != nil {
		return err
	}
	for _, m := range b.vms {
		life, stop := context.WithCancel(ctx)
		m.stop = stop
		go func() { m.ended <- b.StartVM(life, m.vm, "http://"+b.world.Address()) }()
	}
	return nil
}

func (b *Bencher) stopVMs() error {
	var first error
	for _, m := range b.vms {
		if m.stop != nil {
			m.stop()
		}
	}
	for _, m := range b.vms {
		if m.stop == nil {
			continue
		}
		if err := <-m.ended; err != nil && first == nil {
			first = errors.Wrapf(err, "run VM %s", m.vm.ID)
		}
	}
	return first
}

// awaitReady waits until every VM says that it can serve.
func (b *Bencher) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range b.vms {
		for !ready(ctx, m.vm.CallerAddress) {
			if time.Now().After(deadline) {
				return errors.Errorf("VM %s at %s was not ready in %s", m.vm.ID, m.vm.CallerAddress, readyTimeout)
			}
			if !sleep(ctx, readyInterval) {
				return ctx.Err()
			}
		}
	}
	b.say("%d VMs are ready", len(b.vms))
	return nil
}

func ready(ctx context.Context, address string) bool {
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

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func freeTCP() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free TCP port")
	}
	address := l.Addr().String()
	return address, l.Close()
}

func freeUDP() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free UDP port")
	}
	address := c.LocalAddr().String()
	return address, c.Close()
}
