package move

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	minBaselineCalls = 20
	slowQuantile     = 0.95
	cutOffQuantile   = 0.8
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

// usualSlowRate returns the rate of slow calls of the stable version in a usual second, the median weighted by calls, or the last known one
// once there are too few calls. The rate over all calls would go on showing a disturbance that is over, and would hide that the new
// version is slow.
func (r *routeView) usualSlowRate(known *wirepb.RouteBaseline) float64 {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return known.GetSlowRate()
	}
	seconds := slices.DeleteFunc(slices.Collect(maps.Values(r.from)), func(c counts) bool { return c.warm == 0 })
	slices.SortFunc(seconds, func(a, b counts) int { return cmp.Compare(a.slowRate(), b.slowRate()) })
	below := 0.0
	for _, c := range seconds {
		if below += c.warm; below >= sum.warm/2 {
			return c.slowRate()
		}
	}
	return 0
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
		ShedRate: sum.shedRate(), SlowRate: r.usualSlowRate(nil), Slow: known.GetSlow(), SlowIfCutOff: known.GetSlowIfCutOff(),
		ColdStart: longerDuration(known.GetColdStart(), r.coldStart),
	}
	// The thresholds then stay the same for the whole move, so that a slowdown of both versions is counted for both.
	if (baseline.Slow == nil || opening) && len(r.samplesMicros) >= minBaselineCalls {
		slow, slowIfCutOff := slowThresholds(r.samplesMicros)
		baseline.Slow, baseline.SlowIfCutOff = durationpb.New(slow), durationpb.New(slowIfCutOff)
	}
	return baseline
}

// slowThresholds returns the latencies above which a complete call and one that was cut off count as slow, from latencies of the
// stable version. A complete call must take several times as long as usual, and longer than nearly all. One that was cut off could
// not show more than the time that it had: it must have taken longer than most, so that the calls of a good version that are cut
// off are too few for a rejection.
func slowThresholds(samples []uint32) (slow, slowIfCutOff time.Duration) {
	sorted := slices.Sorted(slices.Values(samples))
	quantile := func(q float64) time.Duration {
		return time.Duration(sorted[int(q*float64(len(sorted)-1))]) * time.Microsecond
	}
	return max(slowFactor*quantile(medianQuantile), quantile(slowQuantile)+minSlowMargin), quantile(cutOffQuantile)
}
