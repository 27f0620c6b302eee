package move

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	earlyBuckets = 40
	earlyBucket  = 250 * time.Millisecond
	// minEarlyCalls is the number of early calls from which a cold start is learned.
	minEarlyCalls = 10
	// minColdStart is allowed at least, unless another one is declared.
	minColdStart = 3 * time.Second
	// coldStartMargin is the allowed cold start in multiples of the one seen.
	coldStartMargin = 1.5
)

// early holds the mean times of the first calls of upstreams that were seen from their start, by the time since the
// first one.
type early struct {
	calls [earlyBuckets]uint32
	took  [earlyBuckets]time.Duration
	total int
}

func (e *early) add(o local.Observation) {
	bucket := int(o.SinceFirstCall / earlyBucket)
	if !o.FirstCallSeen || bucket >= earlyBuckets {
		return
	}
	e.total++
	e.calls[bucket]++
	e.took[bucket] += o.Latency
}

// coldStart returns how long calls were slow after the first one, once they no longer are.
func (e *early) coldStart(slow time.Duration) (time.Duration, bool) {
	if e.total < minEarlyCalls {
		return 0, false
	}
	end, warm := time.Duration(0), false
	for i, calls := range e.calls {
		if calls == 0 {
			continue
		}
		warm = e.took[i]/time.Duration(calls) <= slow
		if !warm {
			end = time.Duration(i+1) * earlyBucket
		}
	}
	return end, warm
}

// allowedColdStart returns how long after its first call an upstream may be slow on a route: as declared, else as long
// as the old version's upstreams were and some time more, since a new version may have a cold start that they had not.
func allowedColdStart(service *tree.Service, baseline *wirepb.RouteBaseline) time.Duration {
	if service.ColdStart >= 0 {
		return service.ColdStart
	}
	seen := coldStartMargin * float64(baseline.GetColdStart().AsDuration())
	return max(time.Duration(seen), minColdStart)
}

func longer(a, b *durationpb.Duration) *durationpb.Duration {
	if a == nil || b != nil && b.AsDuration() > a.AsDuration() {
		return b
	}
	return a
}
