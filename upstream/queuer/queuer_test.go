package queuer_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/queuer"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func generation(id int, account string, adapter int, prompt, output int64) fuchsiaspoke.Generation {
	return fuchsiaspoke.Generation{
		RequestID:       fmt.Sprint("r-", id),
		Account:         account,
		Adapter:         fuchsiaspoke.Adapter{Name: fmt.Sprint("adapter-", adapter), Version: 1},
		PromptTokens:    prompt,
		MaxOutputTokens: output,
		Patience:        time.Hour,
		KeyHash:         fmt.Sprint("key-", id%7),
	}
}

func runnable(fuchsiaspoke.Generation) int {
	return queuer.Runnable
}

func ExampleQueuer() {
	var q queuer.Queuer
	q.Push(0, generation(1, "large", 1, 100, 10))
	q.Push(0, generation(2, "large", 1, 100, 10))
	q.Push(0, generation(3, "small", 1, 100, 10))
	for range 3 {
		g, _ := q.Pop(0, runnable)
		fmt.Println(g.RequestID, g.Account)
	}
	// Output:
	// r-1 large
	// r-3 small
	// r-2 large
}

// TestBacklogged keeps all accounts waiting under random residency and checks the bounds on what they are served.
func TestBacklogged(t *testing.T) {
	const accounts, adapters, pops, maxCost = 5, 12, 20000, 2000
	r := rand.New(rand.NewPCG(uint64(*seed), 2))
	q := queuer.Queuer{Violated: func(detail string) { t.Fatal(detail) }}
	served := make([]int64, accounts)
	class := make(map[fuchsiaspoke.Adapter]int)
	last := make(map[string]int)
	next, widest := 0, int64(0)
	push := func(account int) {
		q.Push(0, generation(next, fmt.Sprint(account), r.IntN(adapters), 1+r.Int64N(maxCost/2), r.Int64N(maxCost/4)))
		next++
	}
	for i := range accounts * 40 {
		push(i % accounts)
	}
	for i := range pops {
		if i%10 == 0 {
			class[generation(0, "", r.IntN(adapters), 0, 0).Adapter] = queuer.Runnable + r.IntN(2)
		}
		g, ok := q.Pop(0, func(g fuchsiaspoke.Generation) int { return max(class[g.Adapter], queuer.Runnable) })
		if !ok {
			t.Fatal("nothing to serve while all wait")
		}
		checkOrder(t, last, g)
		output := r.Int64N(g.MaxOutputTokens + 1)
		q.Charge(g.Account, output)
		q.Finish(g.Account)
		var account int
		_, _ = fmt.Sscan(g.Account, &account)
		served[account] += queuer.PromptWeight*g.PromptTokens + queuer.OutputWeight*output
		push(account)
		widest = max(widest, slices.Max(served)-slices.Min(served))
	}
	bound := int64(queuer.PassOverTokens + 2*maxCost)
	t.Logf("seed %d: served %v, widest gap %d of %d weighted tokens", *seed, served, widest, bound)
	if widest > bound {
		t.Errorf("gap of %d weighted tokens between waiting accounts, bound %d", widest, bound)
	}
}

// checkOrder checks that one account's requests for one adapter go first come, first served.
func checkOrder(t *testing.T, last map[string]int, g fuchsiaspoke.Generation) {
	t.Helper()
	var id int
	_, _ = fmt.Sscanf(g.RequestID, "r-%d", &id)
	line := g.Account + g.Adapter.Name
	if before, ok := last[line]; ok && before > id {
		t.Fatalf("request %d served after %d of its line", id, before)
	}
	last[line] = id
}

// TestRandomOperations checks that nothing is lost, doubled or kept beyond its patience, whatever is called.
func TestRandomOperations(t *testing.T) {
	r := rand.New(rand.NewPCG(uint64(*seed), 3))
	q := queuer.Queuer{Batch: 16, Headroom: 2, Violated: func(detail string) { t.Fatal(detail) }}
	waiting := make(map[string]fuchsiaspoke.Generation)
	deadline := make(map[string]time.Duration)
	var running []fuchsiaspoke.Generation
	left := func(all ...fuchsiaspoke.Generation) {
		for _, g := range all {
			if _, ok := waiting[g.RequestID]; !ok {
				t.Fatalf("%s came out without waiting", g.RequestID)
			}
			delete(waiting, g.RequestID)
		}
	}
	for i := range 50000 {
		now := time.Duration(i) * time.Millisecond
		g := generation(i, fmt.Sprint(r.IntN(8)), r.IntN(200), r.Int64N(3000), r.Int64N(3000))
		switch op := r.IntN(100); {
		case op < 50:
			g.Patience = time.Duration(r.IntN(2000)) * time.Millisecond
			q.Push(now, g)
			waiting[g.RequestID], deadline[g.RequestID] = g, now+g.Patience
		case op < 80:
			if g, ok := q.Pop(now, func(g fuchsiaspoke.Generation) int { return len(g.Adapter.Name) % 3 }); ok {
				left(g)
				running = append(running, g)
			}
		case op < 95 && len(running) > 0:
			g := running[0]
			running = running[1:]
			q.Charge(g.Account, r.Int64N(g.MaxOutputTokens+1))
			q.Finish(g.Account)
			if op < 82 && q.Requeue(now, g) {
				waiting[g.RequestID], deadline[g.RequestID] = g, now+g.Patience
			}
		case op == 97:
			left(q.RemoveKey(g.KeyHash)...)
		case op == 98:
			left(q.RemoveAdapter(g.Adapter)...)
		case op == 99:
			if g, ok := q.Remove(fmt.Sprint("r-", r.IntN(i+1))); ok {
				left(g)
			}
		}
		left(q.Expire(now)...)
		if q.Len() != len(waiting) {
			t.Fatalf("%d wait, want %d", q.Len(), len(waiting))
		}
	}
	for id, at := range deadline {
		if _, ok := waiting[id]; ok && at < 50*time.Second-time.Millisecond {
			t.Fatalf("%s waits beyond its patience", id)
		}
	}
	left(q.RemoveAll()...)
	if len(waiting) > 0 || q.Tokens() != 0 {
		t.Fatalf("%d lost, %d tokens left over", len(waiting), q.Tokens())
	}
}

// TestIdleEarnsNothing checks that an account that comes back has no credit for its absence.
func TestIdleEarnsNothing(t *testing.T) {
	var q queuer.Queuer
	for i := range 200 {
		q.Push(0, generation(i, "busy", 1, 100, 0))
	}
	for range 100 {
		q.Pop(0, runnable)
	}
	for i := range 100 {
		q.Push(0, generation(1000+i, "back", 1, 100, 0))
	}
	back := 0
	for range 40 {
		if g, _ := q.Pop(0, runnable); g.Account == "back" {
			back++
		}
	}
	if back < 19 || back > 21 {
		t.Errorf("account that came back got %d of 40", back)
	}
}

// TestLagIsBounded checks how long an account whose adapter came late may hold the others.
func TestLagIsBounded(t *testing.T) {
	q := queuer.Queuer{Violated: func(detail string) { t.Fatal(detail) }}
	for i := range 2000 {
		q.Push(0, generation(2*i, "cold", 1, 100, 0))
		q.Push(0, generation(2*i+1, "warm", 2, 100, 0))
	}
	for range 1000 {
		q.Pop(0, func(g fuchsiaspoke.Generation) int {
			if g.Account == "cold" {
				return queuer.Blocked
			}
			return queuer.Runnable
		})
	}
	held := 0
	for g, ok := q.Pop(0, runnable); ok && g.Account == "cold"; g, ok = q.Pop(0, runnable) {
		held++
	}
	if tokens := int64(held * 100); tokens > queuer.LagTokens+100 {
		t.Errorf("held the other account for %d tokens, bound %d", tokens, queuer.LagTokens)
	}
}

func TestSteadyStateAllocatesNothing(t *testing.T) {
	var q queuer.Queuer
	all := load(&q, 1000)
	turn := turner(&q, all)
	for range 5000 {
		turn()
	}
	if n := testing.AllocsPerRun(5000, turn); n > 0 {
		t.Errorf("%v allocations for each push and pop", n)
	}
}

func load(q *queuer.Queuer, n int) []fuchsiaspoke.Generation {
	all := make([]fuchsiaspoke.Generation, n)
	for i := range all {
		all[i] = generation(i, fmt.Sprint("account-", i%10), int(float64(n)*math.Pow(float64(i%997)/997, 3)), 100, 100)
		q.Push(0, all[i])
	}
	return all
}

// turner returns a function that serves one request and queues it again.
func turner(q *queuer.Queuer, all []fuchsiaspoke.Generation) func() {
	warm := make(map[fuchsiaspoke.Adapter]int)
	for i := 0; i < len(all); i += max(1, len(all)/16) {
		warm[all[i].Adapter] = 1 + i%2
	}
	fits := func(g fuchsiaspoke.Generation) int { return warm[g.Adapter] }
	return func() {
		g, ok := q.Pop(0, fits)
		if !ok {
			g, _ = q.Pop(0, runnable)
		}
		q.Finish(g.Account)
		q.Push(0, g)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var q queuer.Queuer
			turn := turner(&q, load(&q, n))
			b.ReportAllocs()
			for b.Loop() {
				turn()
			}
		})
	}
}
