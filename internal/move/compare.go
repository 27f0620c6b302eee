package move

import (
	"slices"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// minSecondCalls is the least number of the stable version's calls in a second for which that second is compared by itself.
const minSecondCalls = 3

// finding is the evidence against the new version on one route.
type finding struct {
	route  string
	reason string
	// evidence is the log-likelihood ratio of the strongest kind of fault, in nats.
	evidence float64
}

// worstFinding returns the finding with the most evidence of all routes.
func (v view) worstFinding(baselines map[string]*wirepb.RouteBaseline) finding {
	worst := finding{}
	for _, name := range v.routes() {
		if f := v[name].compareVersions(name, baselines[name]); f.evidence > worst.evidence {
			worst = f
		}
	}
	return worst
}

// compareVersions compares the new version with the stable one in the same seconds, so that a fault of both is not counted
// against the new one. The evidence is summed from each second up to now, and the largest sum counts, so that good calls
// before a fault that begins late do not outweigh it.
func (r *routeView) compareVersions(name string, known *wirepb.RouteBaseline) finding {
	overall := r.baselineCounts(known)
	seconds := make([]int64, 0, len(r.to))
	for second := range r.to {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	worst, sum := finding{route: name}, faultEvidence{}
	for _, second := range slices.Backward(seconds) {
		sum.add(r.to[second], r.baselineInSecond(second, overall))
		if reason, evidence := sum.strongest(); evidence > worst.evidence {
			worst.reason, worst.evidence = "route "+name+" "+reason, evidence
		}
	}
	return worst
}

// baselineInSecond returns the stable version's counts that a second of the new version is compared with: those of the same
// second, or the overall ones if it had too few calls then. The control group gets calls in the same bursts as the new
// version, but may be small. So the rates of the stable version's calls in this second and the ones before and after replace
// lower ones, since a disturbance may begin or end within a second.
func (r *routeView) baselineInSecond(second int64, overall counts) counts {
	baseline, usual := r.from[second], overall.slowRate()
	if control := r.control[second]; control.calls >= minSecondCalls {
		baseline = control.withPessimisticRates()
	}
	baseline = baseline.withUsualSlowRate(usual)
	if baseline.calls < minSecondCalls {
		baseline = overall
	}
	for s := second - 1; s <= second+1; s++ {
		if neighbour := r.from[s]; neighbour.calls >= minSecondCalls {
			baseline = baseline.withWorseRates(neighbour.withUsualSlowRate(usual))
		}
	}
	baseline.baselineCalls = overall.calls
	return baseline
}

// faultEvidence is the evidence for each kind of fault, as log-likelihood ratios in nats.
type faultEvidence struct {
	failing     float64
	rareFailing float64
	shedding    float64
	slow        float64
}

func (e *faultEvidence) add(to, from counts) {
	calls := max(from.calls, from.baselineCalls)
	e.failing += failureHypothesis(from.failureRate(), calls).logLikelihoodRatio(to.served(), to.failures)
	e.rareFailing += rareFailureHypothesis(from.failureRate(), calls).logLikelihoodRatio(to.served(), to.failures)
	e.shedding += shedHypothesis(from.shedRate()).logLikelihoodRatio(to.calls, to.sheds)
	e.slow += slowHypothesis(from.slowRate()).logLikelihoodRatio(to.warm, to.slow)
}

func (e *faultEvidence) strongest() (string, float64) {
	failing := max(e.failing, e.rareFailing)
	switch {
	case failing >= e.shedding && failing >= e.slow:
		return "fails", failing
	case e.shedding >= e.slow:
		return "sheds calls", e.shedding
	default:
		return "is slow", e.slow
	}
}
