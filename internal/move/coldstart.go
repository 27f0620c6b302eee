package move

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	coldStartBuckets        = 40
	coldStartBucketDuration = 250 * time.Millisecond
	// minColdStartCalls is the number of calls that an estimate needs.
	minColdStartCalls = 10
	// minAllowedColdStart is the least cold start that is allowed, unless the service declares one.
	minAllowedColdStart = 3 * time.Second
	// coldStartFactor is the allowed cold start in multiples of the stable version's.
	coldStartFactor = 1.5
)

// coldStartEstimator sums up the latency of calls by the time since their upstream's first call. It counts only upstreams
// whose first call was seen.
type coldStartEstimator struct {
	calls      [coldStartBuckets]uint32
	totalTime  [coldStartBuckets]time.Duration
	totalCalls int
}

func (e *coldStartEstimator) add(o local.Observation) {
	bucket := int(o.SinceFirstCall / coldStartBucketDuration)
	if !o.FirstCallSeen || bucket >= coldStartBuckets {
		return
	}
	e.totalCalls++
	e.calls[bucket]++
	e.totalTime[bucket] += o.Latency
}

// estimate returns how long calls were slow after the first one, or false if they still are slow or there were too few.
func (e *coldStartEstimator) estimate(slow time.Duration) (time.Duration, bool) {
	if e.totalCalls < minColdStartCalls {
		return 0, false
	}
	end, warm := time.Duration(0), false
	for i, calls := range e.calls {
		if calls == 0 {
			continue
		}
		warm = e.totalTime[i]/time.Duration(calls) <= slow
		if !warm {
			end = time.Duration(i+1) * coldStartBucketDuration
		}
	}
	return end, warm
}

// allowedColdStart returns how long after its first call an upstream may be slow on a route: as long as declared, or else
// longer than the stable version's upstreams were, since a new version may have a cold start that the stable one has not.
func allowedColdStart(service *tree.Service, baseline *wirepb.RouteBaseline) time.Duration {
	if service.ColdStart >= 0 {
		return service.ColdStart
	}
	seen := coldStartFactor * float64(baseline.GetColdStart().AsDuration())
	return max(time.Duration(seen), minAllowedColdStart)
}

func longerDuration(a, b *durationpb.Duration) *durationpb.Duration {
	if a == nil || b != nil && b.AsDuration() > a.AsDuration() {
		return b
	}
	return a
}
