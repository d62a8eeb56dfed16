package clock_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

type reading struct {
	wall    int64
	logical uint32
}

func (r reading) above(other reading) bool {
	return r.wall > other.wall || r.wall == other.wall && r.logical > other.logical
}

// TestCausesComeBeforeEffects sends messages between clocks whose wall clocks jump both ways within the bound.
func TestCausesComeBeforeEffects(t *testing.T) {
	random := rand.New(rand.NewPCG(uint64(*seed), 0))
	walls := make([]int64, 4)
	clocks := make([]*clock.Clock, len(walls))
	last := make([]reading, len(walls))
	for i := range clocks {
		clocks[i] = &clock.Clock{Wall: func() int64 { return walls[i] }}
	}
	for range 100_000 {
		from, to := random.IntN(len(clocks)), random.IntN(len(clocks))
		walls[from] = random.Int64N(50)
		var sent reading
		sent.wall, sent.logical = clocks[from].Now()
		if !sent.above(last[from]) {
			t.Fatalf("seed %d: reading %v after %v", *seed, sent, last[from])
		}
		last[from] = sent
		if !clocks[to].Observe(sent.wall, sent.logical) {
			t.Fatalf("seed %d: %v was ignored", *seed, sent)
		}
		var seen reading
		seen.wall, seen.logical = clocks[to].Now()
		if !seen.above(sent) || from != to && !seen.above(last[to]) {
			t.Fatalf("seed %d: reading %v after message %v and own %v", *seed, seen, sent, last[to])
		}
		last[to] = seen
	}
}

func TestIgnoresAPeerTooFarAhead(t *testing.T) {
	c := clock.Clock{Wall: func() int64 { return 100 }, MaxAhead: time.Microsecond}
	if c.Observe(100+1001, 0) {
		t.Error("a reading beyond MaxAhead was taken")
	}
	if wall, _ := c.Now(); wall != 100 {
		t.Errorf("wall = %d, want 100", wall)
	}
	if !c.Observe(100+1000, 1<<32-1) {
		t.Error("a reading at MaxAhead was ignored")
	}
	if wall, logical := c.Now(); wall != 1101 || logical != 1 {
		t.Errorf("reading = %d %d, want 1101 1", wall, logical)
	}
}
