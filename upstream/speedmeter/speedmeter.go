// Package speedmeter measures how long work takes at one engine, from the factors that its responses state, as a step that changes rarely.
//
// Steps are published to other VMs and weigh which engines are home to an adapter, so that each change moves adapters.
package speedmeter

import (
	"math"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// smoothingFactor is the weight of the latest figure in the mean, once there are 1/smoothingFactor of them. It is small because
	// short slow phases must not change the step.
	smoothingFactor = 0.005
	// minFigures is the number of figures from which the mean is used.
	minFigures = 20
	// hysteresis is how far the mean must be from the present step, in steps, for a change.
	hysteresis = 0.75
)

// SpeedMeter measures one engine. Its zero value is ready to use, and it is safe for concurrent use.
type SpeedMeter struct {
	mu      sync.Mutex
	step    fuchsiaspoke.WorkStep
	mean    float64
	figures int
}

// Resume sets the step that was published for the engine last, from which the measurement goes on.
func (m *SpeedMeter) Resume(step fuchsiaspoke.WorkStep) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step = step
}

// Observe records a stated factor; 0 is none. It reports the step, and whether this figure has changed it.
func (m *SpeedMeter) Observe(factor float64) (step fuchsiaspoke.WorkStep, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if factor <= 0 {
		return m.step, false
	}
	m.figures++
	m.mean += max(smoothingFactor, 1/float64(m.figures)) * (factor - m.mean)
	if m.figures < minFigures {
		return m.step, false
	}
	exact := fuchsiaspoke.ExactWorkStep(m.mean)
	if math.Abs(exact-float64(m.step)) < hysteresis {
		return m.step, false
	}
	m.step = fuchsiaspoke.WorkStep(math.Round(exact))
	return m.step, true
}

// Step returns the measured step.
func (m *SpeedMeter) Step() fuchsiaspoke.WorkStep {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step
}
