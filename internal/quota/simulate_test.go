package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	simulatedWait    = 100 * time.Millisecond
	simulatedTimeout = requestTimeout
	simulatedRefresh = 500 * time.Millisecond
	// maxDetailed is the greatest number of nodes each of which has a view of its own.
	maxDetailed   = 200
	simulatedTick = 50 * time.Millisecond
	// shareTolerance and grantTolerance allow for nodes that count the others differently for a moment and for clocks that run fast.
	shareTolerance = 1.03
	grantTolerance = 1.03
)

var simulatedBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is a node of a simulation, life by life.
type simNode struct {
	index, life     int
	name            string
	alive, leaving  bool
	side, centre    int
	started         time.Duration
	suspended       bool
	quotas          map[string]Quota
	stopped         time.Duration
	jumped          time.Duration
	speed           float64
	stock           *Stock
	owner           *Owner
	deferred        []func()
	waiters         map[string][]*waitingCall
	learnt          []time.Duration
	unreachable     []time.Duration
	lateness        []time.Duration
	received, asked int
}

type waitingCall struct{ done bool }

// workload is the demand of one workspace.
type workload struct {
	quota    Quota
	demand   float64
	weights  []float64
	admitted []time.Duration
	granted  []time.Duration
	// lowered is the quota from loweredAt on, if that is not 0.
	lowered   Quota
	loweredAt time.Duration
	// refused counts calls over the quota, unavailable calls without an owner.
	calls, refused, unavailable int
}

type simulation struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	nodes    []*simNode
	loads    map[string]*workload
	quotas   map[string]Quota
	lossRate float64
	healAt   time.Duration
	// mostShares is the most that all owners together held of a shard.
	mostShares float64
	shared     *View
}

func newSimulation(seed uint64, nodeCount int, loads map[string]*workload) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), loads: loads, quotas: map[string]Quota{}}
	for _, name := range s.names() {
		s.quotas[name] = loads[name].quota
	}
	for i := range nodeCount {
		n := &simNode{index: i, name: fmt.Sprintf("node-%d", i), centre: i % 4}
		s.nodes = append(s.nodes, n)
		if nodeCount <= maxDetailed {
			n.learnt, n.unreachable, n.lateness = make([]time.Duration, nodeCount), make([]time.Duration, nodeCount), make([]time.Duration, nodeCount)
		}
	}
	if nodeCount > maxDetailed {
		var members []Member
		for _, n := range s.nodes {
			members = append(members, Member{Name: n.name, Live: true})
		}
		s.shared = NewView(sorted(members))
	}
	for _, n := range s.nodes {
		if s.participates(n) {
			s.after(s.between(0, time.Second), func() { s.start(n) })
		}
	}
	for _, name := range s.names() {
		s.after(s.between(0, time.Second), func() { s.arrive(name) })
	}
	s.after(time.Second, s.observeShares)
	return s
}

// participates reports whether a node is simulated: in a large deployment only the voters of the shards in use, and owners that they ask.
func (s *simulation) participates(n *simNode) bool {
	if s.shared == nil {
		return true
	}
	for name := range s.loads {
		if s.shared.votes(xxhash.Sum64String(n.name), shardOf(name, s.shared.shardCount())) {
			return true
		}
	}
	return false
}

func (s *simulation) names() []string {
	var names []string
	for name := range s.loads {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.queue, event{at: s.now + delay, run: run})
}

func (s *simulation) run(duration time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= duration {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = duration
}

func (n *simNode) reading(now time.Duration) Reading {
	passed := time.Duration(float64(now-n.started) * n.speed)
	return Reading{Fast: passed + n.jumped, Slow: passed - n.stopped}
}

// perform runs a step of one life of a node, after a suspension if it is suspended.
func (s *simulation) perform(n *simNode, life int, step func()) {
	switch {
	case !n.alive || n.life != life:
	case n.suspended:
		n.deferred = append(n.deferred, step)
	default:
		step()
		if n.stock != nil {
			s.send(n)
		}
	}
}

func (s *simulation) start(n *simNode) {
	n.alive, n.leaving, n.suspended, n.deferred = true, false, false, nil
	n.stopped, n.jumped = 0, 0
	n.life++
	n.waiters = map[string][]*waitingCall{}
	n.stock = NewStock(StockConfig{Node: n.name, Life: uint64(n.life), Random: s.random})
	s.startOwner(n)
	for j := range n.learnt {
		n.learnt[j] = s.now + s.between(0, time.Second)
		n.unreachable[j] = 0
		n.lateness[j] = s.between(2*time.Second, 8*time.Second)
	}
	s.refresh(n, n.life)
	s.tick(n, n.life)
}

// accepted returns a request as the node's owner gets it; nodes of large deployments may be owners only.
func (n *simNode) accepted(request *wirepb.QuotaRequest) *wirepb.QuotaRequest {
	if n.stock == nil {
		return request
	}
	return n.stock.WithoutUnprovenVote(request)
}

func (s *simulation) startOwner(n *simNode) {
	n.started, n.speed, n.quotas = s.now, 1+(s.random.Float64()-0.5)*4e-4, s.quotas
	n.owner = NewOwner(OwnerConfig{Bounds: simulatedBounds, Quotas: func() map[string]Quota { return n.quotas }, FirstStamp: s.random.Uint32()})
}

func (s *simulation) tick(n *simNode, life int) {
	s.perform(n, life, func() {})
	if n.alive && n.life == life {
		s.after(simulatedTick, func() { s.tick(n, life) })
	}
}

// refresh gives a node its view: it learns of others within a second and notices within 2 to 8 s that it cannot reach them.
func (s *simulation) refresh(n *simNode, life int) {
	s.perform(n, life, func() {
		if s.shared != nil {
			n.stock.SetView(n.reading(s.now), s.shared, true)
			return
		}
		var members []Member
		for j, other := range s.nodes {
			if other != n && (other.life == 0 || s.now < n.learnt[j] || s.now < other.started) {
				continue
			}
			reachable := other.alive && other.side == n.side
			if reachable {
				n.unreachable[j] = 0
			} else if n.unreachable[j] == 0 {
				n.unreachable[j] = s.now
			}
			left := other.leaving && !other.alive
			down := left || !reachable && s.now-n.unreachable[j] > n.lateness[j]
			if down && s.now-n.unreachable[j] > n.lateness[j]+silentTimeout {
				continue
			}
			members = append(members, Member{Name: other.name, Live: !down, Left: left, Started: time.Unix(0, 0).Add(other.started)})
		}
		joined := s.now-n.started > 300*time.Millisecond
		n.stock.SetView(n.reading(s.now), NewView(n.stock.Classify(n.reading(s.now), time.Unix(0, 0).Add(s.now), sorted(members), joined)), joined)
	})
	if n.alive && n.life == life {
		s.after(simulatedRefresh, func() { s.refresh(n, life) })
	}
}

func sorted(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

func (s *simulation) latency(a, b *simNode) time.Duration {
	if a == b {
		return 0
	}
	if a.centre == b.centre {
		return s.between(200*time.Microsecond, 2*time.Millisecond)
	}
	return s.between(5*time.Millisecond, 30*time.Millisecond)
}

// send sends the requests that are due. On a cut link a request is lost, or arrives late when the cut ends.
func (s *simulation) send(n *simNode) {
	for _, r := range n.stock.Due(n.reading(s.now), true) {
		life, ended := n.life, false
		n.asked++
		s.after(simulatedTimeout, func() {
			s.perform(n, life, func() {
				if !ended {
					ended = true
					n.stock.Fail(n.reading(s.now), r, true)
				}
			})
		})
		var target *simNode
		_, _ = fmt.Sscanf(r.Target, "node-%d", &life)
		target, life = s.nodes[life], n.life
		if s.shared != nil && !target.alive {
			target.alive = true
			s.startOwner(target)
		}
		delay := s.latency(n, target)
		if n.side != target.side {
			if s.random.IntN(2) == 0 {
				continue
			}
			delay += s.healAt - s.now
		}
		s.after(delay, func() {
			s.perform(target, target.life, func() {
				target.received++
				reply := target.owner.Handle(target.reading(s.now), target.accepted(r.Message))
				s.recordGrants(reply)
				if s.random.Float64() < s.lossRate || n.side != target.side {
					return
				}
				s.after(s.latency(n, target), func() {
					s.perform(n, life, func() {
						if !ended {
							ended = true
							s.receive(n, r, reply)
						}
					})
				})
			})
		})
	}
}

// recordGrants notes when tokens were granted, also those whose reply is lost.
func (s *simulation) recordGrants(reply *wirepb.QuotaReply) {
	for _, g := range reply.GetGrants() {
		if load := s.loads[g.GetWorkspace()]; load != nil {
			for range g.GetTokens() {
				load.granted = append(load.granted, s.now)
			}
		}
	}
}

// observeShares adds up the votes that count now, by shard.
func (s *simulation) observeShares() {
	sums := map[shardKey]float64{}
	for _, n := range s.nodes {
		if !n.alive || n.suspended || n.owner == nil {
			continue
		}
		for key, l := range n.owner.ledgers {
			l.advance(n.reading(s.now), n.owner.stamp(n.reading(s.now)))
			sums[key] += l.share
		}
	}
	for _, sum := range sums {
		s.mostShares = max(s.mostShares, sum)
	}
	s.after(simulatedTick, s.observeShares)
}

func (s *simulation) receive(n *simNode, r *Request, reply *wirepb.QuotaReply) {
	n.stock.Reply(n.reading(s.now), r, reply)
	for _, name := range s.names() {
		kept := n.waiters[name][:0]
		for _, w := range n.waiters[name] {
			if w.done {
				continue
			}
			if result := n.stock.Retry(n.reading(s.now), name); result.Verdict == Waiting {
				kept = append(kept, w)
			} else {
				w.done = true
				n.stock.Wait(name, -1)
				s.record(name, result)
			}
		}
		n.waiters[name] = kept
	}
}

func (s *simulation) record(name string, result Result) {
	load := s.loads[name]
	load.calls++
	switch result.Verdict {
	case Admitted:
		load.admitted = append(load.admitted, s.now)
	case Exceeded:
		load.refused++
	default:
		load.unavailable++
	}
}

// arrive has one call of a workspace arrive at a node that is alive, and draws the time of the next one.
func (s *simulation) arrive(name string) {
	load := s.loads[name]
	s.after(time.Duration(s.random.ExpFloat64()/load.demand*float64(time.Second)), func() { s.arrive(name) })
	drawn := s.random.Float64() * load.weights[len(load.weights)-1]
	index, _ := slices.BinarySearch(load.weights, drawn)
	for try := 0; try < 1000 && (s.nodes[index].stock == nil || !s.nodes[index].alive || s.nodes[index].leaving); try++ {
		index = s.random.IntN(len(s.nodes))
	}
	n := s.nodes[index]
	life := n.life
	s.perform(n, life, func() {
		result := n.stock.Take(n.reading(s.now), name)
		if result.Verdict != Waiting {
			s.record(name, result)
			return
		}
		w := &waitingCall{}
		n.stock.Wait(name, 1)
		n.waiters[name] = append(n.waiters[name], w)
		s.after(simulatedWait, func() {
			s.perform(n, life, func() {
				if !w.done {
					w.done = true
					n.stock.Wait(name, -1)
					s.record(name, Result{Verdict: Unavailable})
				}
			})
		})
	})
}

// uneven returns cumulative weights of nodes that differ by up to a factor of count.
func uneven(random *rand.Rand, count int) []float64 {
	sum, weights := 0.0, make([]float64, count)
	for i := range weights {
		sum += 1 / (0.1 + random.Float64()*float64(count)/10)
		weights[i] = sum
	}
	return weights
}

// mostInWindow returns the greatest number of calls in any window.
func mostInWindow(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	slices.Sort(times)
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// requireBound checks that no window has more admitted calls than the quota allows, and returns the closest approach. A lower quota
// binds one window after all nodes have it.
func requireBound(t *testing.T, s *simulation, label string) float64 {
	t.Helper()
	closest := 0.0
	require.LessOrEqual(t, s.mostShares, shareTolerance, "%s: shares of all owners of a shard", label)
	check := func(name string, q Quota, times []time.Duration) {
		most, allowance := mostInWindow(times, simulatedBounds.Window), simulatedBounds.Allowance(q)
		require.LessOrEqual(t, float64(most), allowance, "%s, workspace %s: calls in a window", label, name)
		closest = max(closest, float64(most)/allowance)
	}
	for name, load := range s.loads {
		check(name, load.quota, load.admitted)
		limit := simulatedBounds.limitOf(load.quota)
		for _, window := range []time.Duration{100 * time.Millisecond, time.Second, simulatedBounds.Window + limit.valid} {
			require.LessOrEqual(t, float64(mostInWindow(load.granted, window)), 1+grantTolerance*(limit.capacity+limit.fill*window.Seconds()),
				"%s, workspace %s: tokens granted within %s", label, name, window)
		}
		if load.loweredAt > 0 {
			from, _ := slices.BinarySearch(load.admitted, load.loweredAt+simulatedBounds.Window)
			check(name+" with the lower quota", load.lowered, load.admitted[from:])
		}
	}
	return closest
}

// cut separates a part of the nodes from the others until a duration has passed.
func (s *simulation) cut(part float64, duration time.Duration) {
	for _, n := range s.nodes {
		if s.random.Float64() < part {
			n.side = 1
		}
	}
	s.healAt = s.now + duration
	s.after(duration, func() {
		for _, n := range s.nodes {
			n.side = 0
		}
	})
}

// kill ends a part of the nodes and starts them again after a delay.
func (s *simulation) kill(part float64, restart time.Duration) {
	for _, n := range s.nodes {
		if n.alive && s.random.Float64() < part {
			n.alive = false
			s.after(restart+s.between(0, time.Second), func() { s.start(n) })
		}
	}
}

// stop ends a node as planned and starts it again.
func (s *simulation) stop(n *simNode) {
	life := n.life
	s.perform(n, life, func() {
		n.leaving = true
		n.stock.Leave()
		n.owner.Leave()
	})
	s.after(300*time.Millisecond, func() {
		s.perform(n, life, func() { n.owner.Close() })
	})
	s.after(500*time.Millisecond, func() {
		if n.life == life && n.alive {
			n.alive = false
			s.after(2*time.Second, func() { s.start(n) })
		}
	})
}

// suspend halts a node. Its monotonic clock stands still meanwhile if its VM is suspended, else only its process is halted.
func (s *simulation) suspend(n *simNode, duration time.Duration, withVM bool) {
	if !n.alive || n.suspended {
		return
	}
	life := n.life
	n.suspended = true
	s.after(duration, func() {
		if !n.alive || n.life != life {
			return
		}
		n.suspended = false
		if withVM {
			n.stopped += duration
		}
		steps := n.deferred
		n.deferred = nil
		for _, step := range steps {
			s.perform(n, life, step)
		}
	})
}

// surge multiplies the demand of a workspace for a time, at all nodes or a few.
func (s *simulation) surge(name string, factor float64, duration time.Duration, few bool) {
	load := s.loads[name]
	demand, weights := load.demand, load.weights
	load.demand *= factor
	if few {
		load.weights = weights[:max(len(weights)/10, 1)]
	}
	s.after(duration, func() { load.demand, load.weights = demand, weights })
}

// lower replaces the quota of a workspace by a lower one, which nodes adopt within a second.
func (s *simulation) lower(name string, part float64) {
	load := s.loads[name]
	if load.loweredAt > 0 {
		return
	}
	load.lowered = Quota{Rate: load.quota.Rate * part, Burst: load.quota.Burst * part}
	quotas := maps.Clone(s.quotas)
	quotas[name] = load.lowered
	s.quotas = quotas
	for _, n := range s.nodes {
		s.after(s.between(0, time.Second), func() { n.quotas = quotas })
	}
	load.loweredAt = s.now + time.Second
}
