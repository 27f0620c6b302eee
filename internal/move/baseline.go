package move

import (
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	minBaselineCalls = 20
	slowPercentile   = 0.95
	slowFactor       = 2
	slowFloor        = 5 * time.Millisecond
)

// overall returns the old version's counts, or what was known of it before it lost its calls.
func (r *routeView) overall(known *wirepb.RouteBaseline) counts {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return countsOf(known)
	}
	return sum
}

func countsOf(known *wirepb.RouteBaseline) counts {
	calls := float64(known.GetCalls())
	sheds := calls * known.GetShedRate()
	return counts{
		calls: calls, sheds: sheds, failures: (calls - sheds) * known.GetFailureRate(),
		warm: calls, slow: calls * known.GetSlowRate(),
	}
}

// baselines returns what the old version shows on each route.
func (v view) baselines(known map[string]*wirepb.RouteBaseline) []*wirepb.RouteBaseline {
	list := make([]*wirepb.RouteBaseline, 0, len(v))
	for _, name := range v.routes() {
		list = append(list, v[name].baseline(name, known[name]))
	}
	return list
}

func (r *routeView) baseline(name string, known *wirepb.RouteBaseline) *wirepb.RouteBaseline {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return known
	}
	baseline := &wirepb.RouteBaseline{
		Route: name, Calls: uint32(sum.calls), FailureRate: sum.failureRate(),
		ShedRate: sum.shedRate(), SlowRate: sum.slowRate(), Slow: known.GetSlow(),
		ColdStart: longer(known.GetColdStart(), r.coldStart),
	}
	// The threshold stays for the whole move, so that a slowdown of both versions shows in both.
	if baseline.Slow == nil && len(r.samples) >= minBaselineCalls {
		baseline.Slow = durationpb.New(slowThreshold(r.samples))
	}
	return baseline
}

func slowThreshold(samples []uint32) time.Duration {
	sorted := append([]uint32(nil), samples...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	usual := time.Duration(sorted[int(slowPercentile*float64(len(sorted)-1))]) * time.Microsecond
	return max(slowFactor*usual, usual+slowFloor)
}
