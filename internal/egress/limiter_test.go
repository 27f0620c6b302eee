package egress

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	narrowLink   = 14e6
	averageBody  = 90_000
	objective    = 800 * time.Millisecond
	testDuration = 20 * time.Second
)

// linkLoad is a load of downloads on the link of one VM.
type linkLoad struct {
	perSecond        float64
	secondaryPercent int
}

// linkResult counts what became of the downloads and how long the link made small messages wait.
type linkResult struct {
	asked, inTime, late, refused int
	served, secondaryServed      int
	worstBacklog                 time.Duration
}

// simulatedLink sends what is written to it in order of arrival, as a real one does.
type simulatedLink struct {
	mu           sync.Mutex
	freeAt       time.Time
	worstBacklog time.Duration
}

// send returns when the link has sent some bytes.
func (l *simulatedLink) send(bytes int) {
	l.mu.Lock()
	if l.freeAt.Before(time.Now()) {
		l.freeAt = time.Now()
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * bitsPerByte / narrowLink * float64(time.Second)))
	wait := time.Until(l.freeAt)
	l.worstBacklog = max(l.worstBacklog, wait)
	l.mu.Unlock()
	time.Sleep(wait)
}

// playLink plays a load in virtual time: a server runs each admitted call for some time, then the link sends the
// response.
func playLink(t *testing.T, load linkLoad, limiter func() *Limiter) linkResult {
	t.Helper()
	var result linkResult
	link := &simulatedLink{}
	synctest.Test(t, func(t *testing.T) {
		l, random := limiter(), rand.New(rand.NewPCG(1, 2))
		warm, _ := l.Reserve(Request{Route: "download", RespondBy: time.Now().Add(objective)})
		require.NoError(t, warm.Send(t.Context(), averageBody))
		var mu sync.Mutex
		var calls sync.WaitGroup
		for start := time.Now(); time.Since(start) < testDuration; {
			time.Sleep(time.Duration(random.ExpFloat64() / load.perSecond * float64(time.Second)))
			dueAt, secondary := time.Now().Add(objective), random.IntN(100) < load.secondaryPercent
			reservation, admitted := l.Reserve(Request{Route: "download", RespondBy: dueAt, Secondary: secondary})
			mu.Lock()
			result.asked++
			if !admitted {
				result.refused++
			}
			mu.Unlock()
			if !admitted {
				continue
			}
			bytes := int(averageBody * (0.4 + 1.2*random.Float64()))
			calls.Go(func() {
				time.Sleep(130 * time.Millisecond)
				if reservation.Send(context.Background(), bytes) != nil {
					return
				}
				link.send(bytes)
				mu.Lock()
				defer mu.Unlock()
				result.served++
				if secondary {
					result.secondaryServed++
				}
				if time.Now().After(dueAt) {
					result.late++
				} else {
					result.inTime++
				}
			})
		}
		calls.Wait()
		result.worstBacklog = link.worstBacklog
	})
	t.Logf("%+v", result)
	return result
}

func newLimited() *Limiter { return New(Config{BitsPerSecond: narrowLink, Now: time.Now}) }

// Downloads of more bytes than the link carries: what it can carry is served in time, the rest is refused at once, and small
// messages never wait for more than a response or two.
func TestDownloadsBeyondTheLink(t *testing.T) {
	const perSecondCarried = largeFraction * narrowLink / bitsPerByte / averageBody
	tests := []struct {
		name string
		load linkLoad
	}{
		{"half of the link", linkLoad{perSecond: perSecondCarried / 2}},
		{"one and a half times the link", linkLoad{perSecond: 1.5 * perSecondCarried}},
		{"four times the link", linkLoad{perSecond: 4 * perSecondCarried}},
		{"four times the link, half of it secondary", linkLoad{perSecond: 4 * perSecondCarried, secondaryPercent: 50}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			result := playLink(t, tt.load, newLimited)
			carried := min(tt.load.perSecond, perSecondCarried) * testDuration.Seconds()
			require.GreaterOrEqual(t, float64(result.inTime), 0.9*carried)
			require.LessOrEqual(t, float64(result.late), 0.05*carried)
			// The largest body takes 82 ms.
			require.Less(t, result.worstBacklog, 100*time.Millisecond)
			require.LessOrEqual(t, float64(result.secondaryServed), 0.1*carried)
		})
	}
	t.Run("the link without a limiter collapses", func(t *testing.T) {
		result := playLink(t, linkLoad{perSecond: 1.5 * perSecondCarried}, func() *Limiter { return New(Config{Now: time.Now}) })
		require.Less(t, float64(result.inTime), 0.5*perSecondCarried*testDuration.Seconds())
		require.Greater(t, result.worstBacklog, time.Second)
	})
}

func TestReservations(t *testing.T) {
	now := time.Unix(1000, 0)
	newLearned := func() *Limiter {
		l := New(Config{BitsPerSecond: narrowLink, Now: func() time.Time { return now }})
		l.averageBytes["download"] = averageBody
		return l
	}
	t.Run("a cancelled one leaves its room to others", func(t *testing.T) {
		l := newLearned()
		request := Request{Route: "download", RespondBy: now.Add(100 * time.Millisecond)}
		first, admitted := l.Reserve(request)
		require.True(t, admitted)
		_, admitted = l.Reserve(request)
		require.False(t, admitted)
		first.Cancel()
		first.Cancel()
		_, admitted = l.Reserve(request)
		require.True(t, admitted)
	})
	t.Run("a call without a limit waits for its turn", func(t *testing.T) {
		l := newLearned()
		l.freeAt = now.Add(time.Hour)
		_, admitted := l.Reserve(Request{Route: "download"})
		require.True(t, admitted)
	})
	t.Run("routes with small responses are not limited", func(t *testing.T) {
		l := newLearned()
		_, admitted := l.Reserve(Request{Route: "lookup", RespondBy: now})
		require.True(t, admitted)
	})
	t.Run("a response that waits ends with its context", func(t *testing.T) {
		l := newLearned()
		l.freeAt = now.Add(time.Hour)
		r, admitted := l.Reserve(Request{Route: "lookup"})
		require.True(t, admitted)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, r.Send(ctx, averageBody), context.Canceled)
	})
}
