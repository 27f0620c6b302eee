package quota

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 10 * time.Millisecond
	callWait     = 100 * time.Millisecond
)

type refusedError struct{}

func (refusedError) Error() string { return "connection refused" }

// deployment is a few limiters in one process, connected without a network.
type deployment struct {
	mu       sync.Mutex
	limiters map[string]*Limiter
	stops    map[string]func()
	states   map[string]Member
}

func newDeployment(t *testing.T, quotas map[string]Quota) *deployment {
	t.Helper()
	d := &deployment{limiters: map[string]*Limiter{}, stops: map[string]func(){}, states: map[string]Member{}}
	for i := range 3 {
		name := "node-" + strconv.Itoa(i)
		d.states[name] = Member{Name: name, Live: true}
		d.limiters[name] = New(Config{
			Node: name, Life: 1, Bounds: simulatedBounds, Now: time.Now, Quotas: func() map[string]Quota { return quotas },
			Members: d.members, Joined: func() bool { return true }, Send: d.send,
		})
	}
	for name, l := range d.limiters {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.Run(ctx)
		}()
		d.stops[name] = func() {
			cancel()
			<-ended
		}
		t.Cleanup(d.stops[name])
	}
	return d
}

func (d *deployment) members(time.Duration) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var members []Member
	for _, m := range d.states {
		members = append(members, m)
	}
	return sorted(members)
}

func (d *deployment) send(_ context.Context, node string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
	d.mu.Lock()
	live := d.states[node].Live
	d.mu.Unlock()
	if !live {
		return nil, refusedError{}
	}
	return d.limiters[node].HandleRequest(request), nil
}

// owner returns the node that holds the votes in the shard of a workspace, or an empty string.
func (d *deployment) owner(workspace string) string {
	for name, l := range d.limiters {
		l.mu.Lock()
		ledger := l.owner.ledgers[shardOf(workspace, l.stock.shardCount)]
		owns := ledger != nil && ledger.share > 0.99
		l.mu.Unlock()
		if owns {
			return name
		}
	}
	return ""
}

// requireAdmitted checks that a node that is not the owner admits a call.
func (d *deployment) requireAdmitted(t *testing.T, workspace string) {
	t.Helper()
	require.Eventually(t, func() bool { return d.owner(workspace) != "" }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		for name, l := range d.limiters {
			if name != d.owner(workspace) && d.states[name].Live {
				return l.Take(t.Context(), workspace, callWait).Admitted
			}
		}
		return false
	}, waitTimeout, pollInterval)
}

// Guards against a deployment that grants nothing after its owner was killed, or after it stopped as planned.
func TestCallsAreAdmittedAfterTheOwnerIsGone(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run("planned stop "+strconv.FormatBool(planned), func(t *testing.T) {
			d := newDeployment(t, map[string]Quota{"a": {Rate: 50, Burst: 50}})
			d.requireAdmitted(t, "a")
			owner := d.owner("a")
			if planned {
				d.limiters[owner].Leave()
			}
			d.stops[owner]()
			d.mu.Lock()
			d.states[owner] = Member{Name: owner, Left: planned}
			d.mu.Unlock()
			d.limiters[owner].mu.Lock()
			d.limiters[owner].owner.Close()
			d.limiters[owner].mu.Unlock()
			require.Eventually(t, func() bool {
				for name, l := range d.limiters {
					if name != owner && l.Take(t.Context(), "a", callWait).Admitted {
						return true
					}
				}
				return false
			}, waitTimeout, pollInterval)
		})
	}
}

// Guards against calls over the quota that are admitted, or refused without a time to return, and against a token that is lost with a call
// that did not run.
func TestCallsOverTheQuotaAreRefused(t *testing.T) {
	quotas := map[string]Quota{"a": {Rate: 0.1}, "unlimited": {}}
	d := newDeployment(t, quotas)
	d.requireAdmitted(t, "a")
	limiter := d.limiters["node-0"]
	require.Eventually(t, func() bool {
		decision := limiter.Take(t.Context(), "a", callWait)
		if decision.Admitted {
			return false
		}
		require.Positive(t, decision.RetryAfter)
		return !decision.Unavailable
	}, waitTimeout, time.Millisecond)
	require.True(t, limiter.Take(t.Context(), "unlimited", 0).Admitted)
	require.True(t, limiter.Take(t.Context(), "unknown", 0).Admitted)
	limiter.mu.Lock()
	limiter.stock.space("a").add(grant{tokens: 1, expires: limiter.clock.Read().Fast + time.Minute})
	limiter.mu.Unlock()
	decision := limiter.Take(t.Context(), "a", 0)
	require.True(t, decision.Admitted)
	require.False(t, limiter.Take(t.Context(), "a", 0).Admitted)
	decision.Release()
	require.True(t, limiter.Take(t.Context(), "a", 0).Admitted)
}

// Guards against a malformed request that is granted tokens, or that is not counted.
func TestMalformedRequestsGetNothing(t *testing.T) {
	l := New(Config{Node: "n", Now: time.Now, Bounds: simulatedBounds, Quotas: func() map[string]Quota { return map[string]Quota{"a": {Rate: 100}} }})
	for i, name := range []string{"", "#", "#1", "#2/2", "#-1/2", "#0/99999999", "#0/0"} {
		reply := l.HandleRequest(&wirepb.QuotaRequest{Node: "m", KnownNodes: 1, Needs: []*wirepb.QuotaNeed{{Workspace: name}, {Workspace: "a", Tokens: 1}}})
		require.True(t, reply.GetUnavailable(), name)
		require.Empty(t, reply.GetGrants(), name)
		require.Equal(t, uint64(i+1), l.Counters.Invalid.Load(), name)
	}
}

// Guards against messages in a deployment without quotas.
func TestNoMessageWithoutQuotas(t *testing.T) {
	d := newDeployment(t, map[string]Quota{"a": {}})
	time.Sleep(10 * tickInterval)
	for _, l := range d.limiters {
		require.Zero(t, l.Counters.Requests.Load())
		require.Empty(t, l.owner.ledgers)
	}
}

// Guards against a node that takes itself for the only one for seconds after its start, since it sees the others only when its configuration
// has come.
func TestViewIsReadOnceThereAreQuotas(t *testing.T) {
	var started atomic.Bool
	quotas := map[string]Quota{"a": {Rate: 100}}
	l := New(Config{
		Node: "n", Now: time.Now, Bounds: simulatedBounds, Joined: started.Load,
		Quotas: func() map[string]Quota {
			if started.Load() {
				return quotas
			}
			return nil
		},
		Members: func(time.Duration) []Member {
			if started.Load() {
				return []Member{{Name: "m", Live: true}, {Name: "n", Live: true}}
			}
			return []Member{{Name: "n", Live: true}}
		},
	})
	known := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.stock.view.counted
	}
	l.updateView()
	require.Equal(t, 1, known())
	started.Store(true)
	l.updateViewIfDue()
	require.Equal(t, 2, known())
}
