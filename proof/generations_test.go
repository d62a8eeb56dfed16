package proof

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// generationResult is one generation with the response that its caller received.
type generationResult struct {
	prompt
	stream             bool
	got                response
	startedAt, endedAt time.Time
}

// generationLoad is a set of callers that send generations to random VMs, with their results.
type generationLoad struct {
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []generationResult
}

// startGenerations starts callers that each send distinct prompts. Adapters are chosen with skewed popularity, and each generation has
// from minTokens up to 63 tokens.
func (f *fleet) startGenerations(client *http.Client, callers, adapters, minTokens int) *generationLoad {
	g := &generationLoad{client: client, stop: make(chan struct{})}
	vms := append([]*vmProcess(nil), f.vms...)
	for caller := range callers {
		random := rand.New(rand.NewSource(*seed*1000 + int64(caller)))
		g.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-g.stop:
					return
				default:
				}
				p := prompt{text: fmt.Sprintf("caller %d asks %d", caller, n), adapterIndex: random.Intn(1 + random.Intn(adapters)), tokens: minTokens + random.Intn(64-minTokens)}
				g.send(vms[random.Intn(len(vms))], p, random.Intn(2) == 0)
			}
		})
	}
	return g
}

func (g *generationLoad) send(proc *vmProcess, p prompt, stream bool) {
	startedAt := time.Now()
	got := proc.do(g.client, http.MethodPost, "/v1/completions", "newcomers", p.body(stream))
	g.mu.Lock()
	g.results = append(g.results, generationResult{prompt: p, stream: stream, got: got, startedAt: startedAt, endedAt: time.Now()})
	g.mu.Unlock()
	if got.status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
	}
}

func (g *generationLoad) stopAndWait() []generationResult {
	close(g.stop)
	g.wg.Wait()
	return g.results
}

// checkAnswers asserts that each answer belongs to its request and that each answer presented as complete is complete.
func (f *fleet) checkAnswers(results []generationResult) {
	f.t.Helper()
	completeCount := 0
	outcomes := map[string]int{}
	for _, result := range results {
		code, run := result.got.refusal()
		outcomes[strings.TrimSpace(fmt.Sprintf("%d %s %s", result.got.status, code, run))]++
		text, complete := parseAnswer(result.got, result.stream)
		if _, err := result.adapterVersionIn(text, !complete); err != nil {
			f.t.Errorf("answer to prompt %q for adapter_%d (presented as complete: %t): %v: %s", result.text, result.adapterIndex, complete, err, lastBytes(string(result.got.body), 600))
		}
		if complete {
			completeCount++
		}
	}
	f.t.Logf("seed %d: %d generations, %d complete answers, outcomes %v", *seed, len(results), completeCount, outcomes)
	if completeCount == 0 {
		f.t.Error("no generation got a complete answer")
	}
}

// checkNotRun asserts that no engine ran a request that was refused as not run, and returns the number of such refusals.
func (f *fleet) checkNotRun(results []generationResult) (notRunCount int) {
	f.t.Helper()
	runByRequestID := map[string]record.Record{}
	for _, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				runByRequestID[r.RequestID] = r
			}
		}
	}
	codes := map[string]int{}
	for _, result := range results {
		if !bytes.Contains(result.got.body, []byte(`"run":"not_run"`)) {
			continue
		}
		notRunCount++
		code, _ := result.got.refusal()
		codes[code]++
		id := result.got.header.Get("X-Request-Id")
		if id == "" {
			f.t.Errorf("refusal without X-Request-Id: status %d, body %s", result.got.status, result.got.body)
		}
		if r, ok := runByRequestID[id]; ok {
			f.t.Errorf("request %s was refused as not run but ran: refusal %s, run %+v", id, result.got.body, r)
		}
	}
	f.t.Logf("seed %d: %d requests refused as not run, by code %v; %d requests ran", *seed, notRunCount, codes, len(runByRequestID))
	return notRunCount
}
