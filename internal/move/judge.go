package move

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	minBaselineCalls = 20
	// minSecondCalls is the number of the old version's calls that make a second comparable by itself.
	minSecondCalls = 3
	slowPercentile = 0.95
	slowFactor     = 2
	slowFloor      = 5 * time.Millisecond
	// reportAge is how long a report counts after its sender fell silent.
	reportAge = 3 * time.Second
)

// routeView is what all nodes together know of one route of a moving service.
type routeView struct {
	from history
	to   history
	// toTotal is the number of calls of the new version since the declaration.
	toTotal uint64
	samples []uint32
}

// view is what all nodes together know of a moving service, by route.
type view map[string]*routeView

func newView(record *wirepb.MoveRecord, reports []*wirepb.EvidenceReport) view {
	v := view{}
	for _, report := range reports {
		for _, evidence := range report.GetRoutes() {
			v.add(record, evidence)
		}
	}
	return v
}

func (v view) add(record *wirepb.MoveRecord, evidence *wirepb.RouteEvidence) {
	route, found := v[evidence.GetRoute()]
	if !found {
		route = &routeView{from: history{}, to: history{}}
		v[evidence.GetRoute()] = route
	}
	target := route.from
	switch evidence.GetVersion() {
	case record.GetFrom():
		route.samples = append(route.samples, evidence.GetSamplesMicros()...)
	case record.GetTo():
		target = route.to
		route.toTotal += evidence.GetTotalCalls()
	default:
		return
	}
	for _, s := range evidence.GetSeconds() {
		target.add(s.GetSecond(), decodeCounts(s))
	}
}

// routes returns the names of the routes in order.
func (v view) routes() []string {
	names := make([]string, 0, len(v))
	for name := range v {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// callsPerSecond returns the calls of the service in its busiest second.
func (v view) callsPerSecond() float64 {
	seconds := history{}
	for _, r := range v {
		for second, c := range r.from {
			seconds.add(second, c)
		}
		for second, c := range r.to {
			seconds.add(second, c)
		}
	}
	busiest := 0.0
	for _, c := range seconds {
		busiest = max(busiest, c.calls)
	}
	return busiest
}

// finding is the evidence against the new version on one route.
type finding struct {
	route  string
	reason string
	// weight is the strongest evidence, in nats.
	weight float64
}

// judge returns the strongest finding of all routes.
func (v view) judge(known map[string]*wirepb.RouteBaseline) finding {
	worst := finding{}
	for _, name := range v.routes() {
		if f := v[name].judge(name, known[name]); f.weight > worst.weight {
			worst = f
		}
	}
	return worst
}

// judge compares the new version with what the old one showed in the same seconds, so that a fault both share is
// not held against the new one. The evidence is summed from each second up to now, and the strongest sum counts: a
// late fault is then not outweighed by good behaviour before it.
func (r *routeView) judge(name string, known *wirepb.RouteBaseline) finding {
	overall := r.overall(known)
	seconds := make([]int64, 0, len(r.to))
	for second := range r.to {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	worst, sum := finding{route: name}, weights{}
	for _, second := range slices.Backward(seconds) {
		sum.add(r.to[second], expected(r.from[second], overall))
		if reason, weight := sum.strongest(); weight > worst.weight {
			worst.reason, worst.weight = "route "+name+" "+reason, weight
		}
	}
	return worst
}

// overall returns the old version's counts, or what was known of it before it lost its calls.
func (r *routeView) overall(known *wirepb.RouteBaseline) counts {
	sum := r.from.sum()
	if sum.calls < minBaselineCalls && known != nil {
		return countsOf(known)
	}
	return sum
}

// expected returns what the old version showed in a second, or overall when it had too few calls then.
func expected(second, overall counts) counts {
	if second.calls < minSecondCalls {
		return overall
	}
	second.credit = overall.calls
	return second
}

// weights is the evidence for each kind of fault, in nats.
type weights struct {
	failing  float64
	shedding float64
	slow     float64
}

func (w *weights) add(to, from counts) {
	w.failing += failureHypothesis(from.failureRate(), max(from.calls, from.credit)).weigh(to.served(), to.failures)
	w.shedding += shedHypothesis(from.shedRate()).weigh(to.calls, to.sheds)
	w.slow += slowHypothesis(from.slowRate()).weigh(to.warm, to.slow)
}

func (w *weights) strongest() (string, float64) {
	switch {
	case w.failing >= w.shedding && w.failing >= w.slow:
		return "fails", w.failing
	case w.shedding >= w.slow:
		return "sheds calls", w.shedding
	default:
		return "is slow", w.slow
	}
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

// shownSince returns the calls of the new version after a total.
func (r *routeView) shownSince(began uint64) uint64 {
	if r.toTotal < began {
		return 0
	}
	return r.toTotal - began
}

func (r *routeView) used() bool { return r.from.sum().calls+r.to.sum().calls > 0 }
