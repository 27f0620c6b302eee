package egress

import (
	"context"
	"sync"
	"time"
)

const (
	// largeBytes is the size from which a response is scheduled; smaller ones take less than 10 ms on a link of 14 Mbit/s and
	// are sent at once.
	largeBytes = 16 << 10
	// largeFraction is the part of the link that large responses may use; announcements, configuration, calls and small
	// responses need the rest.
	largeFraction = 0.85
	// secondaryFraction is the part of the time until a response is due for which a secondary response may queue, so that
	// other calls find room.
	secondaryFraction = 0.25
	// sizeMargin covers the spread of the sizes: responses are up to several times larger than their average.
	sizeMargin    = 1.2
	averageWeight = 0.1
	maxRoutes     = 10_000
	bitsPerByte   = 8
)

// Config configures a Limiter.
type Config struct {
	// BitsPerSecond is the bandwidth of the network link; 0 means that it is not limited.
	BitsPerSecond float64
	Now           func() time.Time
}

// Limiter admits calls by what the network link can still send until their responses are due, and sends large responses one
// after the other, so that the queue of the link stays short for everything else.
type Limiter struct {
	cfg Config
	// bytesPerSecond is the rate of large responses.
	bytesPerSecond float64

	mu sync.Mutex
	// expected is the number of bytes of the responses to admitted calls that have not arrived yet, as estimated.
	expected float64
	// freeAt is when the link has sent the large responses that were given to it.
	freeAt time.Time
	// averageBytes is the moving average of the size of responses, by route.
	averageBytes map[string]float64
}

// Request describes a call whose response will use the link.
type Request struct {
	Route string
	// RespondBy is when the response is due, or zero if it may take any time.
	RespondBy time.Time
	// Secondary means that the response goes to another data centre or cannot meet the call's latency objective any more.
	Secondary bool
}

// Reservation is the room on the link for the response to one call; it must be ended by Send or Cancel.
type Reservation struct {
	limiter  *Limiter
	route    string
	expected float64
}

// New returns a limiter of an idle link.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, bytesPerSecond: largeFraction * cfg.BitsPerSecond / bitsPerByte, averageBytes: map[string]float64{}}
}

// Reserve makes room for the response to a call, or reports that the link cannot send it by the time that it is due. It must
// be called before the call is run.
func (l *Limiter) Reserve(request Request) (*Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := l.averageBytes[request.Route]
	if l.bytesPerSecond == 0 || expected < largeBytes {
		return &Reservation{limiter: l, route: request.Route}, true
	}
	now := l.cfg.Now()
	left := request.RespondBy.Sub(now)
	if request.Secondary {
		left = time.Duration(secondaryFraction * float64(left))
	}
	sent := time.Duration(sizeMargin * float64(l.backlog(now)+l.duration(expected)))
	if !request.RespondBy.IsZero() && sent > left {
		return nil, false
	}
	l.expected += expected
	return &Reservation{limiter: l, route: request.Route, expected: expected}, true
}

// backlog returns the time that the link needs for the responses of all admitted calls.
func (l *Limiter) backlog(now time.Time) time.Duration {
	return max(l.freeAt.Sub(now), 0) + l.duration(l.expected)
}

func (l *Limiter) duration(bytes float64) time.Duration {
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second))
}

// Cancel gives the room back without a response.
func (r *Reservation) Cancel() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.expected -= r.expected
	r.expected = 0
}

// Send waits until the response of a given size has its turn on the link, or returns the error of the context.
func (r *Reservation) Send(ctx context.Context, bytes int) error {
	wait := r.schedule(bytes)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// schedule turns the reservation into a turn on the link and returns the time until it begins.
func (r *Reservation) schedule(bytes int) time.Duration {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected -= r.expected
	r.expected = 0
	l.observe(r.route, float64(bytes))
	if l.bytesPerSecond == 0 || bytes < largeBytes {
		return 0
	}
	now := l.cfg.Now()
	start := now
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.freeAt = start.Add(l.duration(float64(bytes)))
	return start.Sub(now)
}

func (l *Limiter) observe(route string, bytes float64) {
	average, found := l.averageBytes[route]
	switch {
	case found:
		l.averageBytes[route] = average + averageWeight*(bytes-average)
	case len(l.averageBytes) < maxRoutes:
		l.averageBytes[route] = bytes
	}
}

// Backlog returns the time that the link needs for the large responses of all admitted calls.
func (l *Limiter) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytesPerSecond == 0 {
		return 0
	}
	return l.backlog(l.cfg.Now())
}
