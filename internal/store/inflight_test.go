package store

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// inVirtualTime runs a test with a client of a platform in memory.
func inVirtualTime(t *testing.T, test func(t *testing.T, c *Client, platform *emul.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform := emul.NewPlatform(emul.PlatformConfig{})
		dial, stop := platform.ServeInMemory()
		t.Cleanup(stop)
		c := New(Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: dial})
		t.Cleanup(c.Close)
		platform.PutRow("op", "config", []byte("1"))
		test(t, c, platform)
	})
}

// startFeed starts a feed that waits for a minute and returns a channel with its error.
func startFeed(ctx context.Context, c *Client) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Feed(ctx, "op", 1, time.Minute)
		done <- err
	}()
	synctest.Wait()
	return done
}

// requireUnanswered requires that a read is not answered within the timeout.
func requireUnanswered(t *testing.T, c *Client) {
	t.Helper()
	_, err := c.Row(t.Context(), "a")
	var unanswered *NoResponseError
	require.ErrorAs(t, err, &unanswered)
}

// requireAnswered requires that a read is answered.
func requireAnswered(t *testing.T, c *Client) {
	t.Helper()
	_, err := c.Row(t.Context(), "a")
	require.NoError(t, err)
	synctest.Wait()
}

// Guards against operations that wait for their own timeout after a silence of the platform in which their answers were lost (CONFIG).
func TestOperationsOfASilenceAreAbandoned(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *Client, platform *emul.Platform) {
		t.Helper()
		feed := startFeed(t.Context(), c)
		platform.SetFaults(emul.PlatformFaults{Silent: true})
		requireUnanswered(t, c)
		require.Empty(t, feed, "the silence goes on")
		write := make(chan error, 1)
		go func() {
			_, err := c.Transact(t.Context(), &wirepb.Transaction{})
			write <- err
		}()
		synctest.Wait()
		platform.SetFaults(emul.PlatformFaults{})
		requireAnswered(t, c)
		var abandoned *AbandonedError
		require.ErrorAs(t, <-feed, &abandoned)
		err := <-write
		require.ErrorAs(t, err, &abandoned)
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown, "the write may have been carried out")
		require.True(t, c.IsReachable(), "what was abandoned says nothing about the platform now")
		require.Empty(t, c.inFlight.abandon)
	})
}

// Guards against feeds that are given up although nothing speaks against them.
func TestFeedOutlivesOtherOperations(t *testing.T) {
	tests := []struct {
		name   string
		faults emul.PlatformFaults
		fail   func(t *testing.T, c *Client)
	}{
		{"all answered", emul.PlatformFaults{}, requireAnswered},
		{"unavailable", emul.PlatformFaults{Down: true}, func(t *testing.T, c *Client) {
			t.Helper()
			_, err := c.Row(t.Context(), "a")
			require.Error(t, err)
		}},
		{"read cancelled by its caller", emul.PlatformFaults{Delay: time.Second}, func(t *testing.T, c *Client) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			time.AfterFunc(time.Microsecond, cancel)
			_, err := c.Row(ctx, "a")
			require.ErrorIs(t, err, context.Canceled)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, c *Client, platform *emul.Platform) {
				t.Helper()
				ctx, cancel := context.WithCancel(t.Context())
				feed := startFeed(ctx, c)
				platform.SetFaults(tt.faults)
				tt.fail(t, c)
				platform.SetFaults(emul.PlatformFaults{})
				requireAnswered(t, c)
				require.Empty(t, feed)
				cancel()
				require.ErrorIs(t, <-feed, context.Canceled)
				time.Sleep(time.Minute)
			})
		})
	}
}
