package admit

import "time"

const (
	windowDuration = time.Second
	// windowParts is the number of equal parts of a window in each of which only its share of the calls may be sent. Calls that are sent
	// in one second may arrive in less; with four parts, delays of up to 250 ms put at most a quarter of the limit and one call more
	// into one second.
	windowParts = 4
	// maxWindowCalls bounds the memory of a window; it is the greatest number of slots of an upstream.
	maxWindowCalls = 4096
)

// ColdLimit is the limit on the calls to an upstream in its cold start.
type ColdLimit struct {
	// PerSecond is the number of calls in any one second, or zero if calls are not limited.
	PerSecond float64
	// Cold says that the limit applies now. While it does not, calls are still counted, so that it holds from the moment it does.
	Cold bool
}

// window holds the times of the newest calls to an upstream, as many as the limit allows in its span.
type window struct {
	// sent is a ring in which next is the position of the oldest time.
	sent []time.Time
	next int
	// newest is the time of the newest call, also while there is no limit.
	newest time.Time
}

// capacityOf returns the number of calls that a limit allows in the returned time, which is a second or, for limits below one call a
// second, longer.
func (l ColdLimit) capacityOf() (int, time.Duration) {
	calls := min(max(1, int(l.PerSecond)), maxWindowCalls)
	return calls, max(windowDuration, time.Duration(float64(calls)/min(l.PerSecond, maxWindowCalls)*float64(time.Second)))
}

// delay returns how long it takes until the limit allows another call, or zero if it does now.
func (w *window) delay(limit ColdLimit, now time.Time) time.Duration {
	if limit.PerSecond <= 0 || !limit.Cold {
		return 0
	}
	calls, span := limit.capacityOf()
	w.resize(calls)
	partCalls := (calls + windowParts - 1) / windowParts
	allowedAt := w.sent[w.next].Add(span)
	if partAllowedAt := w.sent[(w.next+calls-partCalls)%calls].Add(span / windowParts); partAllowedAt.After(allowedAt) {
		allowedAt = partAllowedAt
	}
	if delay := allowedAt.Sub(now); delay > 0 {
		return delay + delayMargin
	}
	return 0
}

// add counts a call that is sent now.
func (w *window) add(limit ColdLimit, now time.Time) {
	w.newest = now
	if limit.PerSecond <= 0 {
		w.sent, w.next = nil, 0
		return
	}
	calls, _ := limit.capacityOf()
	w.resize(calls)
	w.sent[w.next] = now
	w.next = (w.next + 1) % calls
}

// resize changes the number of calls that are kept. Calls that were not counted are taken to be as new as the oldest one that was.
func (w *window) resize(calls int) {
	if len(w.sent) == calls {
		return
	}
	ordered := append(append([]time.Time{}, w.sent[w.next:]...), w.sent[:w.next]...)
	uncounted := w.newest
	if len(ordered) > 0 {
		uncounted = ordered[0]
	}
	resized := make([]time.Time, calls)
	for i := range resized {
		resized[i] = uncounted
		if kept := len(ordered) - calls + i; kept >= 0 {
			resized[i] = ordered[kept]
		}
	}
	w.sent, w.next = resized, 0
}
