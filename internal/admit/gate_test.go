package admit

import (
	"context"
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

func newGate(waiting int) *Gate {
	return NewGate(Config{Slots: 1, Waiting: waiting, Now: time.Now})
}

// enter starts a call and returns its result once it is admitted or refused.
func enter(ctx context.Context, g *Gate, class wirepb.Class) <-chan error {
	result := make(chan error, 1)
	go func() { result <- g.Acquire(ctx, class) }()
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
			g.Release(time.Millisecond)
			requireAdmitted(t, high)
			require.Empty(t, low)
			g.Release(time.Millisecond)
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
			g.Release(time.Millisecond)
			requireAdmitted(t, commission)
		}},
		{"a call that would expire in the queue is refused at once", func(t *testing.T) {
			t.Helper()
			g := newGate(8)
			requireAdmitted(t, enter(t.Context(), g, normal))
			for range 50 {
				g.Release(time.Second)
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
			g.Release(time.Millisecond)
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
