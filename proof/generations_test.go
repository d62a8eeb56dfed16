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

// told is one generation with what its caller was told.
type told struct {
	prompt
	stream     bool
	got        answer
	began, end time.Time
}

// generators are callers that send generations to any VM.
type generators struct {
	client *http.Client
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	all    []told
}

// generate starts callers whose prompts differ, for the given number of adapters of skewed popularity, with at least the given number of tokens.
func (f *fleet) generate(client *http.Client, callers, adapters, tokens int) *generators {
	g := &generators{client: client, stop: make(chan struct{})}
	vms := append([]*machine(nil), f.vms...)
	for caller := range callers {
		random := rand.New(rand.NewSource(*seed*1000 + int64(caller)))
		g.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-g.stop:
					return
				default:
				}
				p := prompt{text: fmt.Sprintf("caller %d asks %d", caller, n), adapter: random.Intn(1 + random.Intn(adapters)), tokens: tokens + random.Intn(64-tokens)}
				g.send(vms[random.Intn(len(vms))], p, random.Intn(2) == 0)
			}
		})
	}
	return g
}

func (g *generators) send(m *machine, p prompt, stream bool) {
	began := time.Now()
	got := m.do(g.client, http.MethodPost, "/v1/completions", "newcomers", p.body(stream))
	g.mu.Lock()
	g.all = append(g.all, told{prompt: p, stream: stream, got: got, began: began, end: time.Now()})
	g.mu.Unlock()
	if got.status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
	}
}

func (g *generators) wait() []told {
	close(g.stop)
	g.wg.Wait()
	return g.all
}

// checkAnswers asserts that each answer is its caller's own, and whole where it is presented as whole.
func (f *fleet) checkAnswers(all []told) {
	f.t.Helper()
	whole := 0
	outcomes := map[string]int{}
	for _, a := range all {
		code, run := a.got.refusal()
		outcomes[strings.TrimSpace(fmt.Sprintf("%d %s %s", a.got.status, code, run))]++
		text, complete := textOf(a.got, a.stream)
		if _, err := a.versionOf(text, !complete); err != nil {
			f.t.Errorf("%q of adapter_%d (whole %t): %v: %s", a.text, a.adapter, complete, err, tail(string(a.got.body), 600))
		}
		if complete {
			whole++
		}
	}
	f.t.Logf("seed %d: %d generations, %d whole answers, %v", *seed, len(all), whole, outcomes)
	if whole == 0 {
		f.t.Error("no answer was whole")
	}
}

// checkNotRun asserts that no engine ran what a caller was told had not run, and returns how many were told so.
func (f *fleet) checkNotRun(all []told) (claims int) {
	f.t.Helper()
	ran := map[string]record.Record{}
	for _, e := range f.world.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				ran[r.RequestID] = r
			}
		}
	}
	codes := map[string]int{}
	for _, a := range all {
		if !bytes.Contains(a.got.body, []byte(`"run":"not_run"`)) {
			continue
		}
		claims++
		code, _ := a.got.refusal()
		codes[code]++
		id := a.got.header.Get("X-Request-Id")
		if id == "" {
			f.t.Errorf("a refusal without X-Request-Id: %d %s", a.got.status, a.got.body)
		}
		if r, ok := ran[id]; ok {
			f.t.Errorf("%s was refused as not run, and ran: %s; %+v", id, a.got.body, r)
		}
	}
	f.t.Logf("seed %d: %d refusals as not run %v, %d requests ran", *seed, claims, codes, len(ran))
	return claims
}
