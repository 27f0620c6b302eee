package admit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// kindOfCall is one kind of call of a load.
type kindOfCall struct {
	name      string
	workspace string
	class     wirepb.Class
	work      time.Duration
	objective time.Duration
	// share is the part of the offered work.
	share float64
}

// figures count what became of the calls of one kind.
type figures struct{ offered, onTime, late, refused int }

// slotPolicy gives slots to calls; it is a Limiter or a baseline.
type slotPolicy struct {
	acquire func(ctx context.Context, request Request) error
	release func(request Request, held time.Duration)
}

func limiterPolicy(slots int, policy string) slotPolicy {
	l := NewLimiter(Config{Slots: slots, QueueSize: 4 * slots, Now: time.Now, Policy: policy})
	return slotPolicy{acquire: l.Acquire, release: l.Release}
}

// baseline is a queue that refuses calls only when they are due or when it is full.
type baseline struct {
	mu      sync.Mutex
	free    int
	limit   int
	before  func(a, b Request) bool
	waiting []*waitingCall
}

func baselinePolicy(slots int, before func(a, b Request) bool) slotPolicy {
	b := &baseline{free: slots, limit: 4 * slots, before: before}
	return slotPolicy{acquire: b.acquire, release: func(Request, time.Duration) { b.release() }}
}

func (b *baseline) acquire(_ context.Context, request Request) error {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.mu.Unlock()
		return nil
	}
	if len(b.waiting) == b.limit {
		b.mu.Unlock()
		return &RefusedError{Refusal: wirepb.Refusal_REFUSAL_OVERLOADED}
	}
	c := &waitingCall{waiter: waiter{decision: make(chan wirepb.Refusal, 1)}, request: request}
	b.waiting = append(b.waiting, c)
	b.mu.Unlock()
	select {
	case <-c.decision:
		return nil
	case <-time.After(time.Until(request.RespondBy)):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, c); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return &RefusedError{Refusal: wirepb.Refusal_REFUSAL_OVERLOADED}
	}
	return nil
}

func (b *baseline) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.free++
		return
	}
	first := 0
	for i, c := range b.waiting {
		if b.before(c.request, b.waiting[first].request) {
			first = i
		}
	}
	b.waiting[first].decision <- wirepb.Refusal_REFUSAL_UNSPECIFIED
	b.waiting = slices.Delete(b.waiting, first, first+1)
}

// play offers calls to an upstream at a multiple of its capacity for some seconds and returns what became of them.
func play(t *testing.T, policy slotPolicy, slots int, load float64, kinds []kindOfCall, seed uint64) []figures {
	t.Helper()
	const length = 20 * time.Second
	result := make([]figures, len(kinds))
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		var group sync.WaitGroup
		next := make([]time.Time, len(kinds))
		gap := func(k int) time.Duration {
			perSecond := load * kinds[k].share * float64(slots) / kinds[k].work.Seconds()
			return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		}
		started := time.Now()
		for k := range kinds {
			next[k] = started.Add(gap(k))
		}
		for {
			k := 0
			for j := range kinds {
				if next[j].Before(next[k]) {
					k = j
				}
			}
			if next[k].Sub(started) > length {
				break
			}
			time.Sleep(time.Until(next[k]))
			next[k] = next[k].Add(gap(k))
			kind, held := kinds[k], time.Duration((0.6+0.8*random.Float64())*float64(kinds[k].work))
			result[k].offered++
			group.Go(func() {
				arrived := time.Now()
				request := Request{Class: kind.class, Route: kind.name, Workspace: kind.workspace, RespondBy: arrived.Add(kind.objective)}
				err := policy.acquire(t.Context(), request)
				if err == nil {
					time.Sleep(held)
					policy.release(request, held)
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					result[k].refused++
				case time.Since(arrived) <= kind.objective:
					result[k].onTime++
				default:
					result[k].late++
				}
			})
		}
		group.Wait()
	})
	return result
}

// Guards against refusals that cost callers more than necessary when one upstream gets more than it can serve, on the loads of two
// deployments: tallies with three times the work of payouts in one class, and two classes in a burst of the less urgent one.
func TestLeastLossServesMoreCallsInTime(t *testing.T) {
	tallies := []kindOfCall{
		{name: "tally", class: browse, work: 340 * time.Millisecond, objective: 1200 * time.Millisecond, share: 0.77},
		{name: "payout", class: browse, work: 110 * time.Millisecond, objective: 500 * time.Millisecond, share: 0.09},
		{name: "ledger", class: browse, work: 40 * time.Millisecond, objective: 150 * time.Millisecond, share: 0.14},
	}
	deposits := []kindOfCall{
		{name: "tables", class: normal, work: 170 * time.Millisecond, objective: 500 * time.Millisecond, share: 0.6},
		{name: "deposit", class: browse, work: 230 * time.Millisecond, objective: 1200 * time.Millisecond, share: 0.4},
	}
	tests := []struct {
		name  string
		kinds []kindOfCall
		slots int
		// short are the kinds that must be in time, since giving up a longer call of their class loses fewer calls.
		short []int
	}{
		{"long and short calls of one class", tallies, 12, []int{1, 2}},
		{"two classes", deposits, 6, nil},
	}
	for _, tt := range tests {
		for _, load := range []float64{0.8, 1.2, 1.6} {
			t.Run(tt.name, func(t *testing.T) {
				onTime := map[string]int{}
				for _, p := range []struct {
					name   string
					policy slotPolicy
				}{
					{PolicyArrival, limiterPolicy(tt.slots, PolicyArrival)},
					{"earliest deadline", baselinePolicy(tt.slots, func(a, b Request) bool { return a.RespondBy.Before(b.RespondBy) })},
					{"priority", baselinePolicy(tt.slots, func(a, b Request) bool { return a.Class > b.Class })},
					{PolicyLeastLoss, limiterPolicy(tt.slots, PolicyLeastLoss)},
				} {
					result := play(t, p.policy, tt.slots, load, tt.kinds, 1)
					for k, f := range result {
						onTime[p.name] += f.onTime
						t.Logf("load %.1f, %s: %s offered %d, on time %d, late %d, refused %d", load, p.name, tt.kinds[k].name, f.offered, f.onTime, f.late, f.refused)
					}
					if p.name == PolicyLeastLoss {
						requireNoneStarved(t, result)
						for _, k := range tt.short {
							require.Greater(t, float64(result[k].onTime), 0.9*float64(result[k].offered), tt.kinds[k].name)
						}
					}
				}
				require.GreaterOrEqual(t, onTime[PolicyLeastLoss], onTime[PolicyArrival]*98/100, "fewer calls in time than in order of arrival")
			})
		}
	}
}

// requireNoneStarved requires that each kind gets more than a quarter of the average share of its calls served.
func requireNoneStarved(t *testing.T, result []figures) {
	t.Helper()
	offered, served := 0, 0
	for _, f := range result {
		offered, served = offered+f.offered, served+f.onTime+f.late
	}
	for _, f := range result {
		require.Greater(t, float64(f.onTime+f.late)/float64(f.offered), 0.25*float64(served)/float64(offered))
	}
}

// Guards against workspaces of low priority that get nothing while one of high priority asks for more than the upstream can serve.
func TestNoWorkspaceStarves(t *testing.T) {
	kinds := []kindOfCall{
		{name: "r", workspace: "urgent", class: critical, work: 100 * time.Millisecond, objective: 500 * time.Millisecond, share: 0.7},
		{name: "r", workspace: "usual", class: normal, work: 100 * time.Millisecond, objective: 500 * time.Millisecond, share: 0.2},
		{name: "r", workspace: "low", class: browse, work: 100 * time.Millisecond, objective: 500 * time.Millisecond, share: 0.1},
	}
	result := play(t, limiterPolicy(6, PolicyLeastLoss), 6, 2, kinds, 1)
	for k, f := range result {
		t.Logf("%s: offered %d, on time %d, late %d, refused %d", kinds[k].workspace, f.offered, f.onTime, f.late, f.refused)
	}
	requireNoneStarved(t, result)
	require.Greater(t, float64(result[0].onTime)/float64(result[0].offered), float64(result[2].onTime)/float64(result[2].offered))
}

// Guards against several short calls that are given up because a long one has to start first.
func TestLongCallIsGivenUpForShortOnes(t *testing.T) {
	now := time.Unix(0, 0)
	q := newLossQueue(1)
	add := func(name string, work, due time.Duration) {
		q.add(&waitingCall{request: Request{Class: normal, Route: name}, work: work, respondBy: now.Add(due)}, now)
	}
	add("long", 300*time.Millisecond, 500*time.Millisecond)
	for range 3 {
		add("short", 50*time.Millisecond, 350*time.Millisecond)
	}
	givenUp := q.giveUp(now.Add(50*time.Millisecond), 8)
	require.Len(t, givenUp, 1)
	require.Equal(t, "long", givenUp[0].request.Route)
	require.Len(t, q.waiting, 3)
}
