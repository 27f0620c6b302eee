package move

import "math"

const (
	// condemnAt is the evidence, in nats, at which a version is bad: odds of a thousand to one.
	condemnAt = 6.9
	// holdAt is the evidence, in nats, at which a move takes no further step.
	holdAt = 1.5

	tolerableFailures = 0.01
	faultyFailures    = 0.2
	tolerableSlow     = 0.1
	faultySlow        = 0.5
	tolerableSheds    = 0.1
	faultySheds       = 0.5
	maxTolerable      = 0.45
	faultFactor       = 3
	maxFaulty         = 0.95
	baselineFactor    = 1.5
)

// hypothesis compares two rates of bad calls: what the old version makes tolerable, and a fault.
type hypothesis struct {
	tolerable float64
	faulty    float64
}

func newHypothesis(baseline, tolerable, faulty float64) hypothesis {
	tolerable = min(max(tolerable, baseline*baselineFactor), maxTolerable)
	return hypothesis{tolerable: tolerable, faulty: min(max(faulty, faultFactor*tolerable), maxFaulty)}
}

func failureHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableFailures, faultyFailures)
}

func slowHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSlow, faultySlow)
}

func shedHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSheds, faultySheds)
}

// weigh returns the evidence for the fault, in nats, of some calls of which some were bad.
func (h hypothesis) weigh(calls, bad float64) float64 {
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
