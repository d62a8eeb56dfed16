// Package meter records operational metrics with OpenTelemetry and exposes them to Prometheus.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/usagecounter"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const (
	scopeName      = "github.com/fuchsiaspoke/fuchsiaspoke/metrics/meter"
	accountLabel   = attribute.Key("client_account")
	upstreamLabel  = attribute.Key("upstream")
	codeLabel      = attribute.Key("code")
	invariantLabel = attribute.Key("invariant")
	framingLabel   = attribute.Key("framing")
	endLabel       = attribute.Key("end")
	eventLabel     = attribute.Key("event")
	outcomeLabel   = attribute.Key("outcome")
)

var (
	secondsBucketBounds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}
	ratioBucketBounds   = []float64{.1, .2, .3, .4, .5, .6, .7, .8, .9, 1}
)

// Meter holds the metrics of one process. Its zero value is ready for use, and its methods are safe for concurrent use.
type Meter struct {
	initOnce               sync.Once
	err                    error
	registry               *prometheus.Registry
	loadStallSeconds       metric.Float64Histogram
	batchOccupancyRatio    metric.Float64Histogram
	firstChunkSeconds      metric.Float64Histogram
	refusals               metric.Int64Counter
	duplicateCalls         metric.Int64Counter
	unknownOutcomes        metric.Int64Counter
	violations             metric.Int64Counter
	requestSeconds         metric.Float64Histogram
	firstEventSeconds      metric.Float64Histogram
	predictionErrorSeconds metric.Float64Histogram
	bodyEnds               metric.Int64Counter
	events                 metric.Int64Counter
	uses                   usagecounter.UsageCounter
}

// LoadStall records how long a request waited for its adapter to be loaded on an upstream.
func (m *Meter) LoadStall(upstream string, wait time.Duration) {
	m.initOnce.Do(m.initialize)
	m.loadStallSeconds.Record(context.Background(), wait.Seconds(), metric.WithAttributes(upstreamLabel.String(upstream)))
}

// BatchOccupancy records the running requests of an engine as a fraction of its batch capacity; it ignores a capacity
// of 0 or less.
func (m *Meter) BatchOccupancy(upstream string, running, capacity int) {
	if capacity <= 0 {
		return
	}
	m.initOnce.Do(m.initialize)
	ratio := float64(running) / float64(capacity)
	m.batchOccupancyRatio.Record(context.Background(), ratio, metric.WithAttributes(upstreamLabel.String(upstream)))
}

// Wait records the time from the admission of a client account's generation to its first response chunk.
func (m *Meter) Wait(account string, wait time.Duration) {
	m.initOnce.Do(m.initialize)
	m.firstChunkSeconds.Record(context.Background(), wait.Seconds(), metric.WithAttributes(accountLabel.String(account)))
}

// Refusal counts a refused request by its code; the client account is empty if it is unknown.
func (m *Meter) Refusal(code fuchsiaspoke.RefusalCode, account string) {
	m.initOnce.Do(m.initialize)
	labels := metric.WithAttributes(codeLabel.String(string(code)), accountLabel.String(account))
	m.refusals.Add(context.Background(), 1, labels)
}

// Duplicate counts a repeated call that was answered with its recorded reply instead of being executed again.
func (m *Meter) Duplicate(account string) {
	m.initOnce.Do(m.initialize)
	m.duplicateCalls.Add(context.Background(), 1, metric.WithAttributes(accountLabel.String(account)))
}

// UnknownOutcome counts a call that may or may not have been executed.
func (m *Meter) UnknownOutcome(account string) {
	m.initOnce.Do(m.initialize)
	m.unknownOutcomes.Add(context.Background(), 1, metric.WithAttributes(accountLabel.String(account)))
}

// InvariantViolation counts a violation of the named invariant.
func (m *Meter) InvariantViolation(name string) {
	m.initOnce.Do(m.initialize)
	m.violations.Add(context.Background(), 1, metric.WithAttributes(invariantLabel.String(name)))
}

// Outcome records the time from the arrival of a request to the end of its response, by outcome.
func (m *Meter) Outcome(outcome string, took time.Duration) {
	m.initOnce.Do(m.initialize)
	m.requestSeconds.Record(context.Background(), took.Seconds(), metric.WithAttributes(codeLabel.String(outcome)))
}

// FirstEvent records the actual time from sending a generation to its first event, and the absolute difference to the
// predicted time.
func (m *Meter) FirstEvent(predicted, actual time.Duration) {
	m.initOnce.Do(m.initialize)
	m.firstEventSeconds.Record(context.Background(), actual.Seconds())
	m.predictionErrorSeconds.Record(context.Background(), (actual - predicted).Abs().Seconds())
}

// BodyEnd counts the body of a replica's response, by its framing and by how it ended.
func (m *Meter) BodyEnd(framing fuchsiaspoke.Framing, end fuchsiaspoke.BodyEnd) {
	m.initOnce.Do(m.initialize)
	labels := metric.WithAttributes(framingLabel.String(string(framing)), endLabel.String(string(end)))
	m.bodyEnds.Add(context.Background(), 1, labels)
}

// Event counts an event that concerns the whole fleet or one replica, by its name.
func (m *Meter) Event(name string) {
	m.initOnce.Do(m.initialize)
	m.events.Add(context.Background(), 1, metric.WithAttributes(eventLabel.String(name)))
}

// Use counts a request for its client account, if that is one of the largest, or else for all others together.
func (m *Meter) Use(use fuchsiaspoke.AccountUse) { m.uses.Record(use) }

// Handler returns the HTTP handler that Prometheus scrapes; it answers 500 if a metric could not be set up.
func (m *Meter) Handler() http.Handler {
	m.initOnce.Do(m.initialize)
	if m.err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, m.err.Error(), http.StatusInternalServerError)
		})
	}
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// initialize creates the exporter and the instruments. Errors are reported by Handler only, so that a failed metric does not
// fail the operation it measures.
func (m *Meter) initialize() {
	m.registry = prometheus.NewRegistry()
	reader, err := exporter.New(
		exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo(),
	)
	m.keepFirstError(err)
	var options []sdk.Option
	if err == nil {
		options = append(options, sdk.WithReader(reader))
	}
	m.createInstruments(sdk.NewMeterProvider(options...).Meter(scopeName))
}

func (m *Meter) createInstruments(otelMeter metric.Meter) {
	m.loadStallSeconds = m.histogram(otelMeter, "fuchsiaspoke.load_stall", "s", "Wait of requests for the load of an adapter.", secondsBucketBounds)
	m.batchOccupancyRatio = m.histogram(otelMeter, "fuchsiaspoke.batch_occupancy", "1", "Running requests by places for them.", ratioBucketBounds)
	m.firstChunkSeconds = m.histogram(otelMeter, "fuchsiaspoke.wait", "s", "Wait of requests from admission to sending.", secondsBucketBounds)
	m.requestSeconds = m.histogram(otelMeter, "fuchsiaspoke.request", "s", "Time to the final answer by outcome.", secondsBucketBounds)
	m.firstEventSeconds = m.histogram(otelMeter, "fuchsiaspoke.first_event", "s", "Time from sending to the first event.", secondsBucketBounds)
	m.predictionErrorSeconds = m.histogram(otelMeter, "fuchsiaspoke.prediction_error", "s", "Difference of predicted and real time to the first event.", secondsBucketBounds)
	m.refusals = m.counter(otelMeter, "fuchsiaspoke.refusals", "Refusals by code and client account.")
	m.duplicateCalls = m.counter(otelMeter, "fuchsiaspoke.duplicates", "Repeated calls that were not run again.")
	m.unknownOutcomes = m.counter(otelMeter, "fuchsiaspoke.unknown_outcomes", "Calls of which nobody knows whether they ran.")
	m.bodyEnds = m.counter(otelMeter, "fuchsiaspoke.response_bodies", "Bodies of replicas' responses by framing and by how they ended.")
	m.events = m.counter(otelMeter, "fuchsiaspoke.events", "Events of the store and of replicas by name.")
	m.observeUses(otelMeter)
	m.violations = m.counter(otelMeter, "fuchsiaspoke.invariant_violations", "Violations of invariants.")
}

// observeUses exposes the counts by client account, which are read at each scrape.
func (m *Meter) observeUses(otelMeter metric.Meter) {
	requests, err := otelMeter.Int64ObservableCounter("fuchsiaspoke.account_requests",
		metric.WithDescription("Requests by client account, outcome and cause of refusal; the largest accounts, and all others together."))
	m.keepFirstError(err)
	tokens, err := otelMeter.Float64ObservableCounter("fuchsiaspoke.account_tokens",
		metric.WithDescription("Tokens charged for these requests."))
	m.keepFirstError(err)
	if m.err != nil {
		return
	}
	_, err = otelMeter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range m.uses.Counts() {
			labels := metric.WithAttributes(
				accountLabel.String(c.Account), outcomeLabel.String(string(c.Outcome)), codeLabel.String(string(c.Cause)),
			)
			o.ObserveInt64(requests, c.Requests, labels)
			o.ObserveFloat64(tokens, c.Tokens, labels)
		}
		return nil
	}, requests, tokens)
	m.keepFirstError(err)
}

func (m *Meter) histogram(otelMeter metric.Meter, name, unit, help string, bounds []float64) metric.Float64Histogram {
	h, err := otelMeter.Float64Histogram(name, metric.WithUnit(unit), metric.WithDescription(help), metric.WithExplicitBucketBoundaries(bounds...))
	m.keepFirstError(err)
	return h
}

func (m *Meter) counter(otelMeter metric.Meter, name, help string) metric.Int64Counter {
	c, err := otelMeter.Int64Counter(name, metric.WithDescription(help))
	m.keepFirstError(err)
	return c
}

func (m *Meter) keepFirstError(err error) {
	if m.err == nil {
		m.err = errors.Wrap(err, "set up metrics")
	}
}
