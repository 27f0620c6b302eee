package move

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// disturbedSeconds is the number of whole seconds for which a disturbance of the stable version delays a step.
const disturbedSeconds = 1

// minDisturbedCalls is the least number of bad calls in a second that are a disturbance: single slow calls are usual.
const minDisturbedCalls = 2

// routeView is the evidence of all nodes on one route of a moving service; from is the stable version, to the new one.
type routeView struct {
	from history
	to   history
	// control holds the control group, which is also counted in from.
	control history
	// newTotalCalls is the number of the new version's calls since the move was declared.
	newTotalCalls uint64
	// newRunning is the number of the new version's calls that are running, oldestNewRunning for how long the oldest has been.
	newRunning       uint32
	oldestNewRunning time.Duration
	samplesMicros    []uint32
	// coldStart is the longest cold start of the stable version, or nil when no node has an estimate.
	coldStart *durationpb.Duration
}

// view is the evidence of all nodes on a moving service, by route.
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
	switch {
	case key.version == record.GetTo():
		target = route.to
		route.newTotalCalls += s.totalCalls
		route.newRunning += s.running
		route.oldestNewRunning = max(route.oldestNewRunning, s.oldestRunning)
	case key.version == record.GetFrom(), record.GetFrom() == "" && !slices.Contains(record.GetWithdrawn(), key.version):
		route.samplesMicros = append(route.samplesMicros, s.samplesMicros...)
		route.coldStart = longerDuration(route.coldStart, s.coldStart)
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

// routes returns the sorted names of the routes.
func (v view) routes() []string {
	names := make([]string, 0, len(v))
	for name := range v {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// disturbedRoute returns a route on which so many calls of the stable version itself were just now bad that the new version
// cannot be compared with it, or an empty string.
// During a disturbance, a fault that the next step brings could go unnoticed, and once the stable version has no calls, the
// disturbance could be counted against the new version.
func (v view) disturbedRoute(now time.Time) string {
	for _, name := range v.routes() {
		for second := now.Unix() - disturbedSeconds; second <= now.Unix(); second++ {
			c := v[name].from[second]
			if c.calls >= minSecondCalls && max(c.failures, c.sheds, c.slow) >= minDisturbedCalls &&
				max(c.failureRate(), c.shedRate(), c.slowRate()) > maxComparableRate {
				return name
			}
		}
	}
	return ""
}

// peakCallsPerSecond returns the number of the service's calls in its busiest second.
func (v view) peakCallsPerSecond() float64 {
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

// callsPerSecond returns the route's calls per second over the seconds that had any.
func (r *routeView) callsPerSecond() float64 {
	if len(r.from) == 0 {
		return 0
	}
	return r.from.sum().calls / float64(len(r.from))
}

// newCallsSince returns the number of the new version's calls since its total was start.
func (r *routeView) newCallsSince(start uint64) uint64 {
	if r.newTotalCalls < start {
		return 0
	}
	return r.newTotalCalls - start
}

func (r *routeView) used() bool { return r.from.sum().calls+r.to.sum().calls > 0 }
