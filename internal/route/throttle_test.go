package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// saturationResult counts what a saturated service and its callers' node see.
type saturationResult struct {
	served, sent, refusedAtOnce int
}

// playSaturation sends calls at a rate to a service that accepts a number of them in each tenth of a second.
func playSaturation(perSecond, accepts float64, duration time.Duration, throttled bool) saturationResult {
	const step = 100 * time.Millisecond
	now, random := time.Unix(0, 0), rand.New(rand.NewPCG(1, 1))
	t := newThrottle(func() time.Time { return now })
	key := throttleKey{service: "shop", class: wirepb.Class_CLASS_NORMAL}
	var result saturationResult
	for end := now.Add(duration); now.Before(end); {
		room := accepts * step.Seconds()
		for next := now.Add(step); now.Before(next); {
			now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			if throttled && t.admit(key) == 0 {
				result.refusedAtOnce++
				continue
			}
			result.sent++
			if room >= 1 {
				room--
				result.served++
				t.accept(key)
			}
		}
	}
	return result
}

// A burst of several times what a service can take: it still serves what it can, and most of the rest is refused without a try
// at an upstream.
func TestThrottleInSaturation(t *testing.T) {
	const accepts, duration = 100.0, 10 * time.Second
	tests := []struct {
		name            string
		perSecond       float64
		mostRefusedOnce float64
	}{
		{"half of the load it can take", 50, 0},
		{"as much as it can take", 100, 0},
		{"twice as much", 200, 0.15},
		{"ten times as much", 1000, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := playSaturation(tt.perSecond, accepts, duration, true), playSaturation(tt.perSecond, accepts, duration, false)
			t.Logf("%+v, without the throttle %+v", with, without)
			require.GreaterOrEqual(t, float64(with.served), 0.97*float64(without.served))
			require.LessOrEqual(t, float64(with.sent), min(float64(without.sent), 1.1*throttleHeadroom*float64(with.served)))
			require.LessOrEqual(t, float64(with.refusedAtOnce), tt.mostRefusedOnce*tt.perSecond*duration.Seconds()+1)
		})
	}
	t.Run("calls are sent again soon after the saturation", func(t *testing.T) {
		now := time.Unix(0, 0)
		throttle, key := newThrottle(func() time.Time { return now }), throttleKey{service: "shop"}
		for range 1000 {
			throttle.admit(key)
		}
		now = now.Add(6 * throttleWindow)
		require.Equal(t, maxTries, throttle.admit(key))
	})
	t.Run("classes are separate", func(t *testing.T) {
		throttle := newThrottle(time.Now)
		for range 1000 {
			throttle.admit(throttleKey{service: "shop", class: wirepb.Class_CLASS_BROWSE})
		}
		for range 100 {
			require.Equal(t, maxTries, throttle.admit(throttleKey{service: "shop", class: wirepb.Class_CLASS_CRITICAL}))
			throttle.accept(throttleKey{service: "shop", class: wirepb.Class_CLASS_CRITICAL})
		}
	})
}
