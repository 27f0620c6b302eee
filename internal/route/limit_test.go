package route

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func limitRefusal(availableIn time.Duration) tryResult {
	return tryResult{answer: &wirepb.AnswerHead{
		Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED, AvailableIn: durationpb.New(availableIn),
	}}
}

// Many upstreams may be limited at once. Guards against calls that are sent to one after the other of them, although their limits
// allow none now.
func TestLimitedUpstreamsAreAvoided(t *testing.T) {
	const availableIn = 100 * time.Millisecond
	now, key := time.Now(), subsetKey{service: "shop", version: "v1"}
	p := newPicker(upstreams("r-1", "r-2"), &now)
	near := p.pick(key, nil)
	require.Zero(t, p.limitDelay(key, nil))
	p.recordResult(near, limitRefusal(availableIn))
	require.Equal(t, "r-2", pickCentre(p), "a limited upstream is avoided")
	far := p.pick(key, nil)
	p.recordResult(far, limitRefusal(availableIn))
	require.Nil(t, p.pick(key, nil), "all are limited")
	delay := p.limitDelay(key, nil)
	require.GreaterOrEqual(t, delay, availableIn)
	require.Less(t, delay, 2*availableIn)
	now = now.Add(2 * availableIn)
	require.NotNil(t, p.pick(key, nil), "the limits allow calls again")
}

// Guards against a caller waiting for a call that no limit allows, or returning before one does.
func TestCallBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	const availableIn = 200 * time.Millisecond
	f := newFixture(t)
	chosen := f.proxy.cfg.Picker.pick(subsetKey{service: "shop", version: "v1"}, nil)
	f.proxy.cfg.Picker.recordResult(chosen, limitRefusal(availableIn))
	response := f.send("/write", "")
	requireOutcome(t, response, http.StatusServiceUnavailable, OutcomeNotRun)
	require.Zero(t, f.calls.Load())
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, 0.9*availableIn.Seconds())
}
