package admit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	limitWindow = 4 * time.Second
	// maxLimitFactor and maxLimitSlack bound the calls in limitWindow: so many times the limit, and so many more.
	maxLimitFactor = 1.5
	maxLimitSlack  = 5
	offerDuration  = 20 * time.Second
)

// pacedUpstream is a simulated upstream that responds to each call after 200 ms.
type pacedUpstream struct {
	*Pacer
	now time.Time
	// limit returns the limit that a response names at a time, or false.
	limit func(at time.Time) (float64, bool)
	// sent holds when calls were sent, pending when the responses to them arrive.
	sent    []time.Time
	pending []time.Time
}

var pacerStart = time.Unix(1_700_000_000, 0)

func newPacedUpstream(unknown bool, limit func(at time.Time) (float64, bool)) *pacedUpstream {
	u := &pacedUpstream{now: pacerStart, limit: limit}
	u.Pacer = NewPacer(PacerConfig{Now: func() time.Time { return u.now }, Unknown: unknown})
	return u
}

// offer offers calls at regular intervals for offerDuration; burst of them at a time.
func (u *pacedUpstream) offer(perSecond float64, burst int) {
	interval := time.Duration(float64(burst) / perSecond * float64(time.Second))
	for end := u.now.Add(offerDuration); u.now.Before(end); u.now = u.now.Add(interval) {
		for len(u.pending) > 0 && !u.pending[0].After(u.now) {
			arrived := u.pending[0]
			u.pending = u.pending[1:]
			perSecond, named := u.limit(arrived)
			u.ObserveLimit(perSecond, named, arrived.Add(-200*time.Millisecond))
		}
		for range burst {
			if u.Take(Request{Class: wirepb.Class_CLASS_NORMAL}, len(u.pending)+1) == 0 {
				u.sent = append(u.sent, u.now)
				u.pending = append(u.pending, u.now.Add(200*time.Millisecond))
			}
		}
	}
}

// maxSent returns the greatest number of calls sent in a limitWindow that begins in a stretch of time.
func (u *pacedUpstream) maxSent(from, to time.Duration) int {
	most := 0
	for i, first := range u.sent {
		if first.Before(pacerStart.Add(from)) || first.After(pacerStart.Add(to)) {
			continue
		}
		count := 0
		for _, at := range u.sent[i:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against an upstream that named a limit getting more calls than it allows (LIMIT).
func TestNamedLimitIsKept(t *testing.T) {
	constant := func(perSecond float64) func(time.Time) (float64, bool) {
		return func(time.Time) (float64, bool) { return perSecond, true }
	}
	for _, perSecond := range []float64{0, 0.4, 2, 12.8, 100} {
		for _, burst := range []int{1, 40} {
			u := newPacedUpstream(false, constant(perSecond))
			u.offer(200, burst)
			require.LessOrEqual(t, float64(u.maxSent(time.Second, time.Hour)), maxLimitFactor*perSecond*limitWindow.Seconds()+maxLimitSlack,
				"%g per second in bursts of %d", perSecond, burst)
			require.GreaterOrEqual(t, float64(len(u.sent)), 0.8*perSecond*offerDuration.Seconds(), "%g per second in bursts of %d: the limit is used", perSecond, burst)
		}
	}
	t.Run("an upstream that named it before the node started", func(t *testing.T) {
		u := newPacedUpstream(true, constant(2))
		u.offer(200, 40)
		require.LessOrEqual(t, u.maxSent(0, time.Hour), 17)
	})
	t.Run("a limit that shrinks", func(t *testing.T) {
		u := newPacedUpstream(false, func(at time.Time) (float64, bool) {
			if at.Before(pacerStart.Add(10 * time.Second)) {
				return 50, true
			}
			return 5, true
		})
		u.offer(200, 1)
		require.LessOrEqual(t, u.maxSent(11*time.Second, time.Hour), 35)
		require.GreaterOrEqual(t, u.maxSent(0, 5*time.Second), 190)
	})
	t.Run("a limit that ends", func(t *testing.T) {
		u := newPacedUpstream(false, func(at time.Time) (float64, bool) { return 5, at.Before(pacerStart.Add(10 * time.Second)) })
		u.offer(100, 1)
		require.GreaterOrEqual(t, u.maxSent(11*time.Second, 15*time.Second), 390)
	})
}

// A response that was on its way when the limit was named says nothing about the limit.
func TestEarlierResponseDoesNotEndALimit(t *testing.T) {
	now := pacerStart
	p := NewPacer(PacerConfig{Now: func() time.Time { return now }})
	require.True(t, p.ObserveLimit(5, true, now.Add(-time.Second)))
	require.False(t, p.ObserveLimit(0, false, now.Add(-time.Second)))
	limit, limited := p.Limit()
	require.True(t, limited)
	require.InDelta(t, 5, limit, 0)
	now = now.Add(time.Second)
	require.True(t, p.ObserveLimit(0, false, now))
	_, limited = p.Limit()
	require.False(t, limited)
}

// While a limit is scarce, calls of a higher rank find room that those of a lower rank must leave.
func TestLimitReservesCallsForHigherRanks(t *testing.T) {
	now := pacerStart
	p := NewPacer(PacerConfig{Now: func() time.Time { return now }})
	p.ObserveLimit(20, true, now)
	low, high := Request{Class: wirepb.Class_CLASS_BROWSE}, Request{Class: wirepb.Class_CLASS_CRITICAL}
	sent := 0
	for p.Take(low, 1) == 0 {
		sent++
	}
	require.Positive(t, sent)
	require.Positive(t, p.Delay(low, 0))
	require.Zero(t, p.Delay(high, 0))
	now = now.Add(p.Delay(low, 0))
	require.Zero(t, p.Take(low, 1), "a call may be sent after the delay that was told")
}

// Guards against a cold upstream getting more calls in a second than its limit allows and so many as may be in flight, although calls
// arrive later than they are sent.
func TestColdLimitIsKeptDespiteDelays(t *testing.T) {
	const maxDelay = 250 * time.Millisecond
	for _, perSecond := range []float64{0.5, 1, 3, 19.5, 300} {
		random := rand.New(rand.NewPCG(1, uint64(perSecond)))
		now := pacerStart
		p := NewPacer(PacerConfig{Now: func() time.Time { return now }})
		request := Request{Class: wirepb.Class_CLASS_NORMAL, Cold: ColdLimit{PerSecond: perSecond, Cold: true}}
		var sent, arrived []time.Time
		for ; now.Before(pacerStart.Add(offerDuration)); now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond)))) {
			for range 1 + random.IntN(40) {
				delay := p.Delay(request, 0)
				require.Equal(t, delay, p.Take(request, 1))
				if delay == 0 {
					sent = append(sent, now)
					arrived = append(arrived, now.Add(time.Duration(random.Int64N(int64(maxDelay)))))
				}
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		allowed := max(1, int(perSecond))
		require.LessOrEqual(t, maxInWindow(sent, time.Second), allowed, "%g per second, sent", perSecond)
		require.LessOrEqual(t, maxInWindow(arrived, time.Second), allowed+(allowed+3)/4, "%g per second, arrived", perSecond)
		require.GreaterOrEqual(t, float64(len(sent)), 0.9*math.Floor(perSecond)*offerDuration.Seconds(), "%g per second: the limit is used", perSecond)
	}
}

// A limit that is declared or raised while calls are being sent counts those that were not counted as if they had just been sent.
func TestColdLimitThatChanges(t *testing.T) {
	now := pacerStart
	p := NewPacer(PacerConfig{Now: func() time.Time { return now }})
	take := func(perSecond float64, cold bool) time.Duration {
		return p.Take(Request{Cold: ColdLimit{PerSecond: perSecond, Cold: cold}}, 1)
	}
	require.Zero(t, take(10, true), "no calls before")
	now = now.Add(time.Minute)
	require.Zero(t, take(0, true), "no limit")
	require.Positive(t, take(2, true), "declared after a call")
	now = now.Add(time.Second)
	require.Zero(t, take(2, false))
	require.Zero(t, take(2, false))
	require.Positive(t, take(30, true), "raised")
	now = now.Add(time.Second)
	require.Zero(t, take(30, true))
	require.Positive(t, take(1, true), "lowered")
}

// maxInWindow returns the greatest number of times in a window; the times are in order.
func maxInWindow(times []time.Time, width time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= width {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
