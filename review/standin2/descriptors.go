package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// releaseReplicas is the number of replicas of the service. A release replaces releaseStep of them at a time, each releaseGap.
	releaseReplicas = 15
	releaseStep     = 5
	releaseGap      = time.Second
	// releaseTime is for how long the service is released again and again, and afterTime for how long the load goes on after that.
	releaseTime = 80 * time.Second
	afterTime   = 15 * time.Second
	// drainTime is drainMs and a little longer, for which a replica serves after it has reported that it drains.
	drainTime = 3500 * time.Millisecond
	// newCallers is the number of clients that send each request on a new connection, each newPause, and newTimeout the timeoutMs of their route.
	// They wait for newDeadline. lateAnswer is how much later than newTimeout an answer must have come.
	newCallers  = 8
	newPause    = 250 * time.Millisecond
	newTimeout  = 1200 * time.Millisecond
	newDeadline = 2500 * time.Millisecond
	lateAnswer  = 500 * time.Millisecond
	// minUnanswered is the least number of requests without an answer at newTimeout that counts.
	minUnanswered = 8
	// burstCallers is the number of clients that send requests, each on one connection, and burstPause the pause between two of its requests.
	burstCallers = 600
	burstPause   = 20 * time.Millisecond
	// replicaWork is how long a request takes, and replicaSlots how many a replica runs at once.
	replicaWork  = 140 * time.Millisecond
	replicaSlots = 48
)

// feedsMachine is a machine of the site ruwhenua-feeds-grown, and feedsBounds are the bounds there.
var (
	feedsMachine = machine{cpuShare: 0.144, memoryMB: 144, maxFDs: 3075}
	feedsBounds  = bounds{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 196,
		"quotaWindowS": 8, "quotaOverage": 0.25, "quotaSlack": 110000, "recoveryS": 15, "leaseMs": 3000, "freezeSlackMs": 300, "version_ms": 5000,
		"ttl_max_s": 5,
	}
)

// playDescriptors releases a service again and again, and checks that the VM goes on to serve.
func playDescriptors(e *environment, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configuration := plainConfiguration()
	configuration["routes"] = []any{
		route("/same/", "idempotent", "desk", nil), route("/short/", "idempotent", "desk", map[string]any{"timeoutMs": newTimeout.Milliseconds()}),
	}
	if _, err := s.put("op/config", configuration); err != nil {
		return false, err
	}
	var running []*replica
	for n := range releaseReplicas {
		r, err := startReplica(s, fmt.Sprintf("i-desk-0-%d", n), "desk", false, replicaWork, replicaSlots)
		if err != nil {
			return false, err
		}
		running = append(running, r)
	}
	vms, err := e.startVMs(2, s.address, feedsMachine, feedsBounds)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	v := vms[0]
	stop := make(chan struct{})
	counts := &burstCounts{}
	var callers sync.WaitGroup
	for range burstCallers {
		callers.Go(func() { counts.call(v, stop) })
	}
	began := time.Now()
	var leaving, ordinary sync.WaitGroup
	late := &lateAnswers{}
	for range newCallers {
		ordinary.Go(func() { e.callAnew(v, late, began.Add(releaseTime+afterTime)) })
	}
	for n := 1; time.Since(began) < releaseTime; n++ {
		for i := range running {
			if i%releaseStep == 0 {
				time.Sleep(releaseGap)
			}
			if !trouble {
				continue
			}
			next, err := startReplica(s, fmt.Sprintf("i-desk-%d-%d", n, i), "desk", false, replicaWork, replicaSlots)
			if err != nil {
				return false, err
			}
			old := running[i]
			running[i] = next
			leaving.Go(func() { _ = old.leave(s, drainTime) })
		}
		e.record("release %d: the VM has %s; %s", n, descriptors(v), counts.take())
	}
	leaving.Wait()
	ordinary.Wait()
	e.record("%v after the releases: the VM has %s; %s", afterTime, descriptors(v), counts.take())
	close(stop)
	callers.Wait()
	e.record("of %d requests on new connections, %d were unanswered at the route's timeout of %v, and %d of these %v later", late.sent, late.atTimeout,
		newTimeout, late.later, lateAnswer)
	if late.later > 0 {
		e.record("the first of them was sent at %.1f s", late.first.Sub(e.began).Seconds())
	}
	return late.atTimeout >= minUnanswered && 2*late.later > late.atTimeout, nil
}

// lateAnswers counts the requests on new connections: those that were sent, those that were unanswered at the route's timeout, and those of them
// that were still unanswered lateAnswer later.
type lateAnswers struct {
	mu                     sync.Mutex
	sent, atTimeout, later int
	first                  time.Time
}

// callAnew sends requests, each on a new connection, until a time.
func (e *environment) callAnew(v *vm, late *lateAnswers, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(newPause)
		sent := time.Now()
		a := send(v, request{method: "GET", path: "/short/x", key: "key-kept", deadline: newDeadline})
		took := time.Since(sent)
		e.note("request on a new connection: status %d after %v, error %v", a.status, took.Round(time.Millisecond), a.err)
		late.mu.Lock()
		late.sent++
		if took > newTimeout {
			late.atTimeout++
		}
		if took > newTimeout+lateAnswer {
			late.later++
			if late.first.IsZero() {
				late.first = sent
			}
		}
		late.mu.Unlock()
	}
}

// descriptors says how many descriptors a VM has open, and how many of them are connections that their replica has closed.
func descriptors(v *vm) string {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.process.Process.Pid))
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d descriptors of %d, %d connections that the replica has closed", len(entries), v.machine.maxFDs, closedByReplica(v))
}

// closedByReplica counts the sockets of a VM in the state CLOSE_WAIT.
func closedByReplica(v *vm) int {
	sockets := make(map[string]bool)
	folder := fmt.Sprintf("/proc/%d/fd", v.process.Process.Pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0
	}
	for _, entry := range entries {
		target, err := os.Readlink(folder + "/" + entry.Name())
		if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const stateField, inodeField, closeWait = 3, 9, "08"
	n := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[stateField] == closeWait && sockets[fields[inodeField]] {
			n++
		}
	}
	return n
}

// burstCounts counts the answers of the clients by status; 0 is none.
type burstCounts struct {
	mu       sync.Mutex
	byStatus map[int]int
}

// call sends requests on one connection until stop is closed.
func (b *burstCounts) call(v *vm, stop <-chan struct{}) {
	t := &http.Transport{MaxIdleConnsPerHost: 1}
	defer t.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(burstPause):
		}
		a := sendBy(t, v, request{method: "GET", path: "/same/x", key: "key-kept", deadline: 2500 * time.Millisecond})
		b.mu.Lock()
		if b.byStatus == nil {
			b.byStatus = make(map[int]int)
		}
		b.byStatus[a.status]++
		b.mu.Unlock()
	}
}

// take returns the counts since the last call, as text.
func (b *burstCounts) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := fmt.Sprintf("answers by status %v", b.byStatus)
	b.byStatus = nil
	return out
}
