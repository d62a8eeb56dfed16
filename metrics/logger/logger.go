// Package logger writes structured log lines asynchronously; it limits their rate and never blocks the caller.
package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacityLines is the capacity of the write queue; new lines are dropped while it is full.
	queueCapacityLines = 4096
	// maxLinesPerSecond limits the log rate of one process; a VM at its share of the target load writes a third of it.
	maxLinesPerSecond = 600
)

// Logger writes JSON lines to W from a dedicated goroutine.
type Logger struct {
	W io.Writer
	// Name is the value of the key vm in each line.
	Name string

	once          sync.Once
	log           *slog.Logger
	queue         chan []byte
	dropped       atomic.Int64
	mu            sync.Mutex
	unixSecond    int64
	linesInSecond int
}

// Log queues one line with alternating keys and values. The line is dropped and counted if the rate limit is exceeded or
// the queue is full.
func (l *Logger) Log(event string, keysAndValues ...any) {
	l.once.Do(l.initialize)
	if !l.allowLine(time.Now().Unix()) {
		l.dropped.Add(1)
		return
	}
	l.log.Info(event, keysAndValues...)
}

// Dropped returns the number of lines dropped by the rate limit, a full queue or a failed write. Lines lost in the final
// flush are not counted.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until the context is cancelled and then flushes the queue, up to the first failed write. The channel
// receives the context's error after the flush.
func (l *Logger) Run(ctx context.Context) <-chan error {
	l.once.Do(l.initialize)
	done := make(chan error, 1)
	go func() { done <- l.run(ctx) }()
	return done
}

func (l *Logger) run(ctx context.Context) error {
	reported := int64(0)
	for {
		select {
		case line := <-l.queue:
			if _, err := l.W.Write(line); err != nil {
				l.dropped.Add(1)
			}
		case <-ctx.Done():
			l.drain()
			return ctx.Err()
		}
		if n := l.dropped.Load(); n > reported && len(l.queue) == 0 {
			reported = n
			l.Log("log lines dropped", "total", n)
		}
	}
}

func (l *Logger) drain() {
	for {
		select {
		case line := <-l.queue:
			if _, err := l.W.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}

func (l *Logger) initialize() {
	l.queue = make(chan []byte, queueCapacityLines)
	l.log = slog.New(slog.NewJSONHandler(l, nil)).With("vm", l.Name)
}

// Write implements io.Writer for the slog handler: it queues a copy of p, or drops and counts it if the queue is full.
func (l *Logger) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.queue <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

func (l *Logger) allowLine(unixSecond int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unixSecond != l.unixSecond {
		l.unixSecond, l.linesInSecond = unixSecond, 0
	}
	l.linesInSecond++
	return l.linesInSecond <= maxLinesPerSecond
}
