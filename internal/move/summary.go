package move

import (
	"sort"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// maxSummaryRoutes bounds the routes in a log line, those with the most calls of the new version first.
const maxSummaryRoutes = 8

// routeSummary is the evidence on one route as a decider logs it with a decision; counts are over the window.
type routeSummary struct {
	Route    string  `json:"route"`
	Evidence float64 `json:"evidence"`
	Calls    float64 `json:"calls"`
	Failures float64 `json:"failures"`
	// Warm calls could count as slow; cut-off calls ended too early to tell.
	Warm          float64       `json:"warm"`
	Slow          float64       `json:"slow"`
	CutOff        float64       `json:"cut_off"`
	Running       uint32        `json:"running"`
	OldestRunning time.Duration `json:"oldest_running"`
	StableCalls   float64       `json:"stable_calls"`
	StableSlow    float64       `json:"stable_slow"`
	SlowThreshold time.Duration `json:"slow_threshold"`
}

// summary returns the evidence on the routes with the most calls of the new version.
func (v view) summary(baselines map[string]*wirepb.RouteBaseline) []routeSummary {
	var list []routeSummary
	for _, name := range v.routes() {
		r := v[name]
		to, from := r.to.sum(), r.from.sum()
		if to.calls+to.cutOff == 0 && r.newRunning == 0 {
			continue
		}
		list = append(list, routeSummary{
			Route: name, Evidence: r.compareVersions(name, baselines[name]).evidence, Calls: to.calls, Failures: to.failures,
			Warm: to.warm, Slow: to.slow, CutOff: to.cutOff, Running: r.newRunning, OldestRunning: r.oldestNewRunning,
			StableCalls: from.calls, StableSlow: from.slow, SlowThreshold: baselines[name].GetSlow().AsDuration(),
		})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Calls > list[j].Calls })
	return list[:min(len(list), maxSummaryRoutes)]
}
