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
)

// routeView is what all nodes together know of one route of a moving service.
type routeView struct {
	from history
	to   history
	// control holds those of the old version's calls that went to it by lot.
	control history
	// toTotal is the number of calls of the new version since the declaration.
	toTotal uint64
	samples []uint32
	// coldStart is the longest one that the old version showed, or nil when none was seen.
	coldStart *durationpb.Duration
}

// view is what all nodes together know of a moving service, by route.
type view map[string]*routeView

func newView(record *wirepb.MoveRecord, nodes map[string]*nodeEvidence) view {
	v := view{}
	for _, n := range nodes {
		for key, s := range n.series {
			v.add(record, key, s)
		}
	}
	return v
}

func (v view) add(record *wirepb.MoveRecord, key seriesKey, s *nodeSeries) {
	route, found := v[key.route]
	if !found {
		route = &routeView{from: history{}, to: history{}, control: history{}}
		v[key.route] = route
	}
	target := route.from
	switch key.version {
	case record.GetFrom():
		route.samples = append(route.samples, s.samples...)
		route.coldStart = longer(route.coldStart, s.coldStart)
	case record.GetTo():
		target = route.to
		route.toTotal += s.total
	default:
		return
	}
	for second, c := range s.seconds {
		target.add(second, c)
		if key.control {
			route.control.add(second, c)
		}
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

// nodeEvidence is what one node reported, kept for the whole window.
type nodeEvidence struct {
	at     time.Time
	series map[seriesKey]*nodeSeries
}

type nodeSeries struct {
	seconds history
	samples []uint32
	total   uint64
	// coldStart is nil when the node saw none.
	coldStart *durationpb.Duration
}

// take replaces the seconds that a report carries: a report that comes twice or late does no harm.
func (n *nodeEvidence) take(report *wirepb.EvidenceReport, now time.Time) {
	n.at = now
	for _, evidence := range report.GetRoutes() {
		key := seriesKey{route: evidence.GetRoute(), version: evidence.GetVersion(), control: evidence.GetControl()}
		s, found := n.series[key]
		if !found {
			s = &nodeSeries{seconds: history{}}
			n.series[key] = s
		}
		s.total = max(s.total, evidence.GetTotalCalls())
		if len(evidence.GetSamplesMicros()) > 0 {
			s.samples = evidence.GetSamplesMicros()
		}
		s.coldStart = longer(s.coldStart, evidence.GetColdStart())
		for _, c := range evidence.GetSeconds() {
			s.seconds[c.GetSecond()] = decodeCounts(c)
		}
	}
}

// trim reports whether the node has shown nothing in the window.
func (n *nodeEvidence) trim(now time.Time) bool {
	for _, s := range n.series {
		s.seconds.trim(now)
	}
	return now.Sub(n.at) > windowSeconds*time.Second
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
		sum.add(r.to[second], expected(r.comparable(second), overall))
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

// comparable returns what the old version showed in a second: its controls met the same moments as the new version.
func (r *routeView) comparable(second int64) counts {
	if control := r.control[second]; control.calls >= minSecondCalls {
		return control
	}
	return r.from[second]
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
	rarely   float64
	shedding float64
	slow     float64
}

func (w *weights) add(to, from counts) {
	known := max(from.calls, from.credit)
	w.failing += failureHypothesis(from.failureRate(), known).weigh(to.served(), to.failures)
	w.rarely += rareHypothesis(from.failureRate(), known).weigh(to.served(), to.failures)
	w.shedding += shedHypothesis(from.shedRate()).weigh(to.calls, to.sheds)
	w.slow += slowHypothesis(from.slowRate()).weigh(to.warm, to.slow)
}

func (w *weights) strongest() (string, float64) {
	failing := max(w.failing, w.rarely)
	switch {
	case failing >= w.shedding && failing >= w.slow:
		return "fails", failing
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

// shownSince returns the calls of the new version after a total.
func (r *routeView) shownSince(began uint64) uint64 {
	if r.toTotal < began {
		return 0
	}
	return r.toTotal - began
}

func (r *routeView) used() bool { return r.from.sum().calls+r.to.sum().calls > 0 }
