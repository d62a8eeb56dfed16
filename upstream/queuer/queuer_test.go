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
		MaxWait:         time.Hour,
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

// TestBackloggedAccountsAreServedEvenly keeps all accounts backlogged while adapters change between resident and in
// the batch at random, and checks that the gap between the accounts' served tokens stays within the bound.
func TestBackloggedAccountsAreServedEvenly(t *testing.T) {
	const accounts, adapters, pops, maxCost = 5, 12, 20000, 2000
	r := rand.New(rand.NewPCG(uint64(*seed), 2))
	q := queuer.Queuer{OnViolation: func(detail string) { t.Fatal(detail) }}
	served := make([]int64, accounts)
	readiness := make(map[fuchsiaspoke.Adapter]int)
	lastServed := make(map[string]int)
	next, maxGap := 0, int64(0)
	push := func(account int) {
		q.Push(0, generation(next, fmt.Sprint(account), r.IntN(adapters), 1+r.Int64N(maxCost/2), r.Int64N(maxCost/4)))
		next++
	}
	for i := range accounts * 40 {
		push(i % accounts)
	}
	for i := range pops {
		if i%10 == 0 {
			readiness[generation(0, "", r.IntN(adapters), 0, 0).Adapter] = queuer.Runnable + r.IntN(2)
		}
		g, ok := q.Pop(0, func(g fuchsiaspoke.Generation) int { return max(readiness[g.Adapter], queuer.Runnable) })
		if !ok {
			t.Fatal("Pop returned no generation while all accounts have waiting ones")
		}
		checkOrder(t, lastServed, g)
		output := r.Int64N(g.MaxOutputTokens + 1)
		q.Charge(g.Account, output)
		q.Finish(g.Account)
		var account int
		_, _ = fmt.Sscan(g.Account, &account)
		served[account] += queuer.PromptWeight*g.PromptTokens + queuer.OutputWeight*output
		push(account)
		maxGap = max(maxGap, slices.Max(served)-slices.Min(served))
	}
	bound := int64(queuer.MaxBypassTokens + 2*maxCost)
	t.Logf("seed %d: served %v, largest gap %d weighted tokens, bound %d", *seed, served, maxGap, bound)
	if maxGap > bound {
		t.Errorf("gap of %d weighted tokens between backlogged accounts, bound %d", maxGap, bound)
	}
}

// checkOrder checks that one account's requests for one adapter are served first in, first out.
func checkOrder(t *testing.T, lastServed map[string]int, g fuchsiaspoke.Generation) {
	t.Helper()
	var id int
	_, _ = fmt.Sscanf(g.RequestID, "r-%d", &id)
	queue := g.Account + g.Adapter.Name
	if previous, ok := lastServed[queue]; ok && previous > id {
		t.Fatalf("request %d served after request %d of the same account and adapter", id, previous)
	}
	lastServed[queue] = id
}

// TestRandomOperationsLoseNothingAndExpireOnTime checks under random operations that no generation is lost, returned
// twice or kept beyond its deadline.
func TestRandomOperationsLoseNothingAndExpireOnTime(t *testing.T) {
	r := rand.New(rand.NewPCG(uint64(*seed), 3))
	q := queuer.Queuer{Batch: 16, Headroom: 2, OnViolation: func(detail string) { t.Fatal(detail) }}
	waiting := make(map[string]fuchsiaspoke.Generation)
	deadlines := make(map[string]time.Duration)
	var running []fuchsiaspoke.Generation
	removeWaiting := func(generations ...fuchsiaspoke.Generation) {
		for _, g := range generations {
			if _, ok := waiting[g.RequestID]; !ok {
				t.Fatalf("%s was returned but was not waiting", g.RequestID)
			}
			delete(waiting, g.RequestID)
		}
	}
	for i := range 50000 {
		now := time.Duration(i) * time.Millisecond
		g := generation(i, fmt.Sprint(r.IntN(8)), r.IntN(200), r.Int64N(3000), r.Int64N(3000))
		switch op := r.IntN(100); {
		case op < 50:
			g.MaxWait = time.Duration(r.IntN(2000)) * time.Millisecond
			q.Push(now, g)
			waiting[g.RequestID], deadlines[g.RequestID] = g, now+g.MaxWait
		case op < 80:
			if g, ok := q.Pop(now, func(g fuchsiaspoke.Generation) int { return len(g.Adapter.Name) % 3 }); ok {
				removeWaiting(g)
				running = append(running, g)
			}
		case op < 95 && len(running) > 0:
			g := running[0]
			running = running[1:]
			q.Charge(g.Account, r.Int64N(g.MaxOutputTokens+1))
			q.Finish(g.Account)
			if op < 82 && q.Requeue(now, g) {
				waiting[g.RequestID], deadlines[g.RequestID] = g, now+g.MaxWait
			}
		case op == 97:
			removeWaiting(q.RemoveKey(g.KeyHash)...)
		case op == 98:
			removeWaiting(q.RemoveAdapter(g.Adapter)...)
		case op == 99:
			if g, ok := q.Remove(fmt.Sprint("r-", r.IntN(i+1))); ok {
				removeWaiting(g)
			}
		}
		removeWaiting(q.Expire(now)...)
		if q.Len() != len(waiting) {
			t.Fatalf("%d generations waiting, want %d", q.Len(), len(waiting))
		}
	}
	for id, deadline := range deadlines {
		if _, ok := waiting[id]; ok && deadline < 50*time.Second-time.Millisecond {
			t.Fatalf("%s still waits after its deadline", id)
		}
	}
	removeWaiting(q.RemoveAll()...)
	if len(waiting) > 0 || q.Tokens() != 0 {
		t.Fatalf("%d generations lost, %d tokens still counted as waiting", len(waiting), q.Tokens())
	}
}

// TestIdleAccountEarnsNoCredit checks that an account that becomes active after another one was served gets only its
// equal share.
func TestIdleAccountEarnsNoCredit(t *testing.T) {
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
	latePops := 0
	for range 40 {
		if g, _ := q.Pop(0, runnable); g.Account == "back" {
			latePops++
		}
	}
	if latePops < 19 || latePops > 21 {
		t.Errorf("account that became active later got %d of 40 requests served", latePops)
	}
}

// TestLagOfAccountWithColdAdapterIsBounded checks that an account whose adapter became resident late delays the other
// account by at most MaxLagTokens.
func TestLagOfAccountWithColdAdapterIsBounded(t *testing.T) {
	q := queuer.Queuer{OnViolation: func(detail string) { t.Fatal(detail) }}
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
	pops := 0
	for g, ok := q.Pop(0, runnable); ok && g.Account == "cold"; g, ok = q.Pop(0, runnable) {
		pops++
	}
	if tokens := int64(pops * 100); tokens > queuer.MaxLagTokens+100 {
		t.Errorf("late account delayed the other one by %d tokens, bound %d", tokens, queuer.MaxLagTokens)
	}
}

func TestPushPopDoesNotAllocateInSteadyState(t *testing.T) {
	var q queuer.Queuer
	generations := pushGenerations(&q, 1000)
	popPush := newPopPush(&q, generations)
	for range 5000 {
		popPush()
	}
	if n := testing.AllocsPerRun(5000, popPush); n > 0 {
		t.Errorf("%v allocations per pop and push", n)
	}
}

func pushGenerations(q *queuer.Queuer, n int) []fuchsiaspoke.Generation {
	generations := make([]fuchsiaspoke.Generation, n)
	for i := range generations {
		generations[i] = generation(i, fmt.Sprint("account-", i%10), int(float64(n)*math.Pow(float64(i%997)/997, 3)), 100, 100)
		q.Push(0, generations[i])
	}
	return generations
}

// newPopPush returns a function that pops one request and pushes it again.
func newPopPush(q *queuer.Queuer, generations []fuchsiaspoke.Generation) func() {
	warm := make(map[fuchsiaspoke.Adapter]int)
	for i := 0; i < len(generations); i += max(1, len(generations)/16) {
		warm[generations[i].Adapter] = 1 + i%2
	}
	readinessOf := func(g fuchsiaspoke.Generation) int { return warm[g.Adapter] }
	return func() {
		g, ok := q.Pop(0, readinessOf)
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
			popPush := newPopPush(&q, pushGenerations(&q, n))
			b.ReportAllocs()
			for b.Loop() {
				popPush()
			}
		})
	}
}
