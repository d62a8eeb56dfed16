package fuchsiaspoke

import "math"

// WorkStep is how long work takes at an engine, in coarse steps: each is 2^(1/4) times as long as the one before. 0 is the usual time, or
// unknown.
type WorkStep int

// stepsPerDoubling is the number of steps after which work takes twice as long.
const stepsPerDoubling = 4

// Factor returns how many times the usual time work takes. Steps beyond those of possible factors count as the outermost one.
func (s WorkStep) Factor() float64 {
	return min(max(math.Exp2(float64(s)/stepsPerDoubling), minWorkFactor), maxWorkFactor)
}

// ExactWorkStep returns the step of a factor above 0, with its fraction.
func ExactWorkStep(factor float64) float64 { return math.Log2(factor) * stepsPerDoubling }
