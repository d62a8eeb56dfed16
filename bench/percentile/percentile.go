// Package percentile holds the usual percentiles of a distribution of times.
package percentile

import "github.com/HdrHistogram/hdrhistogram-go"

const microsPerMilli = 1000

// Percentile holds percentiles in milliseconds.
type Percentile struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	// Curve is the values at 0, 1, ... 100 percent.
	Curve []float64 `json:"curve,omitempty"`
}

// Of returns the percentiles of a histogram that counts microseconds.
func Of(h *hdrhistogram.Histogram) Percentile {
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / microsPerMilli }
	return Percentile{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

// WithCurve returns a copy that has the curve of a histogram.
func (p Percentile) WithCurve(h *hdrhistogram.Histogram) Percentile {
	p.Curve = nil
	for percent := range 101 {
		p.Curve = append(p.Curve, float64(h.ValueAtPercentile(float64(percent)))/microsPerMilli)
	}
	return p
}
