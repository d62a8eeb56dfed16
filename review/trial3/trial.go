package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// trial is one run of a case: its record, its stand-ins and its VMs.
type trial struct {
	// trouble is whether the disruption takes place.
	trouble bool
	root    string
	began   time.Time
	store   *store
	vms     []*vm
	// addresses are the addresses at which each VM sees replicas, by the real ones, where those differ.
	addresses []map[string]string
	// engineSlots is the batch of the engines; 0 is engineSlots.
	engineSlots int

	mu      sync.Mutex
	file    *os.File
	record  *bufio.Writer
	endings []func()
}

func newTrial(recordPath, root string, trouble bool) (*trial, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	t := &trial{trouble: trouble, root: root, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	t.store = newStore()
	t.logf("disruption: %v", trouble)
	return t, nil
}

// now returns the time since the trial began.
func (t *trial) now() time.Duration { return time.Since(t.began) }

// notef writes a line to the record.
func (t *trial) notef(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f s  %s\n", t.now().Seconds(), fmt.Sprintf(format, args...))
}

// logf writes a line to the record and to standard output.
func (t *trial) logf(format string, args ...any) {
	t.notef(format, args...)
	fmt.Printf("%8.3f s  %s\n", t.now().Seconds(), fmt.Sprintf(format, args...))
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.record.Flush()
}

// atEnd has f called when the trial ends.
func (t *trial) atEnd(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings = append(t.endings, f)
}

// end stops the stand-ins and all processes that the trial started.
func (t *trial) end() {
	t.mu.Lock()
	endings := t.endings
	t.endings = nil
	t.mu.Unlock()
	for _, f := range endings {
		f()
	}
	for _, v := range t.vms {
		v.kill()
	}
}

// listenOn opens a listener on a free port of a loopback address.
func listenOn(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }

// sleepUntil sleeps up to a time since the trial began.
func (t *trial) sleepUntil(at time.Duration) { time.Sleep(at - t.now()) }

// share returns n of total as text.
func share(n, total int) string {
	if total == 0 {
		return "0 of 0"
	}
	return strings.TrimSpace(fmt.Sprintf("%d of %d", n, total))
}
