package move

import (
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// disturbedSeconds is how many whole seconds back a disturbance of the old version keeps a step waiting.
const disturbedSeconds = 1

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
	switch {
	case key.version == record.GetTo():
		target = route.to
		route.toTotal += s.total
	case key.version == record.GetFrom(), record.GetFrom() == "":
		route.samples = append(route.samples, s.samples...)
		route.coldStart = longer(route.coldStart, s.coldStart)
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

// disturbed returns a route on which the old version itself was too bad in the last moments to compare anything with it,
// or nothing. A step taken then could hide behind the disturbance, or be blamed for it once the old version has no calls.
func (v view) disturbed(now time.Time) string {
	for _, name := range v.routes() {
		for second := now.Unix() - disturbedSeconds; second <= now.Unix(); second++ {
			c := v[name].from[second]
			if c.calls >= minSecondCalls && max(c.failureRate(), c.shedRate(), c.slowRate()) > maxComparable {
				return name
			}
		}
	}
	return ""
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

// shownSince returns the calls of the new version after a total.
func (r *routeView) shownSince(began uint64) uint64 {
	if r.toTotal < began {
		return 0
	}
	return r.toTotal - began
}

func (r *routeView) used() bool { return r.from.sum().calls+r.to.sum().calls > 0 }
