package route

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The policies of choice.
const (
	PolicyLeastLoaded = "least_loaded"
	// PolicyRoundRobin is the baseline of the measurements: all upstreams in turn, whatever calls showed.
	PolicyRoundRobin = "round_robin"
)

const (
	tiers    = 3
	fullLoad = 1000
	// loadAge is how long a refusal for overload keeps calls away: about the time in which a slot becomes free.
	loadAge = 30 * time.Millisecond

	latencyWeight = 0.2
	firstEjection = 500 * time.Millisecond
	maxEjection   = 10 * time.Second
	leftEjection  = time.Second
	slowStrikes   = 3
	warmInterval  = 10 * time.Second
)

// PickerConfig configures a Picker.
type PickerConfig struct {
	Node       string
	DataCentre string
	Region     string
	Policy     string
	SubsetSize int
	Now        func() time.Time
	Upstreams  func(service string) []*member.Upstream
	// Preconnect connects to a node in the background.
	Preconnect func(address netip.AddrPort)
	// Suspect reports whether a node does not answer at the moment; nil means that none is.
	Suspect func(address netip.AddrPort) bool
}

// Picker chooses upstreams by what calls to them showed.
type Picker struct {
	cfg PickerConfig

	mu      sync.Mutex
	subsets map[subsetKey]*subset
	stats   map[statsKey]*stats
	turn    int
}

type subsetKey struct {
	service string
	// version is empty for all versions but the excepted one.
	version string
	except  string
}

// serves reports whether an upstream is of the versions wanted.
func (k subsetKey) serves(u *member.Upstream) bool {
	if k.version == "" {
		return k.except == "" || u.Version != k.except
	}
	return u.Version == k.version
}

type subset struct {
	// all is the list that the subset was chosen from.
	all   []*member.Upstream
	tiers [tiers][]*choice
}

// choice is an upstream with what calls to it showed.
type choice struct {
	upstream *member.Upstream
	stats    *stats
}

type statsKey struct {
	node    string
	life    uint64
	service string
	version string
}

type stats struct {
	inFlight     int
	latency      time.Duration
	load         uint32
	loadAt       time.Time
	strikes      int
	ejections    int
	ejectedUntil time.Time
}

// NewPicker returns a picker.
func NewPicker(cfg PickerConfig) *Picker {
	if cfg.Suspect == nil {
		cfg.Suspect = func(netip.AddrPort) bool { return false }
	}
	return &Picker{cfg: cfg, subsets: map[subsetKey]*subset{}, stats: map[statsKey]*stats{}}
}

// pick returns an upstream that was not tried, or nil, and counts a call in flight to it.
func (p *Picker) pick(key subsetKey, tried map[*stats]bool) *choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subset(key)
	chosen := p.choose(s, tried)
	if chosen != nil {
		chosen.stats.inFlight++
	}
	return chosen
}

func (p *Picker) choose(s *subset, tried map[*stats]bool) *choice {
	if p.cfg.Policy == PolicyRoundRobin {
		return p.inTurn(s, tried)
	}
	now := p.cfg.Now()
	for _, tier := range s.tiers {
		if c := better(filter(tier, func(c *choice) bool {
			return !tried[c.stats] && c.stats.usable(now) && !c.full(now) && !p.suspect(c)
		})); c != nil {
			return c
		}
	}
	var all []*choice
	for _, tier := range s.tiers {
		all = append(all, tier...)
	}
	if c := better(filter(all, func(c *choice) bool { return !tried[c.stats] && c.stats.usable(now) })); c != nil {
		return c
	}
	return better(filter(all, func(c *choice) bool { return !tried[c.stats] }))
}

func (p *Picker) suspect(c *choice) bool {
	return c.upstream.Node != p.cfg.Node && p.cfg.Suspect(c.upstream.PeerAddress)
}

func (p *Picker) inTurn(s *subset, tried map[*stats]bool) *choice {
	var all []*choice
	for _, tier := range s.tiers {
		all = append(all, filter(tier, func(c *choice) bool { return !tried[c.stats] })...)
	}
	if len(all) == 0 {
		return nil
	}
	sort.Slice(all, func(i, j int) bool { return all[i].upstream.Node < all[j].upstream.Node })
	p.turn++
	return all[p.turn%len(all)]
}

// usualTime returns the slowest of the average times of a version's upstreams.
func (p *Picker) usualTime(service, version, except string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := subsetKey{service: service, version: version}
	if version == "" {
		key.except = except
	}
	usual := time.Duration(0)
	for _, tier := range p.subset(key).tiers {
		for _, c := range tier {
			usual = max(usual, c.stats.latency)
		}
	}
	return usual
}

func filter(list []*choice, wanted func(c *choice) bool) []*choice {
	var kept []*choice
	for _, c := range list {
		if wanted(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

// better returns the less loaded of two random choices.
func better(list []*choice) *choice {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i := rand.IntN(len(list))
	j := (i + 1 + rand.IntN(len(list)-1)) % len(list)
	if list[j].score() < list[i].score() {
		return list[j]
	}
	return list[i]
}

func (c *choice) score() time.Duration {
	perSlot := time.Duration(c.stats.inFlight+1) * time.Millisecond / time.Duration(max(c.upstream.Slots, 1))
	return perSlot + c.stats.latency*time.Duration(c.stats.inFlight+1)
}

func (s *stats) usable(now time.Time) bool { return !now.Before(s.ejectedUntil) }

// full reports whether a call would have to wait at the upstream.
func (c *choice) full(now time.Time) bool {
	if c.stats.inFlight >= int(c.upstream.Slots) {
		return true
	}
	return c.stats.load >= fullLoad && now.Sub(c.stats.loadAt) < loadAge
}

// subset returns the bounded list of upstreams that this node uses, chosen anew when the members changed.
func (p *Picker) subset(key subsetKey) *subset {
	all := p.cfg.Upstreams(key.service)
	known, found := p.subsets[key]
	if found && sameList(known.all, all) {
		return known
	}
	s := &subset{all: all}
	taken := 0
	for _, u := range p.ordered(all, key) {
		if taken == p.cfg.SubsetSize {
			break
		}
		taken++
		tier := p.tier(u)
		s.tiers[tier] = append(s.tiers[tier], &choice{upstream: u, stats: p.statsOf(key, u)})
		if u.Node != p.cfg.Node {
			p.cfg.Preconnect(u.PeerAddress)
		}
	}
	p.subsets[key] = s
	return s
}

func sameList(a, b []*member.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (p *Picker) statsOf(key subsetKey, u *member.Upstream) *stats {
	name := statsKey{node: u.Node, life: u.Life, service: key.service, version: u.Version}
	s, found := p.stats[name]
	if !found {
		s = &stats{}
		p.stats[name] = s
	}
	return s
}

// tier is 0 for upstreams of the same data centre, 1 for the same region, 2 for others.
func (p *Picker) tier(u *member.Upstream) int {
	switch {
	case u.DataCentre == p.cfg.DataCentre:
		return 0
	case u.Region == p.cfg.Region:
		return 1
	default:
		return 2
	}
}

// ordered sorts the upstreams of a version by tier and within a tier by a hash that differs from node to node.
func (p *Picker) ordered(all []*member.Upstream, key subsetKey) []*member.Upstream {
	var list []*member.Upstream
	for _, u := range all {
		if key.serves(u) {
			list = append(list, u)
		}
	}
	rank := func(u *member.Upstream) uint64 { return xxhash.Sum64String(p.cfg.Node + "/" + u.Node) }
	sort.Slice(list, func(i, j int) bool {
		if p.tier(list[i]) != p.tier(list[j]) {
			return p.tier(list[i]) < p.tier(list[j])
		}
		return rank(list[i]) < rank(list[j])
	})
	return list
}

// note takes in what a call showed of the upstream it went to.
func (p *Picker) note(c *choice, answer *wirepb.AnswerHead, took time.Duration, transport bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := c.stats, p.cfg.Now()
	s.inFlight--
	switch answer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		s.strikes, s.ejections = 0, 0
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		s.noteRefusal(answer.GetRefusal(), now)
	default:
		s.strikes++
		if transport || s.strikes >= slowStrikes {
			s.eject(now)
		}
	}
}

func (s *stats) noteRefusal(refusal wirepb.Refusal, now time.Time) {
	switch refusal {
	case wirepb.Refusal_REFUSAL_UNREACHABLE:
		s.eject(now)
	case wirepb.Refusal_REFUSAL_NO_UPSTREAM, wirepb.Refusal_REFUSAL_LEAVING:
		s.ejectedUntil = now.Add(leftEjection)
	case wirepb.Refusal_REFUSAL_OVERLOADED:
		s.load, s.loadAt = fullLoad, now
	}
}

func (s *stats) eject(now time.Time) {
	length := min(firstEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(length/2 + rand.N(length/2))
}

// Run keeps the subsets in use connected until the context ends.
func (p *Picker) Run(ctx context.Context, changed func() <-chan struct{}) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		wake := changed()
		p.refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

func (p *Picker) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := map[*stats]bool{}
	for key := range p.subsets {
		for _, tier := range p.subset(key).tiers {
			for _, c := range tier {
				used[c.stats] = true
				if c.upstream.Node != p.cfg.Node {
					p.cfg.Preconnect(c.upstream.PeerAddress)
				}
			}
		}
	}
	for name, s := range p.stats {
		if !used[s] && s.inFlight == 0 {
			delete(p.stats, name)
		}
	}
}
