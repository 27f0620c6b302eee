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

// callBuckets are bounds in seconds.
var callBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Metrics is the registry of one process; labels come from settings only, never from what callers send.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	garbage  *prometheus.CounterVec
	retries  prometheus.Counter
	evidence prometheus.Counter
}

// New returns a registry with the metrics of the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_total", Help: "Calls of callers by team, route and what is known of their outcome.",
		}, []string{"team", "route", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds", Help: "Time to answer a caller, by team and class.", Buckets: callBuckets,
		}, []string{"team", "class"}),
		garbage: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_input_total", Help: "Requests and messages refused for their form, by face.",
		}, []string{"face"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Calls sent again.",
		}),
		evidence: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_sent_bytes_total", Help: "Bytes of evidence sent to deciders.",
		}),
	}
	m.registry.MustRegister(m.calls, m.seconds, m.garbage, m.retries, m.evidence,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveCall counts one call of a caller.
func (m *Metrics) ObserveCall(route *tree.Route, outcome wirepb.Outcome, took time.Duration) {
	m.calls.WithLabelValues(route.Team, route.Name, strings.ToLower(strings.TrimPrefix(outcome.String(), "OUTCOME_"))).Inc()
	m.seconds.WithLabelValues(route.Team, strings.ToLower(strings.TrimPrefix(route.Class.String(), "CLASS_"))).Observe(took.Seconds())
}

// CountInvalidInput counts one refused input of a face.
func (m *Metrics) CountInvalidInput(face string) { m.garbage.WithLabelValues(face).Inc() }

// CountRetry counts one call that was sent again.
func (m *Metrics) CountRetry() { m.retries.Inc() }

// CountEvidenceBytes counts bytes of evidence sent.
func (m *Metrics) CountEvidenceBytes(bytes int) { m.evidence.Add(float64(bytes)) }

// RegisterGauge adds a value that is read when the metrics are.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterCounter adds a count that is read when the metrics are.
func (m *Metrics) RegisterCounter(name, help string, labels map[string]string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, read))
}
