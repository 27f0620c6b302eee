package move

import (
	"maps"
	"slices"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// minSecondCalls is the least number of the stable version's calls in a second for which that second is compared by itself.
const minSecondCalls = 3

// finding is the evidence against the new version, and what it says.
type finding struct {
	reason string
	// evidence is the log-likelihood ratio of the strongest kind of fault, in nats.
	evidence float64
}

// worstFinding returns the finding with the most evidence: that of each route by itself, and whether the version is slow on all
// routes together, which shows sooner than on any one of them. Few calls of a good version fail, but some are always slow.
func (v view) worstFinding(baselines map[string]*wirepb.RouteBaseline) finding {
	worst, together := finding{}, map[int64]faultEvidence{}
	for _, name := range v.routes() {
		evidence := v[name].evidenceBySecond(baselines[name])
		if f := strongestSuffix(evidence, "route "+name); f.evidence > worst.evidence {
			worst = f
		}
		for second, e := range evidence {
			together[second] = together[second].plus(faultEvidence{slow: e.slow, partlySlow: e.partlySlow})
		}
	}
	if f := strongestSuffix(together, "version"); f.evidence > worst.evidence {
		worst = f
	}
	return worst
}

// slowEvidence returns the evidence from all calls so far that the new version is slow on a route; it is negative if they speak
// against that.
func (r *routeView) slowEvidence(known *wirepb.RouteBaseline) float64 {
	sum := 0.0
	for _, e := range r.evidenceBySecond(known) {
		sum += e.slow
	}
	return sum
}

// compareVersions returns the finding on one route.
func (r *routeView) compareVersions(name string, known *wirepb.RouteBaseline) finding {
	return strongestSuffix(r.evidenceBySecond(known), "route "+name)
}

// evidenceBySecond compares the new version with the stable one in the same seconds, so that a fault of both is not counted against
// the new one.
func (r *routeView) evidenceBySecond(known *wirepb.RouteBaseline) map[int64]faultEvidence {
	overall, usualSlowRate, evidence := r.baselineCounts(known), r.usualSlowRate(known), map[int64]faultEvidence{}
	for second, c := range r.to {
		evidence[second] = compareCounts(c, r.baselineInSecond(second, overall, usualSlowRate))
	}
	return evidence
}

// strongestSuffix sums up the evidence from each second up to now, and returns the largest sum, so that good calls before a fault
// that begins late do not outweigh it.
func strongestSuffix(evidence map[int64]faultEvidence, subject string) finding {
	worst, sum := finding{}, faultEvidence{}
	for _, second := range slices.Backward(slices.Sorted(maps.Keys(evidence))) {
		sum = sum.plus(evidence[second])
		if reason, strongest := sum.strongest(); strongest > worst.evidence {
			worst.reason, worst.evidence = subject+" "+reason, strongest
		}
	}
	return worst
}

// baselineInSecond returns the stable version's counts that a second of the new version is compared with: those of the same
// second, or the overall ones if it had too few calls then. The control group gets calls in the same bursts as the new
// version, but may be small. So the rates of the stable version's calls in this second and the ones before and after replace
// lower ones, since a disturbance may begin or end within a second.
func (r *routeView) baselineInSecond(second int64, overall counts, usual float64) counts {
	baseline := r.from[second]
	if control := r.control[second]; control.calls >= minSecondCalls {
		baseline = control.withPessimisticRates()
	}
	baseline = baseline.withUsualSlowRate(usual)
	if baseline.calls < minSecondCalls {
		baseline = overall
		baseline.slow = overall.warm * usual
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
	partlySlow  float64
}

// compareCounts returns the evidence in the counts of the new version, given those of the stable one.
func compareCounts(to, from counts) faultEvidence {
	calls := max(from.calls, from.baselineCalls)
	return faultEvidence{
		failing:     failureHypothesis(from.failureRate(), calls).logLikelihoodRatio(to.served(), to.failures),
		rareFailing: rareFailureHypothesis(from.failureRate(), calls).logLikelihoodRatio(to.served(), to.failures),
		shedding:    shedHypothesis(from.shedRate()).logLikelihoodRatio(to.calls, to.sheds),
		slow:        slowHypothesis(from.slowRate()).logLikelihoodRatio(to.warm, to.slow),
		partlySlow:  partlySlowHypothesis(from.slowRate()).logLikelihoodRatio(to.warm, to.slow),
	}
}

func (e faultEvidence) plus(other faultEvidence) faultEvidence {
	return faultEvidence{
		failing: e.failing + other.failing, rareFailing: e.rareFailing + other.rareFailing,
		shedding: e.shedding + other.shedding, slow: e.slow + other.slow, partlySlow: e.partlySlow + other.partlySlow,
	}
}

func (e faultEvidence) strongest() (string, float64) {
	failing, slow := max(e.failing, e.rareFailing), max(e.slow, e.partlySlow)
	switch {
	case failing >= e.shedding && failing >= slow:
		return "fails", failing
	case e.shedding >= slow:
		return "sheds calls", e.shedding
	default:
		return "is slow", slow
	}
}
