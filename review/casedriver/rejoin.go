package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// streamInterval is the time between two new streams, and streamTokens the length of each, about 1.2 s.
	streamInterval = 35 * time.Millisecond
	streamTokens   = 200
	// streamDeadline is the deadline of the class brief-client.
	streamDeadline = 8 * time.Second
	// fewestStreams is the number of resumed streams from which the rule counts.
	fewestStreams = 12
)

// resumeAfter are the times between a client's tries to take up a broken stream.
var resumeAfter = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}

// tally counts streams that clients tried at machines in touch, and those of them that began or went on.
type tally struct {
	mu                          sync.Mutex
	resumed, wentOn, begun, new int
}

// playRejoin has all VMs killed at once while two software versions of a service serve, and clients take up their broken streams again. LOST:
// of those taken up at machines in touch, at least half as many go on as new streams begin.
func playRejoin(ctx context.Context, w *world, trouble bool) ([]string, error) {
	w.softwareVersions = []string{"v1", "v1", "v2", "v2"}
	if err := w.start(ctx, len(w.softwareVersions), 7, configuration(), func(e *engine, attempt, _ string, _ int64) {
		w.rec.log("engine %s of software version %s: attempt %s begins", e.id, e.software, attempt)
	}); err != nil {
		return nil, err
	}
	var t tally
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.running.Go(func() {
		ticker := time.NewTicker(streamInterval)
		defer ticker.Stop()
		for {
			select {
			case <-traffic.Done():
				return
			case <-ticker.C:
				w.running.Go(func() { w.readStream(traffic, &t) })
			}
		}
	})
	if !sleep(ctx, 5*time.Second) {
		return nil, ctx.Err()
	}
	if trouble {
		if err := w.restartAll(ctx); err != nil {
			return nil, err
		}
	}
	if !sleep(ctx, 9*time.Second) {
		return nil, ctx.Err()
	}
	return t.judge(w.rec)
}

// restartAll kills all processes at once, and starts them again after a second.
func (w *world) restartAll(ctx context.Context) error {
	var ends sync.WaitGroup
	for _, v := range w.vms {
		ends.Go(v.kill)
	}
	ends.Wait()
	w.rec.log("trouble: all processes are killed")
	if !sleep(ctx, time.Second) {
		return ctx.Err()
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	w.rec.log("all processes start again")
	return nil
}

// readStream reads a new stream, and takes it up again if it breaks off.
func (w *world) readStream(ctx context.Context, t *tally) {
	began := time.Now()
	c := call{
		method: "POST", path: briefClient + "2f", key: largeKey, promptTokens: 300, outTokens: streamTokens,
		parts: fmt.Sprintf("5c1e07a2:200,%x:100", rand.Uint32()), body: []byte("brief"), deadline: streamDeadline,
	}
	a := w.send(ctx, w.anyVM(), c)
	received := lastEventOf(a.body)
	t.addNew(a, received != "")
	if a.complete || received == "" {
		return
	}
	c.resumes, c.lastEvent = a.attempt, received
	for _, wait := range resumeAfter {
		c.deadline = streamDeadline - time.Since(began) - wait
		if c.deadline < time.Second || !sleep(ctx, wait) {
			return
		}
		a = w.send(ctx, w.anyVM(), c)
		received = lastEventOf(a.body)
		t.addResumed(a, received != "")
		if received != "" {
			c.lastEvent = received
		}
		if a.complete && a.status == 200 {
			return
		}
	}
}

func (w *world) anyVM() *vm { return w.vms[rand.IntN(len(w.vms))] }

// inTouch reports whether an attempt was sent to a machine whose process ran for contactMs before.
func inTouch(a answer) bool { return !a.refused && a.sentAt.Sub(a.vm.began()) >= contactLimit }

func (t *tally) addNew(a answer, begun bool) {
	if !inTouch(a) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.new++
	if begun {
		t.begun++
	}
}

func (t *tally) addResumed(a answer, wentOn bool) {
	if !inTouch(a) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumed++
	if wentOn {
		t.wentOn++
	}
}

// judge returns whether the share of resumed streams that went on is under half of that of new streams that began.
func (t *tally) judge(rec *recorder) ([]string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.log("at machines in touch: %d of %d resumed streams went on, %d of %d new streams began", t.wentOn, t.resumed, t.begun, t.new)
	if t.begun == 0 {
		return nil, fmt.Errorf("no new stream began")
	}
	if t.resumed < fewestStreams || float64(t.wentOn)/float64(t.resumed) >= float64(t.begun)/float64(t.new)/2 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d streams that clients took up again went on, while %d of %d new streams began",
		t.wentOn, t.resumed, t.begun, t.new)}, nil
}

// lastEventOf returns the id of the last complete event of a body; empty if there is none.
func lastEventOf(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	last := body[:end]
	start := strings.LastIndex(last, "id: ")
	if start < 0 {
		return ""
	}
	id, _, _ := strings.Cut(last[start+len("id: "):], "\n")
	return id
}
