package move

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// simulatedServices are services of the users' size: an outer route whose calls take long, beside the inner calls of other
// services, or two routes of which one is not idempotent.
var simulatedServices = map[string][]simulatedRoute{
	"outer and inner calls": {
		{name: "lookup", callsPerSecond: 28, median: 450 * time.Millisecond, timeout: 2500 * time.Millisecond, idempotent: true},
		{name: "fetch", callsPerSecond: 60, median: 42 * time.Millisecond, timeout: 600 * time.Millisecond, idempotent: true},
	},
	"a route that is not idempotent": {
		{name: "place", callsPerSecond: 42, median: 270 * time.Millisecond, timeout: 1200 * time.Millisecond},
		{name: "stock", callsPerSecond: 65, median: 40 * time.Millisecond, timeout: 600 * time.Millisecond, idempotent: true},
	},
	"long calls": {
		{name: "record", callsPerSecond: 21, median: 510 * time.Millisecond, timeout: 4 * time.Second, idempotent: true},
		{name: "slots", callsPerSecond: 20, median: 38 * time.Millisecond, timeout: 600 * time.Millisecond, idempotent: true},
	},
	"one route": {
		{name: "browse", callsPerSecond: 90, median: 205 * time.Millisecond, timeout: 900 * time.Millisecond, idempotent: true},
	},
}

const (
	// maxExposureFraction and maxExposureSlack bound the calls that a bad version may get up to the deadline.
	maxExposureFraction = 0.1
	maxExposureSlack    = 50
)

// exposureSeeds are the numbers of seeds by whether the upstreams announce how long they are cold.
var exposureSeeds = map[bool]uint64{true: 40, false: 12}

// Guards against a version of which half of the calls are several times slower reaching more calls than the users allow,
// because its slow calls are no evidence or its steps ask for none.
func TestSlowVersionIsRejectedBeforeItsFullShare(t *testing.T) {
	for name, routes := range simulatedServices {
		for _, factor := range []float64{4, 8, 16} {
			t.Run(name+", "+strconv.Itoa(int(factor))+" times slower", func(t *testing.T) {
				t.Parallel()
				for announced, seeds := range exposureSeeds {
					for seed := range seeds {
						result := simulation{routes: routes, slowFactor: factor, coldDuration: 2 * time.Second, announcesCold: announced, seed: seed}.run()
						allowed := maxExposureFraction*float64(result.calls) + maxExposureSlack
						require.LessOrEqual(t, float64(result.newCalls), allowed, "seed %d, cold start announced %t: of %d calls; state %s, share %d, rejected %q",
							seed, announced, result.calls, result.record.GetState(), result.record.GetSharePermille(), result.rejected)
					}
				}
			})
		}
	}
}

// Guards against a slow version that goes on to its full share because the stable version was slow, too, for a moment in which nodes
// restarted (EXPOSURE beside a herd kill).
func TestSlowVersionIsRejectedBesideRestarts(t *testing.T) {
	const seeds = 40
	for name, routes := range simulatedServices {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				result := simulation{routes: routes, slowFactor: 8, coldDuration: 2 * time.Second, announcesCold: true, restarts: 0.6, seed: seed}.run()
				allowed := maxExposureFraction*float64(result.calls) + maxExposureSlack
				require.LessOrEqual(t, float64(result.newCalls), allowed, "seed %d: of %d calls; state %s, share %d, rejected %q",
					seed, result.calls, result.record.GetState(), result.record.GetSharePermille(), result.rejected)
			}
		})
	}
}

// Guards against a rule for slow versions that rejects or delays good ones, whose upstreams are cold at first.
func TestGoodVersionMovesByTheDeadline(t *testing.T) {
	for name, routes := range simulatedServices {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for announced, seeds := range exposureSeeds {
				for seed := range seeds {
					result := simulation{routes: routes, slowFactor: 1, coldDuration: 2 * time.Second, announcesCold: announced, seed: seed}.run()
					require.Equal(t, wirepb.MoveState_MOVE_STATE_DONE, result.record.GetState(), "seed %d, cold start announced %t: share %d, rejected %q, reason %q",
						seed, announced, result.record.GetSharePermille(), result.rejected, result.record.GetReason())
				}
			}
		})
	}
}
