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

func newLimiter(queueSize int) *Limiter {
	return NewLimiter(Config{Slots: 1, QueueSize: queueSize, Now: time.Now})
}

// startAcquire asks for a slot in the background; the channel receives the result once the call is admitted or refused.
func startAcquire(ctx context.Context, l *Limiter, class wirepb.Class) <-chan error {
	result := make(chan error, 1)
	go func() { result <- l.Acquire(ctx, Request{Class: class}) }()
	synctest.Wait()
	return result
}

func requireRefused(t *testing.T, result <-chan error, want wirepb.Refusal) {
	t.Helper()
	synctest.Wait()
	require.Len(t, result, 1, "the call is still queued")
	var refused *RefusedError
	require.ErrorAs(t, <-result, &refused)
	require.Equal(t, want, refused.Refusal)
}

func requireAdmitted(t *testing.T, result <-chan error) {
	t.Helper()
	synctest.Wait()
	require.Len(t, result, 1, "the call is still queued")
	require.NoError(t, <-result)
}

func TestLimiter(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"the highest class is admitted first", func(t *testing.T) {
			t.Helper()
			l := newLimiter(4)
			requireAdmitted(t, startAcquire(t.Context(), l, browse))
			low, high := startAcquire(t.Context(), l, browse), startAcquire(t.Context(), l, critical)
			l.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, high)
			require.Empty(t, low)
			l.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, low)
		}},
		{"a queued browse call is shed before a critical call is refused", func(t *testing.T) {
			t.Helper()
			l := newLimiter(2)
			requireAdmitted(t, startAcquire(t.Context(), l, normal))
			first, second := startAcquire(t.Context(), l, browse), startAcquire(t.Context(), l, browse)
			high := startAcquire(t.Context(), l, critical)
			requireRefused(t, second, wirepb.Refusal_REFUSAL_OVERLOADED)
			require.Empty(t, first)
			requireRefused(t, startAcquire(t.Context(), l, browse), wirepb.Refusal_REFUSAL_OVERLOADED)
			l.Release(Request{Class: normal}, time.Millisecond)
			requireAdmitted(t, high)
		}},
		{"a call that would expire in the queue is refused at once", func(t *testing.T) {
			t.Helper()
			l := newLimiter(8)
			requireAdmitted(t, startAcquire(t.Context(), l, normal))
			for range 50 {
				l.Release(Request{Class: normal}, time.Second)
				requireAdmitted(t, startAcquire(t.Context(), l, normal))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			requireRefused(t, startAcquire(ctx, l, normal), wirepb.Refusal_REFUSAL_OVERLOADED)
		}},
		{"a call that expires while it waits holds no slot", func(t *testing.T) {
			t.Helper()
			l := newLimiter(2)
			requireAdmitted(t, startAcquire(t.Context(), l, normal))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			expired := startAcquire(ctx, l, normal)
			time.Sleep(time.Second)
			requireRefused(t, expired, wirepb.Refusal_REFUSAL_EXPIRED)
			l.Release(Request{Class: normal}, time.Millisecond)
			require.Zero(t, l.Running())
			require.Zero(t, l.LoadPermille())
		}},
		{"a closed limiter refuses queued and new calls", func(t *testing.T) {
			t.Helper()
			l := newLimiter(2)
			requireAdmitted(t, startAcquire(t.Context(), l, normal))
			waiting := startAcquire(t.Context(), l, critical)
			l.Close()
			requireRefused(t, waiting, wirepb.Refusal_REFUSAL_LEAVING)
			requireRefused(t, startAcquire(t.Context(), l, critical), wirepb.Refusal_REFUSAL_LEAVING)
			require.Equal(t, 1, l.Running())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

// Guards against a standing queue in which all calls miss their objective: at 1.5 times the capacity, calls that are served
// must meet their objective, and the others must be refused at once.
func TestOverloadServesWithinObjective(t *testing.T) {
	const (
		slots       = 4
		serviceTime = 100 * time.Millisecond
		objective   = 300 * time.Millisecond
		perSecond   = 3 * slots * int(time.Second/serviceTime) / 2
		seconds     = 10
	)
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(Config{Slots: slots, QueueSize: 10 * slots, Now: time.Now})
		var within, late, refused atomic.Int32
		var group sync.WaitGroup
		for range seconds * perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			group.Go(func() {
				arrived := time.Now()
				if l.Acquire(t.Context(), Request{Class: normal, RespondBy: arrived.Add(objective)}) != nil {
					refused.Add(1)
					require.Equal(t, arrived, time.Now(), "a refused call had to wait")
					return
				}
				time.Sleep(serviceTime)
				l.Release(Request{Class: normal}, serviceTime)
				if time.Since(arrived) <= objective+serviceTime {
					within.Add(1)
				} else {
					late.Add(1)
				}
			})
		}
		group.Wait()
		capacity := int32(seconds * slots * int(time.Second/serviceTime))
		require.GreaterOrEqual(t, within.Load(), capacity*9/10, "the slots were not kept busy")
		require.Less(t, late.Load(), capacity/20)
		require.Positive(t, refused.Load())
	})
}

// A queued call that calls of higher classes keep overtaking must be refused at its objective, not at its deadline.
func TestQueuedCallIsRefusedAtObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(100)
		require.NoError(t, l.Acquire(t.Context(), Request{Class: normal}))
		arrived := time.Now()
		low := make(chan error, 1)
		go func() {
			low <- l.Acquire(t.Context(), Request{Class: browse, RespondBy: arrived.Add(300 * time.Millisecond)})
		}()
		synctest.Wait()
		for range 20 {
			result := startAcquire(t.Context(), l, critical)
			time.Sleep(50 * time.Millisecond)
			l.Release(Request{Class: normal}, 50*time.Millisecond)
			requireAdmitted(t, result)
		}
		requireRefused(t, low, wirepb.Refusal_REFUSAL_OVERLOADED)
	})
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(100)
		require.NoError(t, l.Acquire(t.Context(), Request{Class: critical}))
		started := time.Now()
		require.Error(t, l.Acquire(t.Context(), Request{Class: browse, RespondBy: started.Add(300 * time.Millisecond)}))
		require.Equal(t, 300*time.Millisecond, time.Since(started), "a call was queued beyond its objective")
	})
}
