package quota

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// voteDuration is how long a vote counts after its owner issued the stamp that the vote carries. It covers two voteIntervals. A node that
	// restarted votes only after it, since its earlier process may have voted.
	voteDuration = 2200 * time.Millisecond
	stampUnit    = 100 * time.Microsecond
	// demandPeriod is the period over which the demand for tokens is summed up; most nodes that need more ask once in it.
	demandPeriod = 400 * time.Millisecond
	syncInterval = time.Second
	// idleLedgerTimeout is how long the ledger of a shard without votes is kept.
	idleLedgerTimeout = time.Minute
	minAvailableIn    = 50 * time.Millisecond
	maxAvailableIn    = 2 * time.Second
	// maxNeed bounds the tokens that one entry of a request may ask for.
	maxNeed = 1 << 20
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Bounds Bounds
	// Quotas returns the quotas in force by workspace; the map must not change afterwards.
	Quotas func() map[string]Quota
	// FirstStamp is the stamp at the start; it should be random so that no stamp of an earlier process is taken for one of this.
	FirstStamp uint32
}

// Owner grants tokens. Any node grants tokens of a shard in proportion to the votes that it holds there: a node votes for one owner at
// a time, and its vote weighs one part in the number of voters that it knows, so that all owners together hold at most one share. An
// Owner is not safe for concurrent use.
type Owner struct {
	cfg       OwnerConfig
	leaving   bool
	lastStamp uint32
	ledgers   map[shardKey]*ledger
}

// ledger holds the votes and the buckets of one shard.
type ledger struct {
	votes map[string]vote
	// released holds the stamps at which nodes took their votes back; a vote with an older stamp was overtaken.
	released map[string]uint32
	share    float64
	// shareSeconds is the integral of the share over time.
	shareSeconds float64
	advancedAt   time.Duration
	votedAt      time.Duration
	syncedAt     time.Duration
	buckets      map[string]*bucket
}

type vote struct {
	stamp uint32
	known uint32
}

// bucket is the token bucket of one workspace.
type bucket struct {
	quota Quota
	limit limit
	// level is the content of the bucket, debt what was granted ahead of the rate.
	level float64
	debt  float64
	// filledAt is the value of shareSeconds up to which the bucket was filled.
	filledAt float64
	// demand and previousDemand are the tokens asked for in the current and in the last demandPeriod.
	demand, previousDemand float64
	period                 int64
}

// NewOwner returns an owner without votes.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, lastStamp: cfg.FirstStamp, ledgers: map[shardKey]*ledger{}}
}

// Leave makes the owner accept no votes and return those of all nodes that ask. It still grants in proportion to the others. Its replies
// carry no stamp, so that nodes vote for other owners at once.
func (o *Owner) Leave() { o.leaving = true }

// Close makes the owner grant nothing any more.
func (o *Owner) Close() {
	o.leaving = true
	clear(o.ledgers)
}

// Handle replies to a request. A request without a vote takes back an earlier one of its sender.
func (o *Owner) Handle(now Reading, request *wirepb.QuotaRequest) *wirepb.QuotaReply {
	key, stamp, found := voteOf(request)
	l := o.ledgers[key]
	if !found || o.leaving && l == nil {
		return &wirepb.QuotaReply{Unavailable: true}
	}
	if l == nil {
		l = o.addLedger(key, now)
	}
	current := o.stamp(now)
	l.advance(now, current)
	if !o.leaving {
		l.vote(now, request, stamp, current)
	}
	o.sync(l, key, now, request.GetNeeds())
	reply := &wirepb.QuotaReply{Unavailable: l.share == 0, Share: l.share}
	if o.leaving {
		// The sender gets its tokens by its vote for the last time.
		defer l.vote(now, request, 0, current)
	} else {
		reply.Grants = append(reply.Grants, &wirepb.QuotaGrant{Workspace: key.String(), Tokens: o.stamp(now)})
	}
	if reply.Unavailable {
		return reply
	}
	for _, need := range request.GetNeeds() {
		b := l.buckets[need.GetWorkspace()]
		if b == nil {
			continue
		}
		// Tokens that expired do not count against the rate. The bucket does not get them back: they may have been granted long before
		// the window that it guards.
		b.debt = max(b.debt-float64(need.GetReturned()), 0)
		if need.GetTokens() > 0 {
			reply.Grants = append(reply.Grants, l.grant(b, now, need))
		}
	}
	return reply
}

// voteOf returns the shard of a request and the stamp of the vote that it carries, or 0.
func voteOf(request *wirepb.QuotaRequest) (shardKey, uint32, bool) {
	for _, need := range request.GetNeeds() {
		if key, valid := parseShard(need.GetWorkspace()); valid {
			return key, need.GetTokens(), request.GetNode() != ""
		}
	}
	return shardKey{}, 0, false
}

func (o *Owner) addLedger(key shardKey, now Reading) *ledger {
	for other, l := range o.ledgers {
		if len(l.votes) == 0 && now.Slow-l.votedAt > idleLedgerTimeout {
			delete(o.ledgers, other)
		}
	}
	l := &ledger{votes: map[string]vote{}, released: map[string]uint32{}, buckets: map[string]*bucket{}, advancedAt: now.Slow, votedAt: now.Slow, syncedAt: now.Slow - syncInterval}
	o.ledgers[key] = l
	return l
}

// stamp returns the time by the fast clock as a stamp that is greater than all before it and not 0.
func (o *Owner) stamp(now Reading) uint32 {
	stamp := o.cfg.FirstStamp + uint32(now.Fast/stampUnit)
	if int32(stamp-o.lastStamp) <= 0 {
		stamp = o.lastStamp + 1
	}
	if stamp == 0 {
		stamp = 1
	}
	o.lastStamp = stamp
	return stamp
}

// isCurrent reports whether a stamp was issued less than voteDuration ago.
func isCurrent(stamp, now uint32) bool { return now-stamp < uint32(voteDuration/stampUnit) }

// advance removes the votes that have run out and fills the buckets for the time since the last request by the votes that remain.
func (l *ledger) advance(now Reading, stamp uint32) {
	expired := false
	for node, v := range l.votes {
		if !isCurrent(v.stamp, stamp) {
			delete(l.votes, node)
			expired = true
		}
	}
	before := l.share
	share := before
	if expired {
		share = l.computeShare()
	}
	l.shareSeconds += min(before, share) * max(now.Slow-l.advancedAt, 0).Seconds()
	l.advancedAt = now.Slow
	l.setShare(share)
}

// vote records or removes the vote of the sender of a request.
func (l *ledger) vote(now Reading, request *wirepb.QuotaRequest, stamp, current uint32) {
	node := request.GetNode()
	held, voted := l.votes[node]
	switch released, found := l.released[node]; {
	case stamp == 0:
		delete(l.votes, node)
		l.release(node, current)
	case !isCurrent(stamp, current) || request.GetKnownNodes() == 0 || found && isCurrent(released, current) && int32(stamp-released) <= 0:
		return
	case voted && int32(held.stamp-stamp) >= 0:
		return
	default:
		l.votes[node] = vote{stamp: stamp, known: request.GetKnownNodes()}
		l.votedAt = now.Slow
	}
	if next := l.votes[node]; next.known != held.known {
		l.setShare(l.computeShare())
	}
}

// release records that a node took its vote back and forgets those that no vote under way can be older than.
func (l *ledger) release(node string, current uint32) {
	for other, stamp := range l.released {
		if !isCurrent(stamp, current) {
			delete(l.released, other)
		}
	}
	l.released[node] = current
}

// computeShare returns the share of the rate that the votes amount to. A node whose member table is not complete yet counts too few
// voters, so that no vote weighs more than one with the median count.
func (l *ledger) computeShare() float64 {
	if len(l.votes) == 0 {
		return 0
	}
	counts := make([]uint32, 0, len(l.votes))
	for _, v := range l.votes {
		counts = append(counts, v.known)
	}
	slices.Sort(counts)
	median := counts[len(counts)/2]
	share := 0.0
	for _, known := range counts {
		share += 1 / float64(max(known, median))
	}
	return min(share, 1)
}

// setShare changes the share. Buckets are filled before, since their capacity depends on the share.
func (l *ledger) setShare(share float64) {
	if share == l.share {
		return
	}
	for _, b := range l.buckets {
		l.fill(b)
	}
	l.share = share
	for _, b := range l.buckets {
		l.fill(b)
	}
}

func (l *ledger) fill(b *bucket) {
	passed := l.shareSeconds - b.filledAt
	b.filledAt = l.shareSeconds
	b.level = min(b.level+b.limit.fill*passed, capacityOf(b.limit.capacity, l.share))
	b.debt = max(b.debt-b.limit.rate*passed, 0)
}

// available returns the number of tokens that can be granted now, with a fraction.
func (l *ledger) available(b *bucket) float64 {
	return max(min(b.level, capacityOf(b.limit.credit, l.share)-b.debt), 0)
}

// capacityOf returns the part of a capacity for a share. Only one owner can hold more than half of the votes; it has at least one token.
func capacityOf(capacity, share float64) float64 {
	if share > 0.5 {
		return max(capacity*share, 1)
	}
	return capacity * share
}

// sync brings the buckets of a shard in line with the quotas in force. All buckets of the shard exist from the first vote on and fill
// from then, so that the first call of a workspace finds tokens.
func (o *Owner) sync(l *ledger, key shardKey, now Reading, needs []*wirepb.QuotaNeed) {
	quotas := o.cfg.Quotas()
	for _, need := range needs {
		name := need.GetWorkspace()
		q, found := quotas[name]
		if b := l.buckets[name]; b != nil && (!found || b.quota != q) || b == nil && found {
			l.syncedAt = now.Slow - syncInterval
		}
	}
	if now.Slow-l.syncedAt < syncInterval {
		return
	}
	l.syncedAt = now.Slow
	for name, b := range l.buckets {
		q := quotas[name]
		switch {
		case q.Rate <= 0:
			delete(l.buckets, name)
		case q != b.quota:
			l.fill(b)
			b.quota, b.limit = q, o.cfg.Bounds.limitOf(q)
			l.fill(b)
		}
	}
	for name, q := range quotas {
		if q.Rate > 0 && l.buckets[name] == nil && shardOf(name, key.count) == key {
			l.buckets[name] = &bucket{quota: q, limit: o.cfg.Bounds.limitOf(q), filledAt: l.shareSeconds}
		}
	}
}

// grant grants tokens for a need: all of them while the bucket and its fill cover the demand, else a part in proportion to the need
// and at least one.
func (l *ledger) grant(b *bucket, now Reading, need *wirepb.QuotaNeed) *wirepb.QuotaGrant {
	l.fill(b)
	wanted := math.Min(float64(need.GetTokens()), maxNeed)
	demand := b.addDemand(now, wanted)
	fill := b.limit.rate * l.share
	available := l.available(b)
	supply := available + fill*2*demandPeriod.Seconds()
	granted := wanted
	if supply < demand {
		granted = math.Max(1, math.Floor(wanted*supply/demand))
	}
	granted = min(granted, wanted, math.Floor(available))
	b.level -= granted
	b.debt += granted
	grant := &wirepb.QuotaGrant{Workspace: need.GetWorkspace(), Tokens: uint32(granted), Valid: durationpb.New(b.limit.valid)}
	if granted < wanted {
		missing := max(demand-supply, 1-(available-granted), 0)
		grant.AvailableIn = durationpb.New(availableIn(missing, fill))
	}
	return grant
}

func availableIn(missing, fill float64) time.Duration {
	if fill*maxAvailableIn.Seconds() <= missing {
		return maxAvailableIn
	}
	return max(time.Duration(missing/fill*float64(time.Second)), minAvailableIn)
}

// addDemand adds a need to the demand and returns the demand of the current and the last demandPeriod.
func (b *bucket) addDemand(now Reading, wanted float64) float64 {
	period := int64(now.Slow / demandPeriod)
	switch {
	case period == b.period+1:
		b.previousDemand, b.demand = b.demand, 0
	case period > b.period:
		b.previousDemand, b.demand = 0, 0
	}
	b.period = period
	b.demand += wanted
	return b.previousDemand + b.demand
}
