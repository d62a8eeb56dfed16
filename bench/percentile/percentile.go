// Package percentile holds selected percentiles of a distribution of durations.
package percentile

import "github.com/HdrHistogram/hdrhistogram-go"

const microsPerMilli = 1000

// Percentile holds percentiles of durations, in milliseconds.
type Percentile struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	// Curve holds the values of the percentiles 0, 1, ..., 100.
	Curve []float64 `json:"curve,omitempty"`
}

// FromHistogram returns the percentiles of a histogram whose values are in microseconds.
func FromHistogram(h *hdrhistogram.Histogram) Percentile {
	valueAt := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / microsPerMilli }
	return Percentile{Count: h.TotalCount(), P50: valueAt(50), P95: valueAt(95), P99: valueAt(99), Max: float64(h.Max()) / microsPerMilli}
}

// WithCurve returns a copy of p whose Curve is computed from h, whose values are in microseconds.
func (p Percentile) WithCurve(h *hdrhistogram.Histogram) Percentile {
	p.Curve = nil
	for percent := range 101 {
		p.Curve = append(p.Curve, float64(h.ValueAtPercentile(float64(percent)))/microsPerMilli)
	}
	return p
}
