package move

import (
	"slices"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// minSecondCalls is the number of the old version's calls that make a second comparable by itself.
const minSecondCalls = 3

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

// comparable returns what the old version showed in a second. Its controls met the same moments as the new version, but
// may be few: what its other calls showed in that second and those around it excuses the new version, too, since a
// disturbance may begin or end within a second.
func (r *routeView) comparable(second int64) counts {
	shown := r.from[second]
	if control := r.control[second]; control.calls >= minSecondCalls {
		shown = control.cautious()
	}
	for s := second - 1; s <= second+1; s++ {
		if around := r.from[s]; around.calls >= minSecondCalls {
			shown = shown.worse(around)
		}
	}
	return shown
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
