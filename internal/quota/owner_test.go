package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// at returns a reading of a clock that was never suspended.
func at(elapsed time.Duration) Reading { return Reading{Fast: elapsed, Slow: elapsed} }

func newOwner(quotas map[string]Quota) *Owner {
	return NewOwner(OwnerConfig{Bounds: simulatedBounds, Quotas: func() map[string]Quota { return quotas }, FirstStamp: 1 << 31})
}

// handle passes a request of a node with a vote, or with none if the stamp is 0, and returns the stamp of the reply.
func handle(o *Owner, now Reading, node string, stamp, known uint32) (*wirepb.QuotaReply, uint32) {
	key := shardOf("a", minShards)
	reply := o.Handle(now, &wirepb.QuotaRequest{
		Node: node, KnownNodes: known, Needs: []*wirepb.QuotaNeed{{Workspace: key.String(), Tokens: stamp}, {Workspace: "a", Tokens: 1000}},
	})
	if len(reply.GetGrants()) == 0 {
		return reply, 0
	}
	return reply, reply.GetGrants()[0].GetTokens()
}

// Guards against votes that count although they are late, taken back, of another process or malformed.
func TestVotesThatDoNotCount(t *testing.T) {
	tests := map[string]struct {
		release bool
		known   uint32
		later   time.Duration
		forged  uint32
		share   float64
	}{
		"in time":                      {known: 2, later: time.Second, share: 0.5},
		"late":                         {known: 2, later: voteDuration + time.Millisecond},
		"overtaken by its taking back": {known: 2, later: time.Second, release: true},
		"of another process":           {known: 2, later: time.Second, forged: 7},
		"without a count of nodes":     {later: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOwner(map[string]Quota{"a": {Rate: 10}})
			_, stamp := handle(o, at(time.Second), "n", 0, tt.known)
			if tt.release {
				handle(o, at(time.Second+tt.later/2), "n", 0, tt.known)
			}
			if tt.forged != 0 {
				stamp = tt.forged
			}
			handle(o, at(time.Second+tt.later), "n", stamp, tt.known)
			require.InDelta(t, tt.share, o.ledgers[shardOf("a", minShards)].share, 1e-9)
		})
	}
}

// Guards against an owner that grants with votes that ran out while its VM was suspended, or fills its buckets for that time.
func TestSuspendedOwnerGrantsNothing(t *testing.T) {
	o := newOwner(map[string]Quota{"a": {Rate: 10}})
	_, stamp := handle(o, at(time.Second), "n", 0, 1)
	_, stamp = handle(o, at(1100*time.Millisecond), "n", stamp, 1)
	reply, _ := handle(o, at(2*time.Second), "n", stamp, 1)
	require.Positive(t, reply.GetGrants()[1].GetTokens())
	reply, _ = handle(o, Reading{Fast: time.Minute, Slow: 2 * time.Second}, "m", 0, 1)
	require.True(t, reply.GetUnavailable())
}

// Guards against tokens that are used after their validity, which only the fast clock shows after a suspension of the VM.
func TestSuspendedNodeUsesNoExpiredTokens(t *testing.T) {
	s := NewStock(StockConfig{Node: "n"})
	s.space("a").add(grant{tokens: 2, expires: time.Second})
	require.Equal(t, Admitted, s.Take(at(500*time.Millisecond), "a").Verdict)
	require.Equal(t, Waiting, s.Take(Reading{Fast: time.Minute, Slow: 600 * time.Millisecond}, "a").Verdict)
}

// Guards against a clock that misses a suspension, which only the wall clock shows, or that goes back when the wall clock is set back.
func TestClockCountsSuspensions(t *testing.T) {
	start := time.Now()
	now := start
	c := NewClock(func() time.Time { return now })
	now = start.Add(time.Second)
	require.Equal(t, at(time.Second), c.Read())
	now = now.Round(0).Add(10 * time.Second)
	require.GreaterOrEqual(t, c.Read().Fast, 11*time.Second)
	before := c.Read().Fast
	now = now.Add(-time.Hour)
	require.GreaterOrEqual(t, c.Read().Fast, before)
}

// Guards against a limit that would exceed the allowance, or never grant a token.
func TestLimitKeepsTheAllowance(t *testing.T) {
	for _, q := range []Quota{{Rate: 1}, {Rate: 3, Burst: 100}, {Rate: 50}, {Rate: 50, Burst: 50}, {Rate: 5000}, {Rate: 5000, Burst: 10_000}} {
		l := simulatedBounds.limitOf(q)
		window := simulatedBounds.Window + l.valid
		require.LessOrEqual(t, l.fill*window.Seconds()+l.capacity, simulatedBounds.Allowance(q))
		require.LessOrEqual(t, l.rate*window.Seconds()+l.credit, simulatedBounds.Allowance(q))
		require.GreaterOrEqual(t, l.rate, 0.75*q.Rate, "%+v", q)
		require.GreaterOrEqual(t, l.capacity, 1.0)
	}
}
