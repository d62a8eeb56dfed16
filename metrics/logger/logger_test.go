package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/logger"
)

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

func TestLogDropsLinesWithoutBlockingWhenWriterBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	l := &logger.Logger{W: out, Name: "vm"}
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Run(ctx)
	start := time.Now()
	for range 20_000 {
		l.Log("event", "n", 1)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("logging 20,000 lines to a blocked writer took %v, want at most 5 s", took)
	}
	if l.Dropped() == 0 {
		t.Fatal("no lines dropped while the writer was blocked")
	}
	close(out.unblock)
	cancel()
	if err := <-done; err != context.Canceled {
		t.Error(err)
	}
}

func TestRunWritesJSONLinesWithVMName(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	l := &logger.Logger{W: writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}), Name: "vm_1"}
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Run(ctx)
	l.Log("request refused", "request", "id", "status", 429)
	cancel()
	if err := <-done; err != context.Canceled {
		t.Error(err)
	}
	var line map[string]any
	if err := json.Unmarshal([]byte(strings.TrimSpace(out.String())), &line); err != nil {
		t.Fatalf("%v: %q", err, out.String())
	}
	if line["vm"] != "vm_1" || line["msg"] != "request refused" || line["request"] != "id" || line["status"] != 429.0 {
		t.Fatalf("unexpected log line: %v", line)
	}
}

type writerFunc func(p []byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
