package executor_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/executor"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/issuer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/invoker"
)

var (
	seed    = flag.Int64("seed", 1, "seed of the randomised runs")
	rounds  = flag.Int("rounds", 3, "number of randomised runs")
	account = "saathi"
)

const (
	vmCount           = 3
	keyCount          = 60
	clientsPerKey     = 3
	attemptsPerClient = 4
	sendTimeout       = 40 * time.Millisecond
	serviceDelay      = 60 * time.Millisecond
	suspension        = time.Minute
)

// lockedRand is a random generator for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// faultyService records the times of the runs of each request body, and injects delays, closed connections and
// truncated answers.
type faultyService struct {
	random *lockedRand
	start  time.Time
	mu     sync.Mutex
	runs   map[string][]time.Duration
}

func (s *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.random.intN(10)
	if fault == 0 {
		writeAndClose(w, "")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault == 1 {
		time.Sleep(serviceDelay)
	}
	s.mu.Lock()
	s.runs[string(body)] = append(s.runs[string(body)], time.Since(s.start))
	s.mu.Unlock()
	switch fault {
	case 2:
		writeAndClose(w, "")
	case 3:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort")
	case 4:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	case 5:
		time.Sleep(serviceDelay)
		fallthrough
	default:
		_, _ = io.WriteString(w, "answer to "+string(body))
	}
}

// writeAndClose writes text to the connection as it is and closes it.
func writeAndClose(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	conn.Close()
}

// runner runs calls: an executor, or the baseline.
type runner interface {
	Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

// process is one incarnation of a VM.
type process struct {
	issuer *issuer.Issuer
	runner runner
}

// fleet holds the current process of each VM and all executors ever started. Replaced executors continue to run, like
// processes that resume after they were considered dead.
type fleet struct {
	random    *lockedRand
	address   string
	baseline  bool
	mu        sync.Mutex
	current   [vmCount]*process
	executors []*executor.Executor
	ops       []porcupine.Operation
	start     time.Time
	// delayed waits for calls that reach the issuing VM after their callers received outcome_unknown.
	delayed sync.WaitGroup
}

// restart replaces the VM's process with a new incarnation.
func (f *fleet) restart(vm int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &clock{}
	is := &issuer.Issuer{
		VM: fmt.Sprint(vm), Incarnation: fmt.Sprint(len(f.executors)), Secret: []byte("0123456789abcdef"), Clock: c.now,
	}
	send := f.faultySend(c)
	e := &executor.Executor{Keys: is, Sender: send, Admitter: f, Clock: c.now}
	f.executors = append(f.executors, e)
	f.current[vm] = &process{issuer: is, runner: e}
	if f.baseline {
		f.current[vm].runner = retryingSender{send}
	}
}

// faultySend returns a sender that at random suspends the process before sending or dials an address without listener.
func (f *fleet) faultySend(c *clock) sendFunc {
	reachable := &invoker.Invoker{Address: f.address, Timeout: sendTimeout}
	unreachable := &invoker.Invoker{Address: "127.0.0.1:1", Timeout: sendTimeout}
	return func(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
		switch f.random.intN(8) {
		case 0:
			return unreachable.Send(ctx, call, beforeSend)
		case 1:
			return reachable.Send(ctx, call, func() error {
				time.Sleep(sendTimeout)
				c.advance(suspension)
				return beforeSend()
			})
		}
		return reachable.Send(ctx, call, beforeSend)
	}
}

// Admit refuses one call in five at random.
func (f *fleet) Admit(context.Context, fuchsiaspoke.Call) error {
	if f.random.intN(5) == 0 {
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun}
	}
	return nil
}

func (f *fleet) currentProcess(vm int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[vm]
}

// forward sends a call through the receiving VM to the VM that issued its key; the baseline runs it on the receiving VM.
func (f *fleet) forward(ctx context.Context, receivingVM int, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	p := f.currentProcess(receivingVM)
	if f.baseline {
		return p.runner.Do(ctx, call)
	}
	vm, _, err := p.issuer.Parse(call.IdempotencyKey, call.Account)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	var issuingVM int
	if _, err := fmt.Sscan(vm, &issuingVM); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if f.random.intN(10) == 0 {
		f.delayed.Go(func() {
			time.Sleep(serviceDelay)
			_, _ = f.currentProcess(issuingVM).runner.Do(context.WithoutCancel(ctx), call)
		})
		return fuchsiaspoke.Reply{}, errForwardTimeout
	}
	return f.currentProcess(issuingVM).runner.Do(ctx, call)
}

// errForwardTimeout is the answer of the receiving VM when its message to the issuing VM is delayed beyond its timeout.
var errForwardTimeout = &fuchsiaspoke.Refusal{
	Code: fuchsiaspoke.CodeOutcomeUnknown, Run: fuchsiaspoke.RunUnknown, Message: "the forwarding VM timed out while the call was still running",
}

// retryingSender is the baseline: it sends a call again after an error.
type retryingSender struct{ send sendFunc }

func (r retryingSender) Do(ctx context.Context, call fuchsiaspoke.Call) (reply fuchsiaspoke.Reply, err error) {
	for range attemptsPerClient {
		reply, err = r.send(ctx, call, func() error { return nil })
		if err == nil {
			return reply, nil
		}
	}
	return reply, err
}

// result is the output of one operation in the history.
type result struct {
	kind string
	body string
}

// The kinds of result.
const (
	kindFresh          = "fresh"
	kindReplayed       = "replayed"
	kindNotRun         = "not_run"
	kindReused         = "reused"
	kindCallerTimedOut = "caller_timed_out"
	kindUnknown        = "outcome_unknown"
	kindOtherProcess   = "other_process"
)

func classify(reply fuchsiaspoke.Reply, err error) result {
	var refusal *fuchsiaspoke.Refusal
	switch {
	case err == nil && reply.Replayed:
		return result{kindReplayed, string(reply.Body)}
	case err == nil:
		return result{kindFresh, string(reply.Body)}
	case !errors.As(err, &refusal):
		return result{kind: err.Error()}
	case refusal.Code == fuchsiaspoke.CodeKeyReused:
		return result{kind: kindReused}
	case refusal.Run == fuchsiaspoke.NotRun:
		return result{kind: kindNotRun}
	case strings.Contains(refusal.Message, "while the call was still running"):
		return result{kind: kindCallerTimedOut}
	case strings.Contains(refusal.Message, "issued by another process"):
		return result{kind: kindOtherProcess}
	}
	return result{kind: kindUnknown}
}

// submission is the input of one operation in the history.
type submission struct {
	key, body string
}

// model is a register per key. Its state is empty until a submission returns an outcome: the answer, kindUnknown, or
// kindOtherProcess if the process that issued the key was replaced.
var model = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		return stepModel(state.(string), in.(submission), out.(result))
	},
}

func stepModel(state string, in submission, out result) (bool, any) {
	switch out.kind {
	case kindFresh:
		return state == "" && out.body == expectedAnswer(in.body), out.body
	case kindReplayed:
		return (state == "" || state == out.body) && out.body == expectedAnswer(in.body), out.body
	case kindNotRun:
		return state == "", state
	case kindUnknown:
		return state == "" || state == kindUnknown, kindUnknown
	case kindOtherProcess:
		return true, kindOtherProcess
	case kindReused, kindCallerTimedOut:
		return true, state
	}
	return false, state
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	keys := map[string][]porcupine.Operation{}
	for _, op := range ops {
		key := op.Input.(submission).key
		keys[key] = append(keys[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range keys {
		parts = append(parts, part)
	}
	return parts
}

func expectedAnswer(body string) string {
	return "answer to " + body
}

// submit submits one call through a random VM and adds it to the history.
func (f *fleet) submit(key, body string, timeout time.Duration) result {
	call := fuchsiaspoke.Call{
		RequestID: "r", Account: account, Method: http.MethodPost, Path: "/seats", Body: []byte(body), IdempotencyKey: key,
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	begin := time.Since(f.start)
	out := classify(f.forward(ctx, f.random.intN(vmCount), call))
	end := time.Since(f.start)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = append(f.ops, porcupine.Operation{
		Input: submission{key, body}, Call: int64(begin), Output: out, Return: int64(end),
	})
	return out
}

// submitWithNewKey obtains a key with which several clients submit and retry calls, some with a different body.
func (f *fleet) submitWithNewKey(t *testing.T, n int) string {
	key, err := f.currentProcess(f.random.intN(vmCount)).issuer.Issue(account)
	if err != nil {
		t.Error(err)
	}
	var clients sync.WaitGroup
	for range clientsPerKey {
		clients.Go(func() {
			body := fmt.Sprintf("seat %d.%d", n, f.random.intN(6)/5)
			for range attemptsPerClient {
				timeout := time.Duration(5+f.random.intN(100)) * time.Millisecond
				if out := f.submit(key, body, timeout); out.body != "" {
					return
				}
			}
		})
	}
	clients.Wait()
	return key
}

// runRandomised makes one randomised run and returns the fleet with its history and the service with its recorded runs.
func runRandomised(t *testing.T, seed int64, baseline bool) (*fleet, *faultyService) {
	random := &lockedRand{rng: rand.New(rand.NewPCG(uint64(seed), 0))}
	start := time.Now()
	s := &faultyService{random: random, start: start, runs: map[string][]time.Duration{}}
	server := httptest.NewServer(s)
	defer server.Close()
	f := &fleet{random: random, address: server.Listener.Addr().String(), baseline: baseline, start: start}
	for vm := range vmCount {
		f.restart(vm)
	}
	var keys sync.WaitGroup
	for n := range keyCount {
		keys.Go(func() {
			time.Sleep(time.Duration(f.random.intN(500)) * time.Millisecond)
			key := f.submitWithNewKey(t, n)
			time.Sleep(serviceDelay)
			f.submit(key, fmt.Sprintf("seat %d.0", n), time.Second)
		})
	}
	for range 8 {
		time.Sleep(50 * time.Millisecond)
		f.restart(f.random.intN(vmCount))
	}
	keys.Wait()
	f.delayed.Wait()
	for _, e := range f.executors {
		for e.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return f, s
}

// countViolations returns the number of bodies that ran more than once, and of false not_run answers (including
// idempotency_key_reused). An answer is false if its submission began after the body's first run. If no submission with
// another answer began before that run, this counts as one false answer too.
func countViolations(f *fleet, s *faultyService) (duplicates, falseNotRun int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for body, runs := range s.runs {
		if len(runs) > 1 {
			duplicates++
		}
		explained := false
		for _, op := range f.ops {
			kind := op.Output.(result).kind
			if op.Input.(submission).body != body {
				continue
			}
			afterRun := time.Duration(op.Call) > runs[0]
			if (kind == kindNotRun || kind == kindReused) && afterRun {
				falseNotRun++
			}
			if kind != kindNotRun && kind != kindReused && !afterRun {
				explained = true
			}
		}
		if !explained {
			falseNotRun++
		}
	}
	return duplicates, falseNotRun
}

// Clients retry calls while VMs restart and are suspended, messages are delayed, and the service fails. According to the
// service each call must run at most once and each not_run must be true, and the history must be linearizable.
func TestEachCallRunsAtMostOnceUnderFaults(t *testing.T) {
	for n := range int64(*rounds) {
		f, s := runRandomised(t, *seed+n, false)
		duplicates, falseNotRun := countViolations(f, s)
		kinds := map[string]int{}
		for _, op := range f.ops {
			kinds[op.Output.(result).kind]++
		}
		t.Logf("seed %d: %d submissions, %d bodies run, %d of them more than once, %d false not_run; %v",
			*seed+n, len(f.ops), len(s.runs), duplicates, falseNotRun, kinds)
		if duplicates != 0 || falseNotRun != 0 {
			t.Errorf("seed %d: %d bodies ran more than once, %d not_run answers were false", *seed+n, duplicates, falseNotRun)
		}
		if !porcupine.CheckOperations(model, f.ops) {
			t.Errorf("seed %d: the history is not linearizable", *seed+n)
		}
	}
}

// The checks must fail for VMs that send a call again after an error, which shows that they detect duplicate runs.
func TestChecksDetectDuplicateRunsOfRetryingBaseline(t *testing.T) {
	f, s := runRandomised(t, *seed, true)
	duplicates, _ := countViolations(f, s)
	t.Logf("seed %d: %d submissions, %d bodies run, %d of them more than once", *seed, len(f.ops), len(s.runs), duplicates)
	if duplicates == 0 || porcupine.CheckOperations(model, f.ops) {
		t.Error("the checks detected no call that ran more than once")
	}
}
