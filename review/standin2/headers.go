package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// headersConnections is the number of connections on which a request with many header fields arrives, and headersDialers how many are opened at
	// once.
	headersConnections = 1460
	headersDialers     = 40
	// headersFields is the number of fields of such a request. Their names and values have less than maxHeaderBytes together.
	headersFields = 2700
	// headersEnds is how often a process has to end by itself, and headersTime the time in which that is tried.
	headersEnds = 3
	headersTime = 45 * time.Second
	// headersStay is how long the clients of one wave wait with their bodies.
	headersStay = 8 * time.Second
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 50 * time.Millisecond
)

// playHeaders has clients send the heads of requests with many short fields and wait with their bodies, and checks that no process of a VM exceeds
// the memory of its machine, at which the platform kills it.
func playHeaders(e *environment, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if _, err := s.put("op/config", plainConfiguration()); err != nil {
		return false, err
	}
	for n := range 3 {
		if _, err := startReplica(s, fmt.Sprint("i-desk-", n), "desk", false, 5*time.Millisecond, 6); err != nil {
			return false, err
		}
	}
	vms, err := e.startVMs(2, s.address, siteMachine, siteBounds)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	watches := make([]*memoryWatch, len(vms))
	var all sync.WaitGroup
	for n, v := range vms {
		w := &memoryWatch{vm: v}
		watches[n] = w
		all.Go(func() { e.watchMemory(w, time.Now().Add(headersTime)) })
		if trouble {
			all.Go(func() { e.sendHeads(w, time.Now().Add(headersTime)) })
		}
	}
	all.Wait()
	broken := true
	for _, w := range watches {
		e.record("%s was killed %d times for its memory; it held up to %d MB, its machine has %d MB", w.vm.ip, w.ends, w.most, siteMachine.memoryMB)
		broken = broken && w.ends >= headersEnds
	}
	return broken, nil
}

// memoryWatch is the platform's watch of the memory of a VM's process.
type memoryWatch struct {
	vm *vm

	mu sync.Mutex
	// ends is how often the process was killed, and most what it held at most, in units of 2^20 bytes.
	ends, most int
}

func (w *memoryWatch) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends >= headersEnds
}

// watchMemory kills a VM's process when it exceeds the memory of its machine, and starts it again, until a time or headersEnds ends.
func (e *environment) watchMemory(w *memoryWatch, end time.Time) {
	for ; time.Now().Before(end) && !w.over(); time.Sleep(memoryPoll) {
		now, err := residentMB(w.vm)
		if err != nil {
			e.record("the memory of %s can't be read: %v", w.vm.ip, err)
			return
		}
		w.mu.Lock()
		w.most = max(w.most, now)
		w.mu.Unlock()
		if now <= w.vm.machine.memoryMB {
			continue
		}
		e.record("%s holds %d MB and is killed", w.vm.ip, now)
		w.mu.Lock()
		w.ends++
		w.mu.Unlock()
		_ = syscall.Kill(w.vm.process.Process.Pid, syscall.SIGKILL)
		_ = w.vm.process.Wait()
		e.forget(w.vm.process)
		if err := e.restart(w.vm); err != nil {
			e.record("%s could not be started again: %v", w.vm.ip, err)
			return
		}
	}
}

// residentMB returns the memory that a VM's process holds, in units of 2^20 bytes.
func residentMB(v *vm) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident memory", v.process.Process.Pid)
}

// sendHeads has waves of clients come to a VM while it is ready, until a time or headersEnds ends.
func (e *environment) sendHeads(w *memoryWatch, end time.Time) {
	head := manyFields()
	for time.Now().Before(end) && !w.over() {
		if err := awaitReady(w.vm); err != nil {
			e.record("%v", err)
			return
		}
		before := w.endsNow()
		held := holdHeads(w.vm, head)
		e.record("%d clients have sent %s the head of a request with %d fields, %d bytes on the wire", len(held), w.vm.ip, headersFields, len(head))
		for began := time.Now(); time.Since(began) < headersStay && w.endsNow() == before; {
			time.Sleep(memoryPoll)
		}
		for _, c := range held {
			c.Close()
		}
	}
}

func (w *memoryWatch) endsNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends
}

// holdHeads opens connections and sends the head of a request on each.
func holdHeads(v *vm, head string) []net.Conn {
	var mu sync.Mutex
	var held []net.Conn
	next := make(chan struct{})
	var dialers sync.WaitGroup
	for range headersDialers {
		dialers.Go(func() {
			for range next {
				c, err := net.DialTimeout("tcp", v.front, time.Second)
				if err != nil {
					continue
				}
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = c.Write([]byte(head))
				mu.Lock()
				held = append(held, c)
				mu.Unlock()
			}
		})
	}
	for range headersConnections {
		next <- struct{}{}
	}
	close(next)
	dialers.Wait()
	return held
}

// manyFields returns the head of a request with a body and many fields of different names, each of three bytes, without values.
func manyFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const n = len(letters)
	var b strings.Builder
	b.WriteString("POST /same/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 60000\r\nContent-Length: 10\r\n")
	for i := range headersFields {
		b.WriteString(string([]byte{letters[i/(n*n)], letters[i/n%n], letters[i%n]}) + ":\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}
