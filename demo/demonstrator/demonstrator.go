// Package demonstrator shows the whole path in one process: stand-ins, three VMs, a stream, a payment, and a planned stop.
package demonstrator

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/merger"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/runner"
	"github.com/pkg/errors"
)

const (
	// vmCount is the number of VMs, one in each availability zone.
	vmCount = 3
	// engineCount is the number of model engines.
	engineCount = 3
	// readyTimeout bounds the wait for the VMs to hold their leases.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two looks at a VM's state.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one call of the demonstration.
	callTimeout = 30 * time.Second
	// streamTokens is the length of the answer that runs while its VM stops.
	streamTokens = 200
	// account is the client account of the demonstration.
	account = "newcomers"
)

// Demonstrator runs the demonstration; the zero value is ready.
type Demonstrator struct {
	// Out is where the demonstration is told; nil drops it.
	Out io.Writer

	world  starter.Starter
	vms    []*vm
	key    string
	client http.Client
}

type vm struct {
	runner *runner.Runner
	stop   context.CancelFunc
	ended  chan error
}

// outcome is what the demonstration tells of an answer.
type outcome struct {
	status   int
	replayed string
}

// Run demonstrates the path and returns the first thing that did not hold.
func (d *Demonstrator) Run(ctx context.Context) error {
	if d.Out == nil {
		d.Out = io.Discard
	}
	d.client.Timeout = callTimeout
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.startWorld(ctx); err != nil {
		return err
	}
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	defer d.end()
	steps := []func(context.Context) error{d.awaitReady, d.stream, d.pay, d.stopOne, d.tell}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("All of it held.")
	return nil
}

func (d *Demonstrator) startWorld(ctx context.Context) error {
	d.world.BaseModel = "base"
	d.world.ServiceName = "booking"
	d.world.Zones = []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	for range engineCount {
		d.world.Engines = append(d.world.Engines, &engine.Engine{})
	}
	d.world.Services = append(d.world.Services, &service.Service{})
	if err := d.world.Start(ctx); err != nil {
		return err
	}
	var secret [16]byte
	_, _ = rand.Read(secret[:])
	d.key = "fsk_" + hex.EncodeToString(secret[:])
	return d.publish()
}

func (d *Demonstrator) publish() error {
	keyHash, err := authenticator.Authenticator{}.KeyHash("Bearer " + d.key)
	if err != nil {
		return err
	}
	if err := d.world.PublishAccounts([]fuchsiaspoke.ClientAccount{
		{Name: account, RateTokensPerSecond: 2000, BurstTokens: 8000},
	}); err != nil {
		return err
	}
	if err := d.world.PublishKeys([]fuchsiaspoke.Key{{Hash: keyHash, Account: account}}); err != nil {
		return err
	}
	return d.world.PublishProfiles([]fuchsiaspoke.Profile{
		{
			Name: "welcome_guide", ClientAccounts: []string{account}, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "patan", Version: 3}, MaxOutputTokens: streamTokens,
		},
		{
			Name: "seat_fees", ClientAccounts: []string{account}, Service: "booking",
			Routes: []fuchsiaspoke.Route{{Method: http.MethodPost, PathPrefix: "/fees", CostTokens: 1}},
		},
	})
}

func (d *Demonstrator) startVMs(ctx context.Context) error {
	var secret [32]byte
	_, _ = rand.Read(secret[:])
	var list []fuchsiaspoke.VM
	for i := range vmCount {
		r, err := d.newRunner(i, hex.EncodeToString(secret[:]))
		if err != nil {
			return err
		}
		list = append(list, r.VM)
		d.vms = append(d.vms, &vm{runner: r, ended: make(chan error, 1)})
	}
	if err := d.world.PublishVMs(list); err != nil {
		return err
	}
	for _, m := range d.vms {
		life, stop := context.WithCancel(ctx)
		m.stop = stop
		go func() { m.ended <- m.runner.Run(life) }()
	}
	d.say("Started a platform, %d engines, a booking service and %d VMs in %d availability zones.", engineCount, vmCount, vmCount)
	return nil
}

func (d *Demonstrator) newRunner(i int, fleetKey string) (*runner.Runner, error) {
	caller, err := freeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	link, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &runner.Runner{
		VM: fuchsiaspoke.VM{
			ID: fmt.Sprintf("vm_%d", i+1), Zone: d.world.Zones[i], CallerAddress: caller, LinkAddress: link,
		},
		AdminAddress: admin,
		PlatformURL:  "http://" + d.world.Address(),
		FleetKey:     fleetKey,
	}, nil
}

func (d *Demonstrator) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	want := engineCount + len([]string{account}) + 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		held := 0
		for _, m := range d.vms {
			var status fuchsiaspoke.Status
			if d.get(ctx, "http://"+m.runner.AdminAddress+"/admin/status", &status) == nil {
				held += len(status.Self.Holds)
			}
		}
		if held >= want {
			d.say("The VMs hold all %d leases: one for each engine, each client account, and the weight store.", held)
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the VMs did not take their leases in time")
}

func (d *Demonstrator) stream(ctx context.Context) error {
	text, err := d.complete(ctx, d.vms[0], 12, nil)
	if err != nil {
		return errors.Wrap(err, "stream an answer")
	}
	d.say("Streamed an answer through vm_1: %q", text)
	return nil
}

// pay makes one payment and sends it again through another VM.
func (d *Demonstrator) pay(ctx context.Context) error {
	var issued struct {
		IdempotencyKey string `json:"idempotency_key"`
	}
	if _, err := d.post(ctx, d.vms[0], "/v1/idempotency_keys", "", "", &issued); err != nil {
		return errors.Wrap(err, "ask for an idempotency key")
	}
	for _, m := range d.vms {
		paid, err := d.post(ctx, m, "/v1/services/seat_fees/fees", `{"seat":7}`, issued.IdempotencyKey, nil)
		if err != nil {
			return errors.Wrap(err, "pay a seat fee")
		}
		d.say("Paid a seat fee through %s: status %d, recorded answer: %q", m.runner.VM.ID, paid.status, paid.replayed)
	}
	runs := len(d.world.Services[0].Records())
	if runs != 1 {
		return errors.Errorf("the seat fee ran %d times", runs)
	}
	d.say("The booking service ran it once.")
	return nil
}

// stopOne stops a VM while it streams an answer.
func (d *Demonstrator) stopOne(ctx context.Context) error {
	leaving := d.vms[0]
	text, err := d.complete(ctx, leaving, streamTokens, leaving.stop)
	if err != nil {
		return errors.Wrap(err, "stream an answer while its VM stops")
	}
	d.say("Stopped vm_1 while it streamed; all of the answer came (%d bytes). It leaves once no caller can still come.", len(text))
	if err := <-leaving.ended; err != nil {
		return errors.Wrap(err, "stop vm_1")
	}
	leaving.ended <- nil
	if _, err := d.complete(ctx, d.vms[1], 12, nil); err != nil {
		return errors.Wrap(err, "stream an answer after vm_1 left")
	}
	d.say("vm_1 has left, and vm_2 answers.")
	return nil
}

// tell prints the merged time line of the VMs that are left.
func (d *Demonstrator) tell(ctx context.Context) error {
	var processes [][]fuchsiaspoke.Event
	for _, m := range d.vms[1:] {
		var events []fuchsiaspoke.Event
		if err := d.get(ctx, "http://"+m.runner.AdminAddress+"/admin/timeline", &events); err != nil {
			return err
		}
		processes = append(processes, events)
	}
	d.say("The time line over the VMs that are left:")
	return merger.Merger{}.Write(d.Out, merger.Merger{}.Merge(processes...))
}

func (d *Demonstrator) end() {
	for _, m := range d.vms[1:] {
		m.stop()
	}
	for _, m := range d.vms[1:] {
		if err := <-m.ended; err != nil {
			d.say("%s did not stop in order: %v", m.runner.VM.ID, err)
		}
	}
}

// complete streams one answer; midway, if set, is called after its first part.
func (d *Demonstrator) complete(ctx context.Context, m *vm, tokens int, midway func()) (string, error) {
	body := fmt.Sprintf(`{"model":"welcome_guide","prompt":"a welcome guide to Patan","max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.runner.VM.CallerAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+d.key)
	resp, err := d.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", errors.Errorf("%s: %s", resp.Status, text)
	}
	return readStream(resp.Body, midway)
}

func readStream(body io.Reader, midway func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var part struct {
			Choices []struct{ Text string }
			Error   *struct{ Message string }
		}
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return "", err
		}
		if part.Error != nil {
			return "", errors.New(part.Error.Message)
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Text)
		}
		if midway != nil {
			midway()
			midway = nil
		}
	}
	return "", errors.New("the answer was cut")
}

func (d *Demonstrator) post(ctx context.Context, m *vm, path, body, idempotencyKey string, value any) (outcome, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.runner.VM.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return outcome{}, err
	}
	r.Header.Set("Authorization", "Bearer "+d.key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return d.do(r, value)
}

func (d *Demonstrator) get(ctx context.Context, url string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	_, err = d.do(r, value)
	return err
}

func (d *Demonstrator) do(r *http.Request, value any) (outcome, error) {
	resp, err := d.client.Do(r)
	if err != nil {
		return outcome{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{}, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return outcome{}, errors.Errorf("%s: %s", resp.Status, text)
	}
	done := outcome{status: resp.StatusCode, replayed: resp.Header.Get("Idempotent-Replayed")}
	if value == nil {
		return done, nil
	}
	return done, json.Unmarshal(text, value)
}

func (d *Demonstrator) say(format string, values ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", values...)
}

// freeAddress returns a loopback address that is free for TCP and very likely for UDP.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
