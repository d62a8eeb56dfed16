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
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/caller"
)

var (
	seed    = flag.Int64("seed", 1, "seed of the randomised runs")
	rounds  = flag.Int("rounds", 3, "number of randomised runs")
	account = "saathi"
)

const (
	vmCount       = 3
	keyCount      = 60
	clientsPerKey = 3
	triesPerCall  = 4
	callTimeout   = 40 * time.Millisecond
	serviceDelay  = 60 * time.Millisecond
	suspension    = time.Minute
)

// chooser draws from one seed for all goroutines.
type chooser struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (c *chooser) n(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// service counts the runs of each body and misbehaves.
type service struct {
	choose *chooser
	start  time.Time
	mu     sync.Mutex
	runs   map[string][]time.Duration
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.choose.n(10)
	if fault == 0 {
		kill(w, "")
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
		kill(w, "")
	case 3:
		kill(w, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort")
	case 4:
		kill(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	case 5:
		time.Sleep(serviceDelay)
		fallthrough
	default:
		_, _ = io.WriteString(w, "answer to "+string(body))
	}
}

func kill(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	conn.Close()
}

// doer is what carries out calls: an executor, or the baseline.
type doer interface {
	Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

// process is one incarnation of a VM.
type process struct {
	issuer *issuer.Issuer
	doer   doer
}

// fleet is the VMs' present incarnations, and all executors ever started: those that were replaced go on, as zombies do.
type fleet struct {
	choose  *chooser
	address string
	naive   bool
	mu      sync.Mutex
	present [vmCount]*process
	all     []*executor.Executor
	ops     []porcupine.Operation
	start   time.Time
	// late are calls that arrive after their callers were told unknown.
	late sync.WaitGroup
}

func (f *fleet) restart(vm int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &clock{}
	is := &issuer.Issuer{
		VM: fmt.Sprint(vm), Incarnation: fmt.Sprint(len(f.all)), Secret: []byte("0123456789abcdef"), Clock: c.now,
	}
	send := f.faultySend(c)
	e := &executor.Executor{Keys: is, Sender: send, Admission: f, Clock: c.now}
	f.all = append(f.all, e)
	f.present[vm] = &process{issuer: is, doer: e}
	if f.naive {
		f.present[vm].doer = retrier{send}
	}
}

// faultySend suspends the process before the send now and then, or dials an address where nothing listens.
func (f *fleet) faultySend(c *clock) sendFunc {
	good := &caller.Caller{Address: f.address, Timeout: callTimeout}
	bad := &caller.Caller{Address: "127.0.0.1:1", Timeout: callTimeout}
	return func(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
		switch f.choose.n(8) {
		case 0:
			return bad.Send(ctx, call, begun)
		case 1:
			return good.Send(ctx, call, func() error {
				time.Sleep(callTimeout)
				c.advance(suspension)
				return begun()
			})
		}
		return good.Send(ctx, call, begun)
	}
}

// Admit refuses some calls.
func (f *fleet) Admit(context.Context, fuchsiaspoke.Call) error {
	if f.choose.n(5) == 0 {
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun}
	}
	return nil
}

func (f *fleet) at(vm int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.present[vm]
}

// do carries a call to its home through any VM; the baseline carries it out where it arrives.
func (f *fleet) do(ctx context.Context, via int, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	p := f.at(via)
	if f.naive {
		return p.doer.Do(ctx, call)
	}
	vm, _, err := p.issuer.Parse(call.IdempotencyKey, call.Account)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	var home int
	if _, err := fmt.Sscan(vm, &home); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if f.choose.n(10) == 0 {
		f.late.Go(func() {
			time.Sleep(serviceDelay)
			_, _ = f.at(home).doer.Do(context.WithoutCancel(ctx), call)
		})
		return fuchsiaspoke.Reply{}, errDelayed
	}
	return f.at(home).doer.Do(ctx, call)
}

// errDelayed is what a VM answers whose message to the key's home was delayed for longer than it waited.
var errDelayed = &fuchsiaspoke.Refusal{
	Code: fuchsiaspoke.CodeOutcomeUnknown, Run: fuchsiaspoke.RunUnknown, Message: "the VM that passed the call on gave up",
}

// retrier is the baseline: it sends again on an error.
type retrier struct{ send sendFunc }

func (r retrier) Do(ctx context.Context, call fuchsiaspoke.Call) (reply fuchsiaspoke.Reply, err error) {
	for range triesPerCall {
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
	kindFresh    = "fresh"
	kindReplayed = "replayed"
	kindNotRun   = "not_run"
	kindReused   = "reused"
	kindGaveUp   = "gave_up"
	kindLost     = "lost"
	kindGone     = "gone"
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
	case strings.Contains(refusal.Message, "gave up"):
		return result{kind: kindGaveUp}
	case strings.Contains(refusal.Message, "gone"):
		return result{kind: kindGone}
	}
	return result{kind: kindLost}
}

// submission is the input of one operation in the history.
type submission struct {
	key, body string
}

// model is one register for each key: idle, an answer, lost or gone.
var model = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		return step(state.(string), in.(submission), out.(result))
	},
}

func step(state string, in submission, out result) (bool, any) {
	switch out.kind {
	case kindFresh:
		return state == "" && out.body == answerTo(in.body), out.body
	case kindReplayed:
		return (state == "" || state == out.body) && out.body == answerTo(in.body), out.body
	case kindNotRun:
		return state == "", state
	case kindLost:
		return state == "" || state == kindLost, kindLost
	case kindGone:
		return true, kindGone
	case kindReused, kindGaveUp:
		return true, state
	}
	return false, state
}

func byKey(ops []porcupine.Operation) [][]porcupine.Operation {
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

func answerTo(body string) string {
	return "answer to " + body
}

// submit makes one call through a random VM and records it.
func (f *fleet) submit(key, body string, patience time.Duration) result {
	call := fuchsiaspoke.Call{
		RequestID: "r", Account: account, Method: http.MethodPost, Path: "/seats", Body: []byte(body), IdempotencyKey: key,
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begin := time.Since(f.start)
	out := classify(f.do(ctx, f.choose.n(vmCount), call))
	end := time.Since(f.start)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = append(f.ops, porcupine.Operation{
		Input: submission{key, body}, Call: int64(begin), Output: out, Return: int64(end),
	})
	return out
}

// useKey has one key issued and lets several clients retry with it, some of them with another body.
func (f *fleet) useKey(t *testing.T, n int) string {
	key, err := f.at(f.choose.n(vmCount)).issuer.Issue(account)
	if err != nil {
		t.Error(err)
	}
	var clients sync.WaitGroup
	for range clientsPerKey {
		clients.Go(func() {
			body := fmt.Sprintf("seat %d.%d", n, f.choose.n(6)/5)
			for range triesPerCall {
				patience := time.Duration(5+f.choose.n(100)) * time.Millisecond
				if out := f.submit(key, body, patience); out.body != "" {
					return
				}
			}
		})
	}
	clients.Wait()
	return key
}

// run makes one randomised run and returns its history and the service's own record.
func run(t *testing.T, seed int64, naive bool) (*fleet, *service) {
	choose := &chooser{rng: rand.New(rand.NewPCG(uint64(seed), 0))}
	start := time.Now()
	s := &service{choose: choose, start: start, runs: map[string][]time.Duration{}}
	server := httptest.NewServer(s)
	defer server.Close()
	f := &fleet{choose: choose, address: server.Listener.Addr().String(), naive: naive, start: start}
	for vm := range vmCount {
		f.restart(vm)
	}
	var keys sync.WaitGroup
	for n := range keyCount {
		keys.Go(func() {
			time.Sleep(time.Duration(f.choose.n(500)) * time.Millisecond)
			key := f.useKey(t, n)
			time.Sleep(serviceDelay)
			f.submit(key, fmt.Sprintf("seat %d.0", n), time.Second)
		})
	}
	for range 8 {
		time.Sleep(50 * time.Millisecond)
		f.restart(f.choose.n(vmCount))
	}
	keys.Wait()
	f.late.Wait()
	for _, e := range f.all {
		for e.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return f, s
}

// check returns the number of calls that ran twice, and of refusals that said not_run in vain.
func check(f *fleet, s *service) (doubles, untrue int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for body, runs := range s.runs {
		if len(runs) > 1 {
			doubles++
		}
		possible := false
		for _, op := range f.ops {
			kind := op.Output.(result).kind
			if op.Input.(submission).body != body {
				continue
			}
			late := time.Duration(op.Call) > runs[0]
			if (kind == kindNotRun || kind == kindReused) && late {
				untrue++
			}
			if kind != kindNotRun && kind != kindReused && !late {
				possible = true
			}
		}
		if !possible {
			untrue++
		}
	}
	return doubles, untrue
}

// TestAtMostOnce asserts at most one run of each call at the service's own count, true refusals and the right answers.
func TestAtMostOnce(t *testing.T) {
	for n := range int64(*rounds) {
		f, s := run(t, *seed+n, false)
		doubles, untrue := check(f, s)
		kinds := map[string]int{}
		for _, op := range f.ops {
			kinds[op.Output.(result).kind]++
		}
		t.Logf("seed %d: %d submissions, %d bodies run, %d twice, %d untrue not_run; %v",
			*seed+n, len(f.ops), len(s.runs), doubles, untrue, kinds)
		if doubles != 0 || untrue != 0 {
			t.Errorf("seed %d: %d calls ran twice, %d not_run untrue", *seed+n, doubles, untrue)
		}
		if !porcupine.CheckOperations(model, f.ops) {
			t.Errorf("seed %d: the history has no order that the model allows", *seed+n)
		}
	}
}

// TestBaselineRunsTwice shows that the same checks fail for VMs that each send again on an error.
func TestBaselineRunsTwice(t *testing.T) {
	f, s := run(t, *seed, true)
	doubles, _ := check(f, s)
	t.Logf("seed %d: %d submissions, %d bodies run, %d of them more than once", *seed, len(f.ops), len(s.runs), doubles)
	if doubles == 0 || porcupine.CheckOperations(model, f.ops) {
		t.Error("the checks don't see calls that ran twice")
	}
}
