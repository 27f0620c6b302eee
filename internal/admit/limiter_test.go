package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	browse   = wirepb.Class_CLASS_BROWSE
	normal   = wirepb.Class_CLASS_NORMAL
	critical = wirepb.Class_CLASS_CRITICAL
)

func newGate(waiting int) *Limiter {
	return NewLimiter(Config{Slots: 1, QueueSize: waiting, Now: time.Now})
}

// enter starts a call and returns its result once it is admitted or refused.
func enter(ctx context.Context, g *Limiter, class wirepb.Class) <-chan error {
	result := make(chan error, 1)
	go func() { result <- g.Acquire(ctx, Request{Class: class}) }()
	synctest.Wait()
	return result
}

func requireRefused(t *testing.T, result <-chan error, want wirepb.Refusal) {
	t.Helper()
	synctest.Wait()
	require.Len(t, result, 1, "the call still waits")
	var refused *RefusedError
	require.ErrorAs(t, <-result, &refused)
	require.Equal(t, want, refused.Refusal)
}

func requireAdmitted(t *testing.T, result <-chan error) {
	t.Helper()
	synctest.Wait()
	require.Len(t, result, 1, "the call still waits")
	require.NoError(t, <-result)
}

func TestGate(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"the highest class goes first", func(t *testing.T) {
			t.Helper()
			g := newGate(4)
			requireAdmitted(t, enter(t.Context(), g, browse))
			low, high := enter(t.Context(), g, browse), enter(t.Context(), g, critical)
			g.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, high)
			require.Empty(t, low)
			g.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, low)
		}},
		{"a browse is shed before a commission is refused", func(t *testing.T) {
			t.Helper()
			g := newGate(2)
			requireAdmitted(t, enter(t.Context(), g, normal))
			first, second := enter(t.Context(), g, browse), enter(t.Context(), g, browse)
			commission := enter(t.Context(), g, critical)
			requireRefused(t, second, wirepb.Refusal_REFUSAL_OVERLOADED)
			require.Empty(t, first)
			requireRefused(t, enter(t.Context(), g, browse), wirepb.Refusal_REFUSAL_OVERLOADED)
			g.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, commission)
		}},
		{"a call that would expire in the queue is refused at once", func(t *testing.T) {
			t.Helper()
			g := newGate(8)
			requireAdmitted(t, enter(t.Context(), g, normal))
			for range 50 {
				g.Release(Request{Class: normal}, time.Second)
				requireAdmitted(t, enter(t.Context(), g, normal))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			requireRefused(t, enter(ctx, g, normal), wirepb.Refusal_REFUSAL_OVERLOADED)
		}},
		{"a call that expires while it waits holds no slot", func(t *testing.T) {
			t.Helper()
			g := newGate(2)
			requireAdmitted(t, enter(t.Context(), g, normal))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			expired := enter(ctx, g, normal)
			time.Sleep(time.Second)
			requireRefused(t, expired, wirepb.Refusal_REFUSAL_EXPIRED)
			g.Release(Request{Class: normal}, time.Millisecond)
			require.Zero(t, g.Running())
			require.Zero(t, g.LoadPermille())
		}},
		{"a closed gate refuses those that wait and come", func(t *testing.T) {
			t.Helper()
			g := newGate(2)
			requireAdmitted(t, enter(t.Context(), g, normal))
			waiting := enter(t.Context(), g, critical)
			g.Close()
			requireRefused(t, waiting, wirepb.Refusal_REFUSAL_LEAVING)
			requireRefused(t, enter(t.Context(), g, critical), wirepb.Refusal_REFUSAL_LEAVING)
			require.Equal(t, 1, g.Running())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

// Sustained overload: more calls come than the upstream serves. Each call that is served must be served within its
// objective; what does not fit is refused at once, so that no standing queue makes all of them late.
func TestOverloadKeepsWhatIsServedWithinItsObjective(t *testing.T) {
	const (
		slots     = 4
		service   = 100 * time.Millisecond
		aim       = 300 * time.Millisecond
		perSecond = 3 * slots * int(time.Second/service) / 2
		seconds   = 10
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewLimiter(Config{Slots: slots, QueueSize: 10 * slots, Now: time.Now})
		var within, late, refused atomic.Int32
		var wait sync.WaitGroup
		for range seconds * perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			wait.Go(func() {
				arrived := time.Now()
				if g.Acquire(t.Context(), Request{Class: normal, AnswerBy: arrived.Add(aim)}) != nil {
					refused.Add(1)
					require.Equal(t, arrived, time.Now(), "a call waited for its refusal")
					return
				}
				time.Sleep(service)
				g.Release(Request{Class: normal}, service)
				if time.Since(arrived) <= aim+service {
					within.Add(1)
				} else {
					late.Add(1)
				}
			})
		}
		wait.Wait()
		capacity := int32(seconds * slots * int(time.Second/service))
		require.GreaterOrEqual(t, within.Load(), capacity*9/10, "the slots were not kept busy")
		require.Less(t, late.Load(), capacity/20)
		require.Positive(t, refused.Load())
	})
}

// Calls of a higher class keep coming in between: the one that waits must not be held until its deadline.
func TestOvertakenCallIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(100)
		require.NoError(t, g.Acquire(t.Context(), Request{Class: normal}))
		arrived := time.Now()
		low := make(chan error, 1)
		go func() {
			low <- g.Acquire(t.Context(), Request{Class: browse, AnswerBy: arrived.Add(300 * time.Millisecond)})
		}()
		synctest.Wait()
		for range 20 {
			result := enter(t.Context(), g, critical)
			time.Sleep(50 * time.Millisecond)
			g.Release(Request{Class: normal}, 50*time.Millisecond)
			requireAdmitted(t, result)
		}
		requireRefused(t, low, wirepb.Refusal_REFUSAL_OVERLOADED)
	})
	synctest.Test(t, func(t *testing.T) {
		g := newGate(100)
		require.NoError(t, g.Acquire(t.Context(), Request{Class: critical}))
		began := time.Now()
		require.Error(t, g.Acquire(t.Context(), Request{Class: browse, AnswerBy: began.Add(300 * time.Millisecond)}))
		require.Equal(t, 300*time.Millisecond, time.Since(began), "a call was held beyond its objective")
	})
}
