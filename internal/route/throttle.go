package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// throttleHeadroom is how many calls are sent to a saturated service for each one that it accepts, so that free room is
	// found at once.
	throttleHeadroom = 2
	throttleWindow   = 500 * time.Millisecond
	// minThrottledCalls is the number of recent calls below which none is throttled.
	minThrottledCalls = 5
	// saturatedTries is the number of refusals for overload that end a call to a saturated service.
	saturatedTries = 3
)

// throttle refuses calls at the caller's node while the nodes of a service's upstreams refuse most calls of their class: a call
// that would be refused everywhere costs a try at each upstream, and these tries take the processor time that other calls need.
// Calls that upstreams shed themselves do not count: these may be faulty, and the retry budget bounds them.
type throttle struct {
	now func() time.Time

	mu      sync.Mutex
	classes map[throttleKey]*throttleCounts
}

type throttleKey struct {
	service string
	class   wirepb.Class
}

// throttleCounts are the recent calls and those of them that were not refused for overload, which decay with time.
type throttleCounts struct {
	calls     float64
	accepted  float64
	countedAt time.Time
}

func newThrottle(now func() time.Time) *throttle {
	return &throttle{now: now, classes: map[throttleKey]*throttleCounts{}}
}

// admit returns at how many upstreams a call may be refused for overload, 0 if it may not be sent at all, and counts the call.
func (t *throttle) admit(key throttleKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(key)
	excess := c.calls - throttleHeadroom*c.accepted
	saturated := c.calls >= minThrottledCalls && excess > 0
	refuse := saturated && rand.Float64() < excess/(c.calls+1)
	c.calls++
	switch {
	case refuse:
		return 0
	case saturated:
		return saturatedTries
	default:
		return maxTries
	}
}

// accept counts a call that was not refused for overload.
func (t *throttle) accept(key throttleKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts(key).accepted++
}

func (t *throttle) counts(key throttleKey) *throttleCounts {
	now := t.now()
	c, found := t.classes[key]
	if !found {
		c = &throttleCounts{countedAt: now}
		t.classes[key] = c
	}
	decay := math.Exp(-now.Sub(c.countedAt).Seconds() / throttleWindow.Seconds())
	c.calls, c.accepted, c.countedAt = c.calls*decay, c.accepted*decay, now
	return c
}
