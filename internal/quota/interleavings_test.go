package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	interleavings = flag.Int("interleavings", 12, "number of random interleavings")
	firstSeed     = flag.Int("first-seed", 1, "seed of the first random interleaving")
)

// workloads returns small and large workspaces whose demand is a part of their quota.
func workloads(random *rand.Rand, nodeCount, count int, part float64) map[string]*workload {
	loads := map[string]*workload{}
	for i := range count {
		rate := 1.7 + random.Float64()*3.3
		if i%8 == 0 {
			rate = 40 + random.Float64()*160
		}
		q := Quota{Rate: rate, Burst: rate * random.Float64()}
		loads["workspace-"+strconv.Itoa(i)] = &workload{quota: q, demand: q.Rate * part, weights: uneven(random, nodeCount)}
	}
	return loads
}

// disturb causes one disturbance at random.
func (s *simulation) disturb() {
	names := s.names()
	name := names[s.random.IntN(len(names))]
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch s.random.IntN(8) {
	case 0:
		s.kill(0.55, s.between(time.Second, 10*time.Second))
	case 1:
		s.kill(0.1, s.between(300*time.Millisecond, 3*time.Second))
	case 2:
		if s.now >= s.healAt {
			s.cut(0.35, s.between(4*time.Second, 12*time.Second))
		}
	case 3:
		s.suspend(n, s.between(time.Second, 9*time.Second), s.random.IntN(2) == 0)
	case 4:
		s.stop(n)
	case 5:
		s.lower(name, s.random.Float64())
	case 6:
		s.killOwners(names)
	default:
	}
	s.surge(name, 3+s.random.Float64()*4.6, s.between(5*time.Second, 8*time.Second), s.random.IntN(2) == 0)
	s.after(s.between(0, 6*time.Second), s.disturb)
}

// killOwners ends the nodes that hold most votes for a few workspaces, or suspends them.
func (s *simulation) killOwners(names []string) {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		for _, l := range n.owner.ledgers {
			if n.alive && l.share > 0.3 && l.buckets[names[0]] != nil {
				if s.random.IntN(2) == 0 {
					s.suspend(n, s.between(time.Second, 9*time.Second), true)
				} else {
					n.alive = false
					s.after(s.between(300*time.Millisecond, 8*time.Second), func() { s.start(n) })
				}
			}
		}
	}
}

// Guards the bound of calls in any window against kills, cuts, suspended VMs and processes, planned stops, lost and late messages,
// changes of owners and lower quotas.
func TestBoundHoldsInRandomInterleavings(t *testing.T) {
	t.Parallel()
	closest, calls, refused, unavailable := 0.0, 0, 0, 0
	for i := range *interleavings {
		seed := uint64(i + *firstSeed)
		nodeCount := []int{3, 16, 16, 89}[seed%4]
		random := rand.New(rand.NewPCG(seed, 2))
		s := newSimulation(seed, nodeCount, workloads(random, nodeCount, 10, 0.6+random.Float64()))
		s.lossRate = 0.01
		s.after(s.between(0, 6*time.Second), s.disturb)
		s.run(40 * time.Second)
		closest = max(closest, requireBound(t, s, fmt.Sprintf("seed %d, %d nodes", seed, nodeCount)))
		for _, load := range s.loads {
			calls, refused, unavailable = calls+load.calls, refused+load.refused, unavailable+load.unavailable
		}
	}
	t.Logf("%d calls, %.3f refused over the quota, %.3f without an owner; at most %.3f of an allowance used",
		calls, float64(refused)/float64(calls), float64(unavailable)/float64(calls), closest)
}

// Guards against refusals of calls below the quota in an undisturbed deployment with uneven demand, in which small workspaces have less
// than a call a second at most nodes, and against too many messages.
func TestDemandBelowTheQuotaIsServed(t *testing.T) {
	t.Parallel()
	const warmUp, duration = 5, 25
	tests := map[string]struct {
		nodes, workspaces           int
		maxSent, maxServed, maxLost float64
	}{
		"3 nodes":      {nodes: 3, workspaces: 87, maxSent: 40, maxServed: 80, maxLost: 0.005},
		"16 nodes":     {nodes: 16, workspaces: 87, maxSent: 30, maxServed: 150, maxLost: 0.005},
		"89 nodes":     {nodes: 89, workspaces: 87, maxSent: 20, maxServed: 250, maxLost: 0.005},
		"23,000 nodes": {nodes: 23_000, workspaces: 10, maxSent: 14, maxServed: 120, maxLost: 0.005},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(7, tt.nodes, workloads(rand.New(rand.NewPCG(1, 2)), tt.nodes, tt.workspaces, 0.6))
			s.run(warmUp * time.Second)
			for _, load := range s.loads {
				load.calls, load.refused, load.unavailable = 0, 0, 0
			}
			for _, n := range s.nodes {
				n.asked, n.received = 0, 0
			}
			s.run(duration * time.Second)
			calls, lost, sent, served, all, asking := 0, 0, 0, 0, 0, 0
			for _, l := range s.loads {
				calls, lost = calls+l.calls, lost+l.refused+l.unavailable
			}
			for _, n := range s.nodes {
				sent, served, all = max(sent, n.asked), max(served, n.received), all+n.asked
				if n.asked > 0 {
					asking++
				}
			}
			const seconds = duration - warmUp
			t.Logf("%d calls, %d lost; requests a second: %.1f by a node on average, %.1f at most, %.1f to a node at most; at most %.2f of an allowance used",
				calls, lost, float64(all)/seconds/float64(asking), float64(sent)/seconds, float64(served)/seconds, requireBound(t, s, name))
			require.Less(t, float64(lost), tt.maxLost*float64(calls))
			require.Less(t, float64(sent)/seconds, tt.maxSent)
			require.Less(t, float64(served)/seconds, tt.maxServed)
		})
	}
}
