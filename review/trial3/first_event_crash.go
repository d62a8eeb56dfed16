package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPart is the part of a prompt on which replicas crash.
	poisonPart = "badc0de1"
	// poisonInterval is the time between two requests with it, and poisonTime how long they come.
	poisonInterval = 1500 * time.Millisecond
	poisonTime     = 60 * time.Second
	// maxAfterFifth is how many requests with the part the rule BUDGET allows later than contactMs after the fifth crash.
	maxAfterFifth = 3
)

// firstEventCrash has one part of prompts crash each replica that begins to write an answer on it: the process ends once it has written its first
// event. The rule BUDGET allows three more requests with the part later than contactMs after the fifth crash.
func firstEventCrash(t *trial) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Duration
	hasPart := func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), poisonPart) }
	engines, err := t.startReplicas(6, func(r *replica) {
		r.crashAt = func(q *http.Request, eventsSent int) bool { return t.trouble && hasPart(q) && eventsSent == 1 }
		r.onRun = func(q *http.Request, replica string) {
			t.notef("%s runs %s", replica, q.Header.Get("X-Attempt-Id"))
			if hasPart(q) {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, t.now())
			}
		}
	})
	if err != nil {
		return false, err
	}
	t.configure(5000)
	if err := t.startVMs(3); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	soundServed, sound := 0, 0
	began := t.now()
	for n := 0; t.now()-began < poisonTime; n++ {
		v := t.vms[n%len(t.vms)]
		callers.Go(func() {
			got := t.ask(v, call{
				id: fmt.Sprintf("sound-%d", n), method: http.MethodPost, path: "/text/x", tokens: "900,30",
				parts: fmt.Sprintf("5c1e07a2:600,%08x:300", 0x10000000+n), deadline: 5 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			sound++
			if got.served() {
				soundServed++
			}
		})
		if n%6 == 0 {
			number := n / 6
			callers.Go(func() {
				t.ask(t.vms[number%len(t.vms)], call{
					id: fmt.Sprintf("poison-%d", number), method: http.MethodPost, path: "/text/x", tokens: "1000,30",
					parts: fmt.Sprintf("5c1e07a2:600,%s:200,%08x:200", poisonPart, 0x20000000+number), deadline: 5 * time.Second,
				})
			})
		}
		time.Sleep(poisonInterval / 6)
	}
	callers.Wait()
	return t.judgePoison(engines, arrivals, soundServed, sound), nil
}

// ask sends a call and records it with its outcome.
func (t *trial) ask(v *vm, c call) outcome {
	t.notef("%s is sent to %s", c.id, v.name)
	got := send(v, c)
	t.notef("%s: %s", c.id, got)
	return got
}

// judgePoison counts the requests with the part that came later than contactMs after the fifth crash.
func (t *trial) judgePoison(engines []*replica, arrivals []time.Duration, soundServed, sound int) bool {
	var crashes []time.Duration
	for _, e := range engines {
		crashes = append(crashes, e.crashes()...)
	}
	slices.Sort(crashes)
	t.logf("requests with the part that reached replicas: %d; crashes: %d; sound requests served: %s", len(arrivals), len(crashes), share(soundServed, sound))
	if len(crashes) < 5 {
		return true
	}
	late := 0
	for _, at := range arrivals {
		if at > crashes[4]+contactLimit*time.Millisecond {
			late++
		}
	}
	t.logf("fifth crash at %.1f s; %d requests with the part reached replicas later than %d ms after it, %d are allowed", crashes[4].Seconds(), late,
		contactLimit, maxAfterFifth)
	return late <= maxAfterFifth
}
