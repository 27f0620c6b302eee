package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	waveCentres      = 4
	waveSlots        = 12
	waveLength       = 15 * time.Second
	waveWork         = 140 * time.Millisecond
	waveObjective    = 500 * time.Millisecond
	waveSwing        = 0.55
	wavePeriod       = 17 * time.Second
	waveQueuePerSlot = 2
	// waveSlowFrom and waveSlowUntil are when a quarter of the upstreams takes waveSlowFactor times as long.
	waveSlowFrom, waveSlowUntil = 5 * time.Second, 10 * time.Second
	waveSlowFactor              = 4
	waveMaxTries                = 4
)

// waveServer is an upstream whose pace changes several times a second, and the node beside it.
type waveServer struct {
	speed   float64
	slow    bool
	pace    float64
	paceEnd time.Duration
	running int
	waiting []*waveCall
}

type waveCall struct {
	node      int
	arrived   time.Duration
	work      time.Duration
	tried     map[*stats]bool
	candidate *candidate
	sentAt    time.Duration
}

// waveEvent is something that happens to a call at an upstream.
type waveEvent struct {
	at     time.Duration
	call   *waveCall
	server int
	// arrival means that a node gets the next call of a caller.
	arrival bool
	node    int
}

type waveEvents []waveEvent

func (e waveEvents) Len() int           { return len(e) }
func (e waveEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e waveEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *waveEvents) Push(x any)        { v, _ := x.(waveEvent); *e = append(*e, v) }

func (e *waveEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// waves plays the demand of four data centres that rises and falls by more than half at different times, on upstreams that differ in speed.
type waves struct {
	random  *rand.Rand
	now     time.Duration
	start   time.Time
	events  waveEvents
	servers []*waveServer
	pickers []*Picker
	reports bool
	// single means that all calls wait in one queue and go to the fastest free upstream, as a bound.
	single bool
	shared []*waveCall

	offered, onTime, late, refused int
}

func newWaves(servers int, policy string, seed uint64) *waves {
	w := &waves{random: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1_000_000, 0), reports: policy == "reported load", single: policy == "single queue"}
	var list []*member.Upstream
	for i := range servers {
		w.servers = append(w.servers, &waveServer{speed: []float64{0.7, 0.7, 1.6}[i%3], slow: w.random.IntN(4) == 0, pace: 1})
		list = append(list, &member.Upstream{
			Node: "n" + strconv.Itoa(i), DataCentre: "c" + strconv.Itoa(i%waveCentres), Region: "r", Version: "v1", Slots: waveSlots,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
	}
	pickPolicy := PolicyLeastLoaded
	if policy == PolicyRoundRobin {
		pickPolicy = PolicyRoundRobin
	}
	for i := range servers {
		w.pickers = append(w.pickers, NewPicker(PickerConfig{
			Node: "n" + strconv.Itoa(i), DataCentre: "c" + strconv.Itoa(i%waveCentres), Region: "r", SubsetSize: 8, Policy: pickPolicy,
			Now: func() time.Time { return w.start.Add(w.now) }, Upstreams: func(string) []*member.Upstream { return list }, Preconnect: func(netip.AddrPort) {},
		}))
	}
	return w
}

// rate returns the calls per second of one node's callers at a time.
func (w *waves) rate(node int, load float64) float64 {
	phase := 0.1 + 0.08*float64(node%waveCentres)
	mean := load * waveSlots / waveWork.Seconds()
	return mean * (1 + waveSwing*math.Sin(2*math.Pi*(w.now.Seconds()/wavePeriod.Seconds()+phase)))
}

// takes returns how long a call takes that starts now.
func (w *waves) takes(s *waveServer, c *waveCall) time.Duration {
	if w.now >= s.paceEnd {
		// Nine tenths of the time, work takes 0.7 of the usual time, otherwise 1.75 times as long.
		s.pace, s.paceEnd = 0.7, w.now+time.Duration(w.random.ExpFloat64()*3*float64(time.Second))
		if w.random.Float64() < 0.4 {
			s.pace, s.paceEnd = 1.75, w.now+time.Duration((0.3+0.6*w.random.Float64())*float64(time.Second))
		}
	}
	took := float64(c.work) * s.pace / s.speed
	if s.slow && w.now >= waveSlowFrom && w.now < waveSlowUntil {
		took *= waveSlowFactor
	}
	return time.Duration(took)
}

func (w *waves) play(load float64) {
	for i := range w.servers {
		heap.Push(&w.events, waveEvent{at: time.Duration(w.random.ExpFloat64() / w.rate(i, load) * float64(time.Second)), arrival: true, node: i})
	}
	for w.events.Len() > 0 {
		e, _ := heap.Pop(&w.events).(waveEvent)
		w.now = e.at
		switch {
		case e.arrival && e.at < waveLength:
			heap.Push(&w.events, waveEvent{at: e.at + time.Duration(w.random.ExpFloat64()/w.rate(e.node, load)*float64(time.Second)), arrival: true, node: e.node})
			w.offered++
			w.send(&waveCall{node: e.node, arrived: e.at, work: time.Duration((0.3 + 1.4*w.random.Float64()) * float64(waveWork)), tried: map[*stats]bool{}})
		case !e.arrival:
			w.finish(e)
		}
	}
}

// send offers a call to upstreams until one takes it.
func (w *waves) send(c *waveCall) {
	if w.single {
		w.shared = append(w.shared, c)
		w.assignShared()
		return
	}
	for range waveMaxTries {
		c.candidate = w.pickers[c.node].pick(subsetKey{service: "shop", version: "v1"}, c.tried)
		if c.candidate == nil {
			break
		}
		c.tried[c.candidate.stats], c.sentAt = true, w.now
		server, _ := strconv.Atoi(c.candidate.upstream.Node[1:])
		s := w.servers[server]
		switch {
		case s.running < waveSlots:
			w.begin(server, c)
			return
		case len(s.waiting) < waveQueuePerSlot*waveSlots && w.now-c.arrived+waveWork*time.Duration(len(s.waiting)+1)/waveSlots+waveWork < waveObjective:
			s.waiting = append(s.waiting, c)
			return
		}
		w.pickers[c.node].recordResult(c.candidate, tryResult{answer: &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED}})
	}
	w.refused++
}

func (w *waves) begin(server int, c *waveCall) {
	s := w.servers[server]
	s.running++
	heap.Push(&w.events, waveEvent{at: w.now + w.takes(s, c), call: c, server: server})
}

func (w *waves) finish(e waveEvent) {
	s := w.servers[e.server]
	s.running--
	if w.now-e.call.arrived <= waveObjective {
		w.onTime++
	} else {
		w.late++
	}
	if w.single {
		w.assignShared()
		return
	}
	answer := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 200, LoadPermille: uint32((s.running + len(s.waiting)) * 1000 / waveSlots)}
	if w.reports {
		answer.Load = &wirepb.UpstreamLoad{Running: uint32(s.running), Waiting: uint32(len(s.waiting)), Slots: waveSlots, PacePercent: uint32(100 * s.pace)}
	}
	w.pickers[e.call.node].recordResult(e.call.candidate, tryResult{answer: answer, took: w.now - e.call.sentAt})
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.begin(e.server, next)
	}
}

// assignShared starts the calls of the single queue on the upstreams that finish them first, and refuses those that would be late.
func (w *waves) assignShared() {
	for len(w.shared) > 0 {
		c := w.shared[0]
		best, bestTakes := -1, time.Duration(0)
		for i, s := range w.servers {
			if s.running < waveSlots {
				if takes := w.takes(s, c); best < 0 || takes < bestTakes {
					best, bestTakes = i, takes
				}
			}
		}
		if best < 0 {
			return
		}
		w.shared = w.shared[1:]
		if w.now-c.arrived+bestTakes > waveObjective && w.now > c.arrived {
			w.refused++
			continue
		}
		w.begin(best, c)
	}
}

// Guards against callers' nodes that keep sending calls to upstreams that are slow at the moment, or that all choose the same one, when
// demand moves between data centres and a quarter of the upstreams turns slow.
func TestWavesOnUnevenUpstreams(t *testing.T) {
	for _, servers := range []int{16, 61, 295} {
		for _, load := range []float64{0.45, 0.6} {
			if servers > 100 && load < 0.5 {
				continue
			}
			t.Run(strconv.Itoa(servers)+" upstreams", func(t *testing.T) {
				onTime := map[string]float64{}
				for _, policy := range []string{PolicyRoundRobin, PolicyLeastLoaded, "reported load", "single queue"} {
					var sum waves
					// The choices of the pickers are random: small deployments are played more often.
					for seed := range uint64(max(1, 160/servers)) {
						w := newWaves(servers, policy, seed)
						w.play(load)
						sum.offered, sum.onTime, sum.late, sum.refused = sum.offered+w.offered, sum.onTime+w.onTime, sum.late+w.late, sum.refused+w.refused
					}
					onTime[policy] = float64(sum.onTime) / float64(sum.offered)
					t.Logf("load %.2f, %s: %d calls, on time %.4f, late %.4f, refused %.4f", load, policy, sum.offered, onTime[policy],
						float64(sum.late)/float64(sum.offered), float64(sum.refused)/float64(sum.offered))
				}
				require.Greater(t, onTime["reported load"], onTime[PolicyRoundRobin])
				require.Greater(t, onTime["reported load"], onTime[PolicyLeastLoaded], "the reports make it worse")
			})
		}
	}
}
