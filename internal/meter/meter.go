package meter

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const namespace = "turmericdale"

// callSecondsBuckets are the upper bounds of the histogram's buckets.
var callSecondsBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Metrics holds the metrics of one process; label values come from settings or from code, never from what callers send.
type Metrics struct {
	registry      *prometheus.Registry
	calls         *prometheus.CounterVec
	callSeconds   *prometheus.HistogramVec
	invalidInputs *prometheus.CounterVec
	retries       prometheus.Counter
	evidenceBytes prometheus.Counter
	// platformSeconds and changeAges hold the times of operations on the platform and from a change to its coming into force.
	platformSeconds *prometheus.HistogramVec
	changeAges      prometheus.Histogram
}

// New registers the metrics of calls, retries and evidence, and those of the Go runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_total", Help: "Calls of callers by team, route and what is known of their outcome.",
		}, []string{"team", "route", "outcome"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds", Help: "Time to answer a caller, by team and class.", Buckets: callSecondsBuckets,
		}, []string{"team", "class"}),
		invalidInputs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_input_total", Help: "Requests and messages refused for their form, by face.",
		}, []string{"face"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Calls sent again.",
		}),
		evidenceBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_sent_bytes_total", Help: "Bytes of evidence sent to deciders.",
		}),
	}
	m.platformSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "platform_seconds", Help: "Time of an operation on the platform, by kind.", Buckets: callSecondsBuckets,
	}, []string{"operation"})
	m.changeAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "change_age_seconds", Help: "Time from a change to its coming into force on this node.", Buckets: callSecondsBuckets,
	})
	m.registry.MustRegister(m.calls, m.callSeconds, m.invalidInputs, m.retries, m.evidenceBytes, m.platformSeconds, m.changeAges,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveCall counts a caller's call and records the time to answer it.
func (m *Metrics) ObserveCall(route *tree.Route, outcome wirepb.Outcome, latency time.Duration) {
	m.calls.WithLabelValues(route.Team, route.Name, strings.ToLower(strings.TrimPrefix(outcome.String(), "OUTCOME_"))).Inc()
	m.callSeconds.WithLabelValues(route.Team, strings.ToLower(strings.TrimPrefix(route.Class.String(), "CLASS_"))).Observe(latency.Seconds())
}

// CountInvalidInput counts an invalid input by its face, the interface that received it.
func (m *Metrics) CountInvalidInput(face string) { m.invalidInputs.WithLabelValues(face).Inc() }

// ObservePlatform records the time of an operation on the platform.
func (m *Metrics) ObservePlatform(operation string, took time.Duration) {
	m.platformSeconds.WithLabelValues(operation).Observe(took.Seconds())
}

// ObserveChangeAge records the time from a change to its coming into force.
func (m *Metrics) ObserveChangeAge(age time.Duration) { m.changeAges.Observe(age.Seconds()) }

// CountRetry counts a call that was sent again.
func (m *Metrics) CountRetry() { m.retries.Inc() }

// CountEvidenceBytes counts bytes of evidence sent.
func (m *Metrics) CountEvidenceBytes(bytes int) { m.evidenceBytes.Add(float64(bytes)) }

// RegisterGauge adds a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterCounter adds a counter whose value is read at each scrape.
func (m *Metrics) RegisterCounter(name, help string, labels map[string]string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}
