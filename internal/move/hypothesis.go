package move

import "math"

const (
	// condemnAt is the evidence, in nats, at which a version is bad: odds of a thousand to one.
	condemnAt = 6.9
	// holdAt is the evidence, in nats, at which a move takes no further step.
	holdAt = 1.5

	minTolerableFailures = 0.001
	faultyFailures       = 0.2
	rareFailures         = 0.01
	tolerableSlow        = 0.1
	faultySlow           = 0.5
	tolerableSheds       = 0.1
	faultySheds          = 0.5
	faultFactor          = 3
	maxFaulty            = 0.95
	baselineFactor       = 1.5
	// unseenCalls is the number of calls without failure that a version without history is credited with.
	unseenCalls = 100
	// maxComparable is the rate of bad calls of the old version above which the new one is not judged.
	maxComparable = 0.25
)

// hypothesis compares two rates of bad calls: what the old version makes tolerable, and a fault. Without rates,
// because the old version is bad itself, calls are no evidence.
type hypothesis struct {
	tolerable float64
	faulty    float64
}

func newHypothesis(baseline, tolerable, faulty float64) hypothesis {
	if baseline > maxComparable {
		return hypothesis{}
	}
	tolerable = max(tolerable, baseline*baselineFactor)
	return hypothesis{tolerable: tolerable, faulty: min(max(faulty, faultFactor*tolerable), maxFaulty)}
}

// failureHypothesis tolerates the fewer failures the more calls of the old version went without.
func failureHypothesis(baseline, calls float64) hypothesis {
	return newHypothesis(baseline, tolerableFailures(calls), faultyFailures)
}

// rareHypothesis is for a fault that only few calls show, for instance those that meet another one.
func rareHypothesis(baseline, calls float64) hypothesis {
	return newHypothesis(baseline, tolerableFailures(calls), rareFailures)
}

func tolerableFailures(calls float64) float64 {
	return max(minTolerableFailures, 1/(calls+unseenCalls))
}

func slowHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSlow, faultySlow)
}

func shedHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSheds, faultySheds)
}

// weigh returns the evidence for the fault, in nats, of some calls of which some were bad.
func (h hypothesis) weigh(calls, bad float64) float64 {
	if h.tolerable == 0 {
		return 0
	}
	return bad*math.Log(h.faulty/h.tolerable) + (calls-bad)*math.Log((1-h.faulty)/(1-h.tolerable))
}

// cumulative is a cumulative sum test: it forgets good behaviour, so that a late fault shows at once.
type cumulative float64

func (c *cumulative) add(h hypothesis, bad bool) float64 {
	weight := h.weigh(1, 0)
	if bad {
		weight = h.weigh(1, 1)
	}
	*c = cumulative(max(0, float64(*c)+weight))
	return float64(*c)
}
