package clock_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
)

var seed = flag.Int64("seed", 1, "seed of the random number generator")

type reading struct {
	wall    int64
	logical uint32
}

func (r reading) after(other reading) bool {
	return r.wall > other.wall || r.wall == other.wall && r.logical > other.logical
}

// TestReceiverReadingIsAfterSenderReadingWhenWallClocksJump sends messages between clocks whose wall clocks jump
// forwards and backwards within MaxAhead.
func TestReceiverReadingIsAfterSenderReadingWhenWallClocksJump(t *testing.T) {
	random := rand.New(rand.NewPCG(uint64(*seed), 0))
	walls := make([]int64, 4)
	clocks := make([]*clock.Clock, len(walls))
	previous := make([]reading, len(walls))
	for i := range clocks {
		clocks[i] = &clock.Clock{Wall: func() int64 { return walls[i] }}
	}
	for range 100_000 {
		from, to := random.IntN(len(clocks)), random.IntN(len(clocks))
		walls[from] = random.Int64N(50)
		var sent reading
		sent.wall, sent.logical = clocks[from].Now()
		if !sent.after(previous[from]) {
			t.Fatalf("seed %d: reading %v is not after the previous reading %v", *seed, sent, previous[from])
		}
		previous[from] = sent
		if !clocks[to].Observe(sent.wall, sent.logical) {
			t.Fatalf("seed %d: Observe ignored the reading %v", *seed, sent)
		}
		var received reading
		received.wall, received.logical = clocks[to].Now()
		if !received.after(sent) || from != to && !received.after(previous[to]) {
			t.Fatalf("seed %d: reading %v is not after the message's %v and the previous reading %v", *seed, received, sent, previous[to])
		}
		previous[to] = received
	}
}

func TestObserveIgnoresReadingBeyondMaxAhead(t *testing.T) {
	c := clock.Clock{Wall: func() int64 { return 100 }, MaxAhead: time.Microsecond}
	if c.Observe(100+1001, 0) {
		t.Error("Observe accepted a reading beyond MaxAhead")
	}
	if wall, _ := c.Now(); wall != 100 {
		t.Errorf("wall = %d, want 100", wall)
	}
	if !c.Observe(100+1000, 1<<32-1) {
		t.Error("Observe ignored a reading at MaxAhead")
	}
	if wall, logical := c.Now(); wall != 1101 || logical != 1 {
		t.Errorf("reading = %d %d, want 1101 1", wall, logical)
	}
}
