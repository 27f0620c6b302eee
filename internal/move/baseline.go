package move

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	minBaselineCalls = 20
	slowQuantile     = 0.95
	medianQuantile   = 0.5
	slowFactor       = 2
	minSlowMargin    = 5 * time.Millisecond
)

// baselineCounts returns the stable version's counts in the window, or the last known baseline once it has too few calls.
func (r *routeView) baselineCounts(known *wirepb.RouteBaseline) counts {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return countsFromBaseline(known)
	}
	return sum
}

func countsFromBaseline(known *wirepb.RouteBaseline) counts {
	calls := float64(known.GetCalls())
	sheds := calls * known.GetShedRate()
	return counts{
		calls: calls, sheds: sheds, failures: (calls - sheds) * known.GetFailureRate(),
		warm: calls, slow: calls * known.GetSlowRate(),
	}
}

// baselines returns the stable version's baseline of each route. The thresholds for slow calls follow the samples of all nodes until
// the new version gets calls, and then stay the same: upstreams differ in speed, so that those of the first nodes to report say little.
func (v view) baselines(record *wirepb.MoveRecord, known map[string]*wirepb.RouteBaseline) []*wirepb.RouteBaseline {
	list := make([]*wirepb.RouteBaseline, 0, len(v))
	for _, name := range v.routes() {
		list = append(list, v[name].baseline(name, known[name], record.GetSharePermille() == 0))
	}
	return list
}

func (r *routeView) baseline(name string, known *wirepb.RouteBaseline, opening bool) *wirepb.RouteBaseline {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return known
	}
	baseline := &wirepb.RouteBaseline{
		Route: name, Calls: uint32(sum.calls), FailureRate: sum.failureRate(),
		ShedRate: sum.shedRate(), SlowRate: sum.slowRate(), Slow: known.GetSlow(),
		ColdStart: longerDuration(known.GetColdStart(), r.coldStart),
	}
	// The thresholds then stay the same for the whole move, so that a slowdown of both versions is counted for both.
	if (baseline.Slow == nil || opening) && len(r.samplesMicros) >= minBaselineCalls {
		baseline.Slow = durationpb.New(slowThreshold(r.samplesMicros))
	}
	return baseline
}

// slowThreshold returns the latency above which a call counts as slow, from latencies of the stable version: it must take several
// times as long as usual, and longer than nearly all.
func slowThreshold(samples []uint32) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	quantile := func(q float64) time.Duration {
		return time.Duration(sorted[int(q*float64(len(sorted)-1))]) * time.Microsecond
	}
	return max(slowFactor*quantile(medianQuantile), quantile(slowQuantile)+minSlowMargin)
}
