package move

import "math"

const (
	// rejectThreshold is the evidence, in nats, at which a version is rejected: odds of a thousand to one.
	rejectThreshold = 6.9
	// holdThreshold is the evidence, in nats, at which a move takes no further step.
	holdThreshold = 1.5
	// clearThreshold is the evidence against a fault, in nats, at which the fault counts as ruled out: odds of ten to one.
	clearThreshold = 2.3

	minTolerableFailureRate = 0.001
	faultyFailureRate       = 0.2
	rareFailureRate         = 0.01
	tolerableSlowRate       = 0.1
	faultySlowRate          = 0.5
	partlySlowRate          = 0.3
	tolerableShedRate       = 0.1
	faultyShedRate          = 0.5
	faultFactor             = 3
	// maxFaultyRate keeps the rate of a fault below 1, where a single good call would rule the fault out.
	maxFaultyRate  = 0.95
	baselineFactor = 1.5
	// priorCalls is a number of calls without failure that is added to those of every baseline, so that one with few calls
	// does not tolerate a high failure rate.
	priorCalls = 100
	// maxComparableRate is the stable version's rate of bad calls above which the new version is not compared with it.
	maxComparableRate = 0.25
)

// hypothesis is a test between two rates of bad calls: one that is tolerable, given the stable version, and one of a fault.
// The zero value, for a stable version that is bad itself, gives no evidence.
type hypothesis struct {
	tolerable float64
	faulty    float64
}

func newHypothesis(baseline, tolerable, faulty float64) hypothesis {
	if baseline > maxComparableRate {
		return hypothesis{}
	}
	tolerable = max(tolerable, baseline*baselineFactor)
	return hypothesis{tolerable: tolerable, faulty: min(max(faulty, faultFactor*tolerable), maxFaultyRate)}
}

// failureHypothesis tolerates a lower failure rate the more calls the baseline rests on.
func failureHypothesis(baseline, calls float64) hypothesis {
	return newHypothesis(baseline, tolerableFailureRate(calls), faultyFailureRate)
}

// rareFailureHypothesis is for a fault that makes only few calls fail, for instance those that run concurrently with another
// one.
func rareFailureHypothesis(baseline, calls float64) hypothesis {
	return newHypothesis(baseline, tolerableFailureRate(calls), rareFailureRate)
}

func tolerableFailureRate(calls float64) float64 {
	return max(minTolerableFailureRate, 1/(calls+priorCalls))
}

func slowHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSlowRate, faultySlowRate)
}

// partlySlowHypothesis is for a fault that makes only some calls slow enough to count.
func partlySlowHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableSlowRate, partlySlowRate)
}

func shedHypothesis(baseline float64) hypothesis {
	return newHypothesis(baseline, tolerableShedRate, faultyShedRate)
}

// logLikelihoodRatio returns the evidence for a fault, in nats, from a number of calls and the bad ones among them.
func (h hypothesis) logLikelihoodRatio(calls, bad float64) float64 {
	if h.tolerable == 0 {
		return 0
	}
	return bad*math.Log(h.faulty/h.tolerable) + (calls-bad)*math.Log((1-h.faulty)/(1-h.tolerable))
}

// cusum is a cumulative sum test (CUSUM): the sum never falls below zero, so that good calls before a fault do not delay
// its detection.
type cusum float64

func (c *cusum) add(h hypothesis, bad bool) float64 {
	evidence := h.logLikelihoodRatio(1, 0)
	if bad {
		evidence = h.logLikelihoodRatio(1, 1)
	}
	*c = cusum(max(0, float64(*c)+evidence))
	return float64(*c)
}
