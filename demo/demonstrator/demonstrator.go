// Package demonstrator runs a demonstration in one process: stand-ins, three VMs, a streamed answer, a payment and a graceful
// VM shutdown.
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
	// vmCount is the number of VMs, one per availability zone.
	vmCount     = 3
	engineCount = 3
	// readyTimeout bounds the wait until the VMs hold all leases.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two requests for the status of the VMs.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one HTTP request, including its streamed response.
	callTimeout = 30 * time.Second
	// longAnswerTokens is the length of the answer that is streamed while its VM shuts down.
	longAnswerTokens = 200
	// account is the client account that sends all requests.
	account = "newcomers"
)

// Demonstrator runs the demonstration; the zero value is ready.
type Demonstrator struct {
	// Out receives a line for each step and the timeline; nil discards them.
	Out io.Writer

	standIns starter.Starter
	vms      []*vm
	apiKey   string
	client   http.Client
}

type vm struct {
	runner *runner.Runner
	stop   context.CancelFunc
	done   chan error
}

// response is the part of an HTTP response that is printed.
type response struct {
	status         int
	replayedHeader string
}

// Run runs all steps and returns the error of the first one that failed.
func (d *Demonstrator) Run(ctx context.Context) error {
	if d.Out == nil {
		d.Out = io.Discard
	}
	d.client.Timeout = callTimeout
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.startStandIns(ctx); err != nil {
		return err
	}
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	defer d.stopVMs()
	steps := []func(context.Context) error{d.waitForLeases, d.streamAnswer, d.payThroughEachVM, d.stopVMDuringStream, d.writeTimeline}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printLine("All steps succeeded.")
	return nil
}

func (d *Demonstrator) startStandIns(ctx context.Context) error {
	d.standIns.BaseModel = "base"
	d.standIns.ServiceName = "booking"
	d.standIns.Zones = []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	for range engineCount {
		d.standIns.Engines = append(d.standIns.Engines, &engine.Engine{})
	}
	d.standIns.Services = append(d.standIns.Services, &service.Service{})
	if err := d.standIns.Start(ctx); err != nil {
		return err
	}
	var keyBytes [16]byte
	_, _ = rand.Read(keyBytes[:])
	d.apiKey = "fsk_" + hex.EncodeToString(keyBytes[:])
	return d.publishDocuments()
}

func (d *Demonstrator) publishDocuments() error {
	keyHash, err := authenticator.Authenticator{}.KeyHash("Bearer " + d.apiKey)
	if err != nil {
		return err
	}
	if err := d.standIns.PublishAccounts([]fuchsiaspoke.ClientAccount{
		{Name: account, RateTokensPerSecond: 2000, BurstTokens: 8000},
	}); err != nil {
		return err
	}
	if err := d.standIns.PublishKeys([]fuchsiaspoke.Key{{Hash: keyHash, Account: account}}); err != nil {
		return err
	}
	return d.standIns.PublishProfiles([]fuchsiaspoke.Profile{
		{
			Name: "welcome_guide", ClientAccounts: []string{account}, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "patan", Version: 3}, MaxOutputTokens: longAnswerTokens,
		},
		{
			Name: "seat_fees", ClientAccounts: []string{account}, Service: "booking",
			Routes: []fuchsiaspoke.ProfileRoute{{Method: http.MethodPost, PathPrefix: "/fees", CostTokens: 1}},
		},
	})
}

func (d *Demonstrator) startVMs(ctx context.Context) error {
	var fleetKey [32]byte
	_, _ = rand.Read(fleetKey[:])
	var published []fuchsiaspoke.VM
	for i := range vmCount {
		r, err := d.newRunner(i, hex.EncodeToString(fleetKey[:]))
		if err != nil {
			return err
		}
		published = append(published, r.VM)
		d.vms = append(d.vms, &vm{runner: r, done: make(chan error, 1)})
	}
	if err := d.standIns.PublishVMs(published); err != nil {
		return err
	}
	for _, v := range d.vms {
		vmCtx, stop := context.WithCancel(ctx)
		v.stop = stop
		go func() { v.done <- v.runner.Run(vmCtx) }()
	}
	d.printLine("Started a platform, %d engines, a booking service and %d VMs in %d availability zones.", engineCount, vmCount, vmCount)
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
			ID: fmt.Sprintf("vm_%d", i+1), Zone: d.standIns.Zones[i], CallerAddress: caller, LinkAddress: link,
		},
		AdminAddress: admin,
		PlatformURL:  "http://" + d.standIns.Address(),
		FleetKey:     fleetKey,
	}, nil
}

func (d *Demonstrator) waitForLeases(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	// One lease for each engine and each client account, and one for the weight store.
	wantLeases := engineCount + len([]string{account}) + 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		heldLeases := 0
		for _, v := range d.vms {
			var status fuchsiaspoke.Status
			if d.get(ctx, "http://"+v.runner.AdminAddress+"/admin/status", &status) == nil {
				heldLeases += len(status.Self.HeldLeases)
			}
		}
		if heldLeases >= wantLeases {
			d.printLine("The VMs hold all %d leases: one for each engine, each client account and the weight store.", heldLeases)
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the VMs did not acquire all leases within 20 s")
}

func (d *Demonstrator) streamAnswer(ctx context.Context) error {
	text, err := d.requestCompletion(ctx, d.vms[0], 12, nil)
	if err != nil {
		return errors.Wrap(err, "stream an answer through vm_1")
	}
	d.printLine("Streamed an answer through vm_1: %q", text)
	return nil
}

// payThroughEachVM sends the same payment through each VM and checks that the service executed it once.
func (d *Demonstrator) payThroughEachVM(ctx context.Context) error {
	var issued struct {
		IdempotencyKey string `json:"idempotency_key"`
	}
	if _, err := d.post(ctx, d.vms[0], "/v1/idempotency_keys", "", "", &issued); err != nil {
		return errors.Wrap(err, "request an idempotency key")
	}
	for _, v := range d.vms {
		reply, err := d.post(ctx, v, "/v1/services/seat_fees/fees", `{"seat":7}`, issued.IdempotencyKey, nil)
		if err != nil {
			return errors.Wrap(err, "pay a seat fee")
		}
		d.printLine("Sent a seat fee payment through %s: status %d, Idempotent-Replayed header %q", v.runner.VM.ID, reply.status, reply.replayedHeader)
	}
	executions := len(d.standIns.Services[0].Records())
	if executions != 1 {
		return errors.Errorf("the booking service executed the seat fee payment %d times, want once", executions)
	}
	d.printLine("The booking service executed the payment once.")
	return nil
}

// stopVMDuringStream shuts a VM down while it streams an answer, and checks that the answer is complete.
func (d *Demonstrator) stopVMDuringStream(ctx context.Context) error {
	stopping := d.vms[0]
	text, err := d.requestCompletion(ctx, stopping, longAnswerTokens, stopping.stop)
	if err != nil {
		return errors.Wrap(err, "stream an answer while vm_1 shuts down")
	}
	d.printLine("Shut vm_1 down while it streamed; the answer was complete (%d bytes). vm_1 exits once the entry addresses cached by callers have expired.", len(text))
	if err := <-stopping.done; err != nil {
		return errors.Wrap(err, "shut vm_1 down")
	}
	stopping.done <- nil
	if _, err := d.requestCompletion(ctx, d.vms[1], 12, nil); err != nil {
		return errors.Wrap(err, "stream an answer through vm_2 after vm_1 exited")
	}
	d.printLine("vm_1 has exited, and vm_2 answers requests.")
	return nil
}

// writeTimeline prints the merged timeline of the VMs that are still running.
func (d *Demonstrator) writeTimeline(ctx context.Context) error {
	var vmEvents [][]fuchsiaspoke.Event
	for _, v := range d.vms[1:] {
		var events []fuchsiaspoke.Event
		if err := d.get(ctx, "http://"+v.runner.AdminAddress+"/admin/timeline", &events); err != nil {
			return err
		}
		vmEvents = append(vmEvents, events)
	}
	d.printLine("Merged timeline of the running VMs:")
	return merger.Merger{}.Write(d.Out, merger.Merger{}.Merge(vmEvents...))
}

func (d *Demonstrator) stopVMs() {
	for _, v := range d.vms[1:] {
		v.stop()
	}
	for _, v := range d.vms[1:] {
		if err := <-v.done; err != nil {
			d.printLine("%s did not shut down cleanly: %v", v.runner.VM.ID, err)
		}
	}
}

// requestCompletion streams one answer and returns its text; afterFirstChunk, if not nil, is called once after the first chunk.
func (d *Demonstrator) requestCompletion(ctx context.Context, v *vm, tokens int, afterFirstChunk func()) (string, error) {
	body := fmt.Sprintf(`{"model":"welcome_guide","prompt":"a welcome guide to Patan","max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.runner.VM.CallerAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+d.apiKey)
	resp, err := d.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", errors.Errorf("%s: %s", resp.Status, text)
	}
	return readStream(resp.Body, afterFirstChunk)
}

func readStream(body io.Reader, afterFirstChunk func()) (string, error) {
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
		var chunk struct {
			Choices []struct{ Text string }
			Error   *struct{ Message string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		if chunk.Error != nil {
			return "", errors.New(chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
		if afterFirstChunk != nil {
			afterFirstChunk()
			afterFirstChunk = nil
		}
	}
	return "", errors.New("the stream ended before [DONE]")
}

func (d *Demonstrator) post(ctx context.Context, v *vm, path, body, idempotencyKey string, value any) (response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.runner.VM.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+d.apiKey)
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

func (d *Demonstrator) do(r *http.Request, value any) (response, error) {
	resp, err := d.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return response{}, errors.Errorf("%s: %s", resp.Status, text)
	}
	result := response{status: resp.StatusCode, replayedHeader: resp.Header.Get("Idempotent-Replayed")}
	if value == nil {
		return result, nil
	}
	return result, json.Unmarshal(text, value)
}

func (d *Demonstrator) printLine(format string, values ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", values...)
}

// freeAddress returns a loopback address that is free for TCP and very likely also for UDP.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
