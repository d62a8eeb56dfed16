package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partsPerPrompt is the number of parts of a prompt in a header within maxHeaderBytes.
	partsPerPrompt = 1700
	// lastPartTokens is the size of the last part; the others have none.
	lastPartTokens = 500
	// fineCallers is the number of connections at which such requests come one after the other, and fineTime how long they come.
	fineCallers = 16
	fineTime    = 45 * time.Second
	// routeTimeout is the timeoutMs of all routes, and ordinaryWait how long ordinary callers wait.
	routeTimeout = 3 * time.Second
	ordinaryWait = 8 * time.Second
	// answerSlack is how long after a route's timeoutMs an answer may come by the rule CONFIG.
	answerSlack = 500 * time.Millisecond
	// leastOverdue is the number of requests without an answer by then from which the rule is broken, if they are also more than half of those
	// that were unanswered at their route's timeoutMs.
	leastOverdue = 8
)

// manyParts has one client divide its prompts into very many parts, within the limits of the configuration. Ordinary callers of
// the same VMs must get answers: by the rule CONFIG within half a second after their route's timeoutMs.
func manyParts(t *trial) (bool, error) {
	var runs, prompts atomic.Int64
	if _, err := t.startReplicas(4, func(r *replica) {
		r.onRun = func(q *http.Request, replica string) {
			runs.Add(1)
			t.noteRun(q, replica)
		}
	}); err != nil {
		return false, err
	}
	t.configure(int(routeTimeout.Milliseconds()))
	if err := t.startVMs(3); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	began := t.now()
	if t.trouble {
		for n := range fineCallers {
			callers.Go(func() { t.sendFinePrompts(n, &prompts, began+fineTime) })
		}
	}
	var mu sync.Mutex
	asked, unanswered, overdue, served := 0, 0, 0, 0
	for n := 0; t.now()-began < fineTime; n++ {
		v := t.vms[n%len(t.vms)]
		callers.Go(func() {
			got := t.ask(v, call{
				id: fmt.Sprintf("ordinary-%d", n), method: http.MethodPost, path: "/text/x", tokens: "900,30",
				parts: fmt.Sprintf("5c1e07a2:600,%08x:300", 0x10000000+n), deadline: ordinaryWait,
			})
			mu.Lock()
			defer mu.Unlock()
			asked++
			if got.served() {
				served++
			}
			if got.took > routeTimeout {
				unanswered++
			}
			if got.took > routeTimeout+answerSlack {
				overdue++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	for _, v := range t.vms {
		t.logf("%s: health check succeeds: %v", v.name, v.isReady())
	}
	callers.Wait()
	t.logf("ordinary requests: %d, served %d; unanswered at their route's timeoutMs: %d; of them without an answer %d ms later: %d; runs: %d", asked,
		served, unanswered, answerSlack.Milliseconds(), overdue, runs.Load())
	return overdue < leastOverdue || 2*overdue <= unanswered, nil
}

// sendFinePrompts sends prompts of many parts, one after the other; prompts counts those of all connections, and no two have a part in common.
func (t *trial) sendFinePrompts(caller int, prompts *atomic.Int64, until time.Duration) {
	for n := 0; t.now() < until; n++ {
		number := prompts.Add(1)
		var parts strings.Builder
		for i := range partsPerPrompt {
			if i > 0 {
				parts.WriteByte(',')
			}
			tokens := 0
			if i == partsPerPrompt-1 {
				tokens = lastPartTokens
			}
			fmt.Fprintf(&parts, "%x:%d", int(number)*partsPerPrompt+i, tokens)
		}
		got := send(t.vms[(caller+n)%len(t.vms)], call{
			id: fmt.Sprintf("fine-%d-%d", caller, n), method: http.MethodPost, path: "/text/x", tokens: fmt.Sprintf("%d,30", lastPartTokens),
			parts: parts.String(), deadline: ordinaryWait, key: fineKey,
		})
		t.notef("fine-%d-%d, %d bytes of parts: %s", caller, n, parts.Len(), got)
		if got.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
