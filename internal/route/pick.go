package route

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/internal/member"
)

// The pick policies.
const (
	PolicyLeastLoaded = "least_loaded"
	// PolicyRoundRobin uses all upstreams in turn, whatever their load and latency, as a baseline for measurements.
	PolicyRoundRobin = "round_robin"
)

const (
	tierCount        = 3
	fullLoadPermille = 1000
	// overloadTTL is how long an upstream counts as saturated after a refusal for overload: about the time in which a slot
	// becomes free.
	overloadTTL = 30 * time.Millisecond

	// faultRateMargin is how far the fault rate of an upstream may lie above the lowest one before calls avoid it.
	faultRateMargin = 0.2
	// probeFraction is the fraction of calls for which faults are ignored, to notice when they end.
	probeFraction    = 0.1
	maxCostFaultRate = 0.9
	refreshInterval  = 10 * time.Second
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
	// Preconnect connects to a node in the background, so that no call waits for it.
	Preconnect func(address netip.AddrPort)
	// Evacuated returns the data centres whose upstreams get no calls; nil means that there are none.
	Evacuated func() map[string]bool
	// IsSuspect reports whether a node may be gone; nil means that none is suspect.
	IsSuspect func(address netip.AddrPort) bool
}

// Picker chooses upstreams by the latencies, refusals and failures of earlier calls.
type Picker struct {
	cfg PickerConfig

	mu              sync.Mutex
	subsets         map[subsetKey]*subset
	stats           map[statsKey]*stats
	roundRobinIndex int
}

type subsetKey struct {
	service string
	// version is empty for all versions but exceptVersions, which are separated by commas.
	version        string
	exceptVersions string
}

// matches reports whether an upstream runs one of the wanted versions.
func (k subsetKey) matches(u *member.Upstream) bool {
	if k.version == "" {
		return !slices.Contains(strings.Split(k.exceptVersions, ","), u.Version)
	}
	return u.Version == k.version
}

type subset struct {
	// all is the list that the subset was chosen from.
	all []*member.Upstream
	// evacuated are the data centres that were evacuated then; excluded says that some upstream was left out for it.
	evacuated map[string]bool
	excluded  bool
	tiers     [tierCount][]*candidate
}

// candidate is an upstream with the statistics of the calls to it.
type candidate struct {
	upstream *member.Upstream
	stats    *stats
}

// NewPicker returns a picker.
func NewPicker(cfg PickerConfig) *Picker {
	if cfg.IsSuspect == nil {
		cfg.IsSuspect = func(netip.AddrPort) bool { return false }
	}
	if cfg.Evacuated == nil {
		cfg.Evacuated = func() map[string]bool { return nil }
	}
	return &Picker{cfg: cfg, subsets: map[subsetKey]*subset{}, stats: map[statsKey]*stats{}}
}

// pick returns an upstream that has not been tried, or nil, and counts the call as in flight.
func (p *Picker) pick(key subsetKey, tried map[*stats]bool) *candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subset(key)
	chosen := p.choose(s, tried)
	if chosen != nil {
		chosen.stats.inFlight++
	}
	return chosen
}

// choose prefers the nearest tier that has an upstream with a free slot, without a fault that others lack, on a node that is
// not suspect, and in it upstreams that are not cold. Cold ones come before those farther away, which would otherwise get all calls of
// a data centre that returns cold, while its own upstreams are idle. Then it chooses any upstream that is not ejected, then any. An upstream whose limit allows no call now is never chosen.
func (p *Picker) choose(s *subset, tried map[*stats]bool) *candidate {
	if p.cfg.Policy == PolicyRoundRobin {
		return p.roundRobin(s, tried)
	}
	now := p.cfg.Now()
	var all []*candidate
	for _, tier := range s.tiers {
		all = append(all, tier...)
	}
	tolerableFaultRate := lowestFaultRate(all, tried, now) + faultRateMargin
	if rand.Float64() < probeFraction {
		tolerableFaultRate = 1
	}
	isFree := func(c *candidate) bool {
		return !tried[c.stats] && c.stats.isAvailable(now) && !c.isSaturated(now) && !p.isSuspect(c) && c.stats.faultRate <= tolerableFaultRate
	}
	for _, tier := range s.tiers {
		free := filter(tier, isFree)
		if warm := filter(free, func(c *candidate) bool { return !c.upstream.Cold }); len(warm) > 0 {
			free = warm
		}
		if c := leastLoadedOfTwo(free, now); c != nil {
			return c
		}
	}
	all = filter(all, func(c *candidate) bool { return !tried[c.stats] && !c.stats.isLimited(now) })
	if c := leastLoadedOfTwo(filter(all, func(c *candidate) bool { return c.stats.isAvailable(now) }), now); c != nil {
		return c
	}
	return leastLoadedOfTwo(all, now)
}

// limitDelay returns how long it takes until the limit of an upstream that has not been tried allows a call, or zero if none of them
// is limited.
func (p *Picker) limitDelay(key subsetKey, tried map[*stats]bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, shortest := p.cfg.Now(), time.Duration(0)
	for _, tier := range p.subset(key).tiers {
		for _, c := range tier {
			if delay := c.stats.limitedUntil.Sub(now); !tried[c.stats] && delay > 0 && (shortest == 0 || delay < shortest) {
				shortest = delay
			}
		}
	}
	return shortest
}

// isEvacuated reports whether there is no upstream for a key because all of them are in evacuated data centres.
func (p *Picker) isEvacuated(key subsetKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subset(key)
	for _, tier := range s.tiers {
		if len(tier) > 0 {
			return false
		}
	}
	return s.excluded
}

// lowestFaultRate returns the lowest fault rate of the upstreams that may be picked.
func lowestFaultRate(all []*candidate, tried map[*stats]bool, now time.Time) float64 {
	lowest := 1.0
	for _, c := range all {
		if !tried[c.stats] && c.stats.isAvailable(now) {
			lowest = min(lowest, c.stats.faultRate)
		}
	}
	return lowest
}

func (p *Picker) isSuspect(c *candidate) bool {
	return c.upstream.Node != p.cfg.Node && p.cfg.IsSuspect(c.upstream.PeerAddress)
}

func (p *Picker) roundRobin(s *subset, tried map[*stats]bool) *candidate {
	var all []*candidate
	for _, tier := range s.tiers {
		all = append(all, filter(tier, func(c *candidate) bool { return !tried[c.stats] })...)
	}
	if len(all) == 0 {
		return nil
	}
	sort.Slice(all, func(i, j int) bool { return all[i].upstream.Node < all[j].upstream.Node })
	p.roundRobinIndex++
	return all[p.roundRobinIndex%len(all)]
}

func filter(list []*candidate, wanted func(c *candidate) bool) []*candidate {
	var kept []*candidate
	for _, c := range list {
		if wanted(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

// leastLoadedOfTwo returns the one of two random candidates whose cost is lower.
func leastLoadedOfTwo(list []*candidate, now time.Time) *candidate {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	list = withoutSlow(list, now)
	if len(list) == 1 {
		return list[0]
	}
	i := rand.IntN(len(list))
	j := (i + 1 + rand.IntN(len(list)-1)) % len(list)
	if list[j].cost(now) < list[i].cost(now) {
		return list[j]
	}
	return list[i]
}

// cost grows with the calls in flight and their latency, and with the tries that a call needs; the calls per slot decide while
// no latency is known. For an upstream that reports its pace, it is the time that it is expected to need.
func (c *candidate) cost(now time.Time) time.Duration {
	perSlot := time.Duration(c.stats.inFlight+1) * time.Millisecond / time.Duration(max(c.upstream.Slots, 1))
	once := perSlot + c.stats.latency*time.Duration(c.stats.inFlight+1)
	if c.stats.load.pace.IsReported() {
		once = perSlot + c.stats.load.expectedTime(c.stats.latency, c.stats.inFlight, c.upstream.Slots, now)
	}
	return time.Duration(float64(once) / (1 - min(c.stats.faultRate, maxCostFaultRate)))
}

// isSaturated reports whether a call would have to wait for a slot.
func (c *candidate) isSaturated(now time.Time) bool {
	if c.stats.inFlight >= int(c.upstream.Slots) || c.stats.isLimited(now) {
		return true
	}
	return c.stats.loadPermille >= fullLoadPermille && now.Sub(c.stats.loadAt) < overloadTTL
}

// subset returns the bounded list of upstreams that this node uses; it is chosen again when the members or the evacuations change. Cold
// upstreams are bounded separately, so that a data centre whose upstreams are all cold uses others as well.
func (p *Picker) subset(key subsetKey) *subset {
	all := p.cfg.Upstreams(key.service)
	evacuated := p.cfg.Evacuated()
	known, found := p.subsets[key]
	if found && sameSlice(known.all, all) && maps.Equal(known.evacuated, evacuated) {
		return known
	}
	s := &subset{all: all, evacuated: evacuated}
	taken := map[bool]int{}
	for _, u := range p.preferred(all, key) {
		if evacuated[u.DataCentre] {
			s.excluded = true
			continue
		}
		if taken[u.Cold] == p.cfg.SubsetSize {
			continue
		}
		taken[u.Cold]++
		tier := p.tier(u)
		s.tiers[tier] = append(s.tiers[tier], &candidate{upstream: u, stats: p.statsOf(key, u)})
		if u.Node != p.cfg.Node {
			p.cfg.Preconnect(u.PeerAddress)
		}
	}
	p.subsets[key] = s
	return s
}

// sameSlice reports whether two lists are the same slice; the member table replaces a list when it changes.
func sameSlice(a, b []*member.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (p *Picker) statsOf(key subsetKey, u *member.Upstream) *stats {
	id := statsKey{node: u.Node, life: u.Life, service: key.service, version: u.Version}
	s, found := p.stats[id]
	if !found {
		s = &stats{load: newReportedLoad()}
		p.stats[id] = s
	}
	return s
}

// isForeign reports whether an upstream is in another data centre.
func (p *Picker) isForeign(u *member.Upstream) bool { return u.DataCentre != p.cfg.DataCentre }

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

// preferred sorts the matching upstreams by tier and within a tier by a hash that differs from node to node.
func (p *Picker) preferred(all []*member.Upstream, key subsetKey) []*member.Upstream {
	var list []*member.Upstream
	for _, u := range all {
		if key.matches(u) {
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

// Run keeps connections to the subsets in use open until the context ends.
func (p *Picker) Run(ctx context.Context, changed func() <-chan struct{}) {
	ticker := time.NewTicker(refreshInterval)
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

// refresh preconnects to the nodes of all subsets and drops the statistics of upstreams that are in none.
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
	for k, s := range p.stats {
		if !used[s] && s.inFlight == 0 {
			delete(p.stats, k)
		}
	}
}
