package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The simulated deployment: data centres with upstreams of one service, each beside a node that has callers, too. A data centre returns
// from an evacuation with all of its upstreams cold.
const (
	coldDataCentres  = 4
	coldVMs          = 6
	coldSlots        = 4
	coldQueue        = 2 * coldSlots
	coldServiceTime  = 50 * time.Millisecond
	coldObjective    = 400 * time.Millisecond
	coldTimeout      = 2 * time.Second
	coldUsualRate    = 38
	coldPerSecond    = 13 * 1.5
	maxColdPerSecond = 27
	coldReturnsAt    = time.Second
	coldEndsAt       = coldReturnsAt + 3*time.Second
	coldSimulated    = coldEndsAt + time.Second
	// coldNewsDelay is the time until the nodes know of a change of the members.
	coldNewsDelay = 200 * time.Millisecond
	// coldSeedsVariable is the environment variable with the number of seeds; the few of coldDefaultSeeds keep the test short.
	coldSeedsVariable = "TURMERICDALE_COLD_SEEDS"
	coldDefaultSeeds  = 12
	coldWorkers       = 4
)

type coldEvent struct {
	at  time.Duration
	run func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int           { return len(e) }
func (e coldEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e coldEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(event any)    { *e = append(*e, event.(coldEvent)) }
func (e *coldEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

// coldUpstream is a simulated upstream with its node, which sends calls.
type coldUpstream struct {
	dataCentre int
	picker     *Picker
	pacer      *admit.Pacer
	running    int
	queue      []*coldCall
	arrivals   []time.Duration
}

type coldCall struct {
	from    *coldUpstream
	started time.Duration
	tried   map[*stats]bool
	chosen  *candidate
	sentAt  time.Duration
}

// coldCounts are the calls that began while the data centre was cold.
type coldCounts struct {
	offered, served, onTime, refused int
	// warmOffered and warmOnTime are those of the callers in the other data centres.
	warmOffered, warmOnTime int
	// coldServed is the number of calls that cold upstreams served, mostCold the most that one got in a second.
	coldServed, mostCold int
	// took is the sum of the times that the served calls took.
	took time.Duration
}

type coldSimulation struct {
	random    *rand.Rand
	now       time.Duration
	events    coldEvents
	upstreams []*coldUpstream
	members   []*member.Upstream
	evacuated map[string]bool
	counts    coldCounts
}

func (s *coldSimulation) time() time.Time { return time.Unix(1_700_000_000, 0).Add(s.now) }

func (s *coldSimulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, coldEvent{at: s.now + delay, run: run})
}

func newColdSimulation(seed uint64) *coldSimulation {
	s := &coldSimulation{random: rand.New(rand.NewPCG(seed, 0)), evacuated: map[string]bool{"dc-0": true}}
	for i := range coldDataCentres * coldVMs {
		u := &coldUpstream{dataCentre: i % coldDataCentres}
		u.pacer = admit.NewPacer(admit.PacerConfig{Now: s.time})
		u.picker = NewPicker(PickerConfig{
			Node: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc-%d", u.dataCentre), Region: "r", SubsetSize: 8, Now: s.time,
			Upstreams: func(string) []*member.Upstream { return s.members }, Preconnect: func(netip.AddrPort) {},
			Evacuated: func() map[string]bool { return s.evacuated },
		})
		s.upstreams = append(s.upstreams, u)
	}
	s.publish(true)
	return s
}

// publish publishes the members, of which those of the first data centre may be cold.
func (s *coldSimulation) publish(cold bool) {
	s.members = nil
	for i, u := range s.upstreams {
		s.members = append(s.members, &member.Upstream{
			Node: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc-%d", u.dataCentre), Region: "r", Version: "v1", Slots: coldSlots, Cold: cold && u.dataCentre == 0,
		})
	}
}

func (s *coldSimulation) isCold(u *coldUpstream) bool { return u.dataCentre == 0 && s.now < coldEndsAt }

func (s *coldSimulation) run(load float64) coldCounts {
	for _, u := range s.upstreams {
		s.offer(u, load*coldUsualRate)
	}
	s.after(coldReturnsAt, func() { s.evacuated = nil })
	s.after(coldEndsAt+coldNewsDelay, func() { s.publish(false) })
	for len(s.events) > 0 {
		event, _ := heap.Pop(&s.events).(coldEvent)
		s.now = event.at
		event.run()
	}
	for _, u := range s.upstreams {
		first := 0
		for i, at := range u.arrivals {
			for at-u.arrivals[first] >= time.Second {
				first++
			}
			s.counts.mostCold = max(s.counts.mostCold, i-first+1)
		}
	}
	return s.counts
}

func (s *coldSimulation) offer(u *coldUpstream, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now >= coldSimulated {
			return
		}
		s.offer(u, perSecond)
		c := &coldCall{from: u, started: s.now, tried: map[*stats]bool{}}
		if s.isCounted(c) {
			s.counts.offered++
			if u.dataCentre != 0 {
				s.counts.warmOffered++
			}
		}
		s.send(c)
	})
}

func (s *coldSimulation) isCounted(c *coldCall) bool {
	return c.started >= coldReturnsAt && c.started < coldEndsAt
}

// send picks an upstream for a call; a call that is refused everywhere has not run.
func (s *coldSimulation) send(c *coldCall) {
	if len(c.tried) < maxTries {
		c.chosen = c.from.picker.pick(subsetKey{service: "shop", version: "v1"}, c.tried)
	}
	if c.chosen == nil {
		if s.isCounted(c) {
			s.counts.refused++
		}
		return
	}
	c.tried[c.chosen.stats], c.sentAt = true, s.now
	i, _ := strconv.Atoi(c.chosen.upstream.Node)
	u := s.upstreams[i]
	s.after(s.delay(c, u), func() { s.arrive(c, u) })
}

// delay is the time of a message between the nodes of a call.
func (s *coldSimulation) delay(c *coldCall, u *coldUpstream) time.Duration {
	if c.from.dataCentre == u.dataCentre {
		return time.Millisecond
	}
	return 5*time.Millisecond + time.Duration(s.random.Int64N(int64(5*time.Millisecond)))
}

func (s *coldSimulation) request(u *coldUpstream) admit.Request {
	return admit.Request{Class: wirepb.Class_CLASS_NORMAL, Cold: admit.ColdLimit{PerSecond: coldPerSecond, Cold: s.isCold(u)}}
}

func (s *coldSimulation) arrive(c *coldCall, u *coldUpstream) {
	delay := u.pacer.Delay(s.request(u), u.running)
	// The node refuses a call that it cannot serve within the objective.
	wait := coldServiceTime * time.Duration(len(u.queue)) / coldSlots
	late := s.now+wait+coldServiceTime > c.started+coldObjective && len(u.queue) > 0
	switch {
	case delay > 0, u.running >= coldSlots && (len(u.queue) >= coldQueue || late):
		s.refuse(c, u, delay)
	case u.running >= coldSlots:
		u.queue = append(u.queue, c)
	default:
		s.start(c, u)
	}
}

func (s *coldSimulation) refuse(c *coldCall, u *coldUpstream, delay time.Duration) {
	s.after(s.delay(c, u), func() {
		answer := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED}
		if delay > 0 {
			answer.AvailableIn = durationpb.New(delay)
		}
		c.from.picker.recordResult(c.chosen, tryResult{answer: answer, took: s.now - c.sentAt})
		c.chosen = nil
		s.send(c)
	})
}

func (s *coldSimulation) start(c *coldCall, u *coldUpstream) {
	u.running++
	if delay := u.pacer.Take(s.request(u), u.running); delay > 0 {
		u.running--
		s.refuse(c, u, delay)
		return
	}
	took, cold := time.Duration((0.7+0.6*s.random.Float64())*float64(coldServiceTime)), s.isCold(u)
	if cold {
		took *= 2
		s.after(time.Duration(s.random.Int64N(int64(100*time.Millisecond))), func() { u.arrivals = append(u.arrivals, s.now) })
	}
	s.after(took, func() { s.end(c, u, cold) })
}

func (s *coldSimulation) end(c *coldCall, u *coldUpstream, cold bool) {
	u.running--
	for len(u.queue) > 0 && u.running < coldSlots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		s.start(next, u)
	}
	s.after(s.delay(c, u), func() {
		c.from.picker.recordResult(c.chosen, tryResult{answer: &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 200, Arrived: true}, took: s.now - c.sentAt})
		if !s.isCounted(c) {
			return
		}
		s.counts.served++
		s.counts.took += s.now - c.started
		if cold {
			s.counts.coldServed++
		}
		if s.now-c.started <= coldObjective {
			s.counts.onTime++
			if c.from.dataCentre != 0 {
				s.counts.warmOnTime++
			}
		}
	})
}

func (c *coldCounts) add(other coldCounts) {
	c.offered += other.offered
	c.served += other.served
	c.onTime += other.onTime
	c.refused += other.refused
	c.warmOffered += other.warmOffered
	c.warmOnTime += other.warmOnTime
	c.coldServed += other.coldServed
	c.took += other.took
	c.mostCold = max(c.mostCold, other.mostCold)
}

// simulateSeeds runs the simulation at a load for a number of seeds and returns the sums, and the least share of the calls of other data
// centres' callers that were on time. A seed determines the calls, but not the random choices of the pickers.
func simulateSeeds(seeds int, load float64) (total coldCounts, least float64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	next := make(chan uint64)
	least = 1
	for range coldWorkers {
		group.Go(func() {
			for seed := range next {
				counts := newColdSimulation(seed).run(load)
				mu.Lock()
				total.add(counts)
				least = min(least, share(counts.warmOnTime, counts.warmOffered))
				mu.Unlock()
			}
		})
	}
	for seed := range uint64(seeds) {
		next <- seed
	}
	close(next)
	group.Wait()
	return total, least
}

func share(part, whole int) float64 { return float64(part) / float64(whole) }

// Guards against a data centre that comes back from an evacuation with all upstreams cold: these must not get more calls than they
// survive, and its share of the calls must not overload the other data centres, for usual load and the peaks over it.
func TestDataCentreThatReturnsCold(t *testing.T) {
	seeds := coldDefaultSeeds
	if text := os.Getenv(coldSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	// capacity is the number of calls a second that the upstreams of four data centres can serve, on average over all upstreams.
	capacity := (float64(coldDataCentres-1)*coldSlots/coldServiceTime.Seconds() + coldPerSecond) / coldDataCentres
	for _, load := range []float64{1, 1.5, 2} {
		total, least := simulateSeeds(seeds, load)
		t.Logf("load %.1f: %d calls, served %.4f, on time %.4f, refused %.4f; callers elsewhere on time %.4f, least %.4f; cold upstreams served %.4f, got at most %d in a second; mean %s",
			load, total.offered, share(total.served, total.offered), share(total.onTime, total.offered), share(total.refused, total.offered),
			share(total.warmOnTime, total.warmOffered), least, share(total.coldServed, total.offered), total.mostCold, total.took/time.Duration(total.served))
		// At twice the load, a part of the calls has to be refused.
		attainable := min(1, capacity/(load*coldUsualRate))
		require.LessOrEqual(t, total.mostCold, maxColdPerSecond)
		require.GreaterOrEqual(t, share(total.onTime, total.offered), 0.97*attainable)
		require.GreaterOrEqual(t, share(total.warmOnTime, total.warmOffered), 0.97*attainable)
		require.GreaterOrEqual(t, least, 0.92*attainable)
		require.GreaterOrEqual(t, share(total.coldServed, total.offered), 0.8*coldPerSecond/(load*coldUsualRate*coldDataCentres), "cold upstreams serve what they can")
	}
}

// While an upstream is cold, those of its data centre that are not get the calls, and it gets them before those of other data centres.
func TestPickPrefersUpstreamsThatAreNotCold(t *testing.T) {
	now := time.Now()
	list := upstreams("r-1", "r-1", "r-2")
	list[0].Cold = true
	p := newPicker(list, &now)
	var picked []string
	for range 6 {
		picked = append(picked, p.pick(subsetKey{service: "shop", version: "v1"}, nil).upstream.Node)
	}
	require.Equal(t, []string{"b", "b", "a", "a", "c", "c"}, picked)
	t.Run("a cold data centre uses others as well", func(t *testing.T) {
		list := upstreams("r-1", "r-1", "r-1", "r-1", "r-1", "r-2")
		for _, u := range list[:5] {
			u.Cold = true
		}
		p := newPicker(list, &now)
		limited := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED, AvailableIn: durationpb.New(time.Second)}
		for range 4 {
			c := p.pick(subsetKey{service: "shop", version: "v1"}, nil)
			require.True(t, c.upstream.Cold)
			p.recordResult(c, tryResult{answer: limited})
		}
		require.Equal(t, "r-2", pickCentre(p), "the limits of the cold ones allow no call")
	})
}
