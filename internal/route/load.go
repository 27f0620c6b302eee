package route

import (
	"math/rand/v2"
	"time"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// slowFactor is how many times as long as the fastest candidate an upstream may be expected to take before it is avoided. Two random
	// choices alone pick a slow upstream each time that both are slow: of eight with two slow ones, in one call of 28.
	slowFactor = 1.6
	// slowProbeFraction is the fraction of calls for which slow upstreams are not avoided, to notice when they recover.
	slowProbeFraction = 0.03
	// loadTTL is longer than the time between two answers of an upstream to one node.
	loadTTL        = 400 * time.Millisecond
	paceMeanWeight = 0.05
)

// reportedLoad is the load of an upstream as its answers report it.
type reportedLoad struct {
	pace admit.Pace
	// busy is the number of calls running and waiting for each slot, at the upstream and at the node beside it.
	busy float64
}

func newReportedLoad() reportedLoad {
	return reportedLoad{pace: admit.NewPace(admit.PaceConfig{TTL: loadTTL, MeanWeight: paceMeanWeight})}
}

// record applies an answer; one without a report changes nothing.
func (l *reportedLoad) record(answer *wirepb.AnswerHead, now time.Time) {
	if percent := answer.GetLoad().GetPacePercent(); percent > 0 {
		l.pace.Observe(percent, now)
		l.busy = float64(answer.GetLoadPermille()) / fullLoadPermille
	}
}

// expectedTime returns the time that an upstream with a number of own calls in flight is expected to need for another one, given the
// average latency of its answers: as long as usual, scaled by its pace, and the wait for a slot where its slots are taken.
func (l *reportedLoad) expectedTime(latency time.Duration, inFlight int, slots uint32, now time.Time) time.Duration {
	busy := 0.0
	if l.pace.IsFresh(now) {
		busy = l.busy
	}
	perSlot := 1 / float64(max(slots, 1))
	busy = max(busy, float64(inFlight)*perSlot) + perSlot
	wait := max(busy-1, 0)
	return time.Duration((1 + busy*busy + wait) * float64(l.pace.Scale(latency, now)))
}

// withoutSlow leaves out candidates that are expected to take much longer than the fastest one, if all of them report their pace. Some calls
// still go to them, so that it is noticed when they recover.
func withoutSlow(list []*candidate, now time.Time) []*candidate {
	fastest := time.Duration(0)
	for _, c := range list {
		if !c.stats.load.pace.IsReported() {
			return list
		}
		if cost := c.cost(now); fastest == 0 || cost < fastest {
			fastest = cost
		}
	}
	if rand.Float64() < slowProbeFraction {
		return list
	}
	return filter(list, func(c *candidate) bool { return float64(c.cost(now)) <= slowFactor*float64(fastest) })
}
