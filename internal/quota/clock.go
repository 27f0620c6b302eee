package quota

import (
	"sync"
	"time"
)

// Reading is a reading of a node's clock since the start of its process.
type Reading struct {
	// Fast is at least the time that has passed, also over a suspension of the VM: what a node holds expires by it.
	Fast time.Duration
	// Slow is at most the time that has passed: buckets fill and waiting periods end by it.
	Slow time.Duration
}

// Clock measures time that passes while the VM is suspended, too. The monotonic clock stands still then, and the wall clock may be
// set, so neither of them suffices alone.
type Clock struct {
	now func() time.Time

	mu    sync.Mutex
	start time.Time
	last  time.Time
	fast  time.Duration
}

// NewClock returns a clock that reads 0 now. The times of now must contain a reading of the monotonic clock.
func NewClock(now func() time.Time) *Clock {
	start := now()
	return &Clock{now: now, start: start, last: start}
}

// Read returns the time since the start.
func (c *Clock) Read() Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	monotonic, wall := now.Sub(c.last), now.Round(0).Sub(c.last.Round(0))
	c.fast += max(monotonic, wall, 0)
	c.last = now
	return Reading{Fast: c.fast, Slow: now.Sub(c.start)}
}
