package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// forecastPeriod is the time constant of the average of a workspace's demand on this node.
	forecastPeriod = 1600 * time.Millisecond
	// stockShare and refillShare are the parts of the validity of tokens whose forecast demand a node keeps in stock, and below which it
	// asks for more. With a smaller stock, nodes send more requests; with a larger one, tokens expire unused.
	stockShare  = 0.75
	refillShare = 0.3
	// minPrefetch is the forecast in tokens from which a node keeps a stock.
	minPrefetch = 0.8
	// minRefill is the stock in tokens from which it is filled up before it is empty. A smaller one is filled up with the request for the
	// next call that finds it empty, which saves requests.
	minRefill = 2
	// refillSpacing is the least time between two requests for tokens that no call is waiting for yet.
	refillSpacing = 300 * time.Millisecond
	// minExhausted and maxExhausted bound the time for which a node asks for no tokens of a workspace after a grant of less than it
	// needed; the demand of a workspace over its quota would send many requests otherwise.
	minExhausted = 50 * time.Millisecond
	maxExhausted = 600 * time.Millisecond
	// unavailableDelay is how long calls are refused at once after a reply that grants nothing because its sender has no votes.
	unavailableDelay    = 100 * time.Millisecond
	unavailableRetry    = 300 * time.Millisecond
	idleSpaceTimeout    = 10 * time.Second
	expectedValid       = time.Second
	maxRequestsInFlight = 4
)

// Verdict is the answer of a Stock to a call.
type Verdict int

// The verdicts.
const (
	// Admitted means that a token was used.
	Admitted Verdict = iota
	// Waiting means that the owner is asked for tokens.
	Waiting
	// Exceeded means that the calls of the workspace exceed its quota.
	Exceeded
	// Unavailable means that no owner can be reached, or none has votes yet.
	Unavailable
)

// StockConfig configures a Stock.
type StockConfig struct {
	Node   string
	Life   uint64
	Random *rand.Rand
}

// Stock holds the tokens of one node and decides which owners it votes for and asks for tokens. It is not safe for concurrent use.
type Stock struct {
	cfg  StockConfig
	hash uint64
	view *View
	// shards holds the shards that this node uses, ordered by index.
	shards     []*shard
	shardCount uint32
	spaces     map[string]*space
	voting     votingState
	arrivals   arrivals
	nextID     uint64
}

// space is what a node knows of one workspace.
type space struct {
	name   string
	shard  *shard
	grants []grant
	// waiting is the number of calls that wait for a token, asked the number of tokens in requests that are under way.
	waiting int
	asked   int
	// expired is the number of tokens that expired unused and that the owner was not told of.
	expired int
	// rate is the average demand in calls per second at usedAt.
	rate           float64
	usedAt         time.Duration
	exhaustedUntil time.Duration
	availableAt    time.Duration
	valid          time.Duration
}

type grant struct {
	tokens  int
	expires time.Duration
}

// Request is a request that is due; its sender passes the result to Reply or Fail.
type Request struct {
	// Target is the name of the node to send the message to; it may be this node.
	Target  string
	Message *wirepb.QuotaRequest

	id     uint64
	shard  *shard
	sentAt Reading
	votes  bool
	probe  bool
	asked  map[*space]int
}

// NewStock returns a stock without tokens. The node knows only itself until SetView is called.
func NewStock(cfg StockConfig) *Stock {
	s := &Stock{cfg: cfg, hash: xxhash.Sum64String(cfg.Node), spaces: map[string]*space{}}
	s.view = NewView([]Member{{Name: cfg.Node, Live: true}})
	s.setShardCount(s.view.shardCount())
	return s
}

// Result is the result of taking a token.
type Result struct {
	Verdict Verdict
	// RetryAfter is the time after which another try may succeed if no token was taken.
	RetryAfter time.Duration
	// Expires is when the token that was taken expires.
	Expires time.Duration
}

// Take takes a token for a call of a workspace that has a quota.
func (s *Stock) Take(now Reading, workspace string) Result {
	p := s.space(workspace)
	p.observe(now)
	return s.Retry(now, workspace)
}

// Retry is Take for a call that has waited; it does not count as further demand.
func (s *Stock) Retry(now Reading, workspace string) Result {
	p := s.space(workspace)
	p.expire(now)
	if len(p.grants) > 0 {
		expires := p.grants[0].expires
		p.grants[0].tokens--
		if p.grants[0].tokens == 0 {
			p.grants = p.grants[1:]
		}
		p.shard.refill = p.shard.refill || p.isShort(now)
		return Result{Verdict: Admitted, Expires: expires}
	}
	if now.Slow < p.exhaustedUntil {
		return Result{Verdict: Exceeded, RetryAfter: max(p.availableAt-now.Slow, minExhausted)}
	}
	if now.Slow < p.shard.unavailableUntil {
		return Result{Verdict: Unavailable, RetryAfter: unavailableRetry}
	}
	return Result{Verdict: Waiting, RetryAfter: unavailableRetry}
}

// Return gives a token back that a call did not use. It expires as before.
func (s *Stock) Return(now Reading, workspace string, expires time.Duration) {
	if expires > now.Fast {
		p := s.space(workspace)
		p.add(grant{tokens: 1, expires: expires})
	}
}

// Wait adds to the calls of a workspace that wait for a token.
func (s *Stock) Wait(workspace string, calls int) {
	p := s.space(workspace)
	p.waiting += calls
	p.shard.urgent = p.shard.urgent || p.waiting > p.asked
}

func (s *Stock) space(workspace string) *space {
	p, found := s.spaces[workspace]
	if !found {
		p = &space{name: workspace, shard: s.shard(shardOf(workspace, s.shardCount)), valid: expectedValid}
		s.spaces[workspace] = p
		p.shard.spaces[workspace] = p
	}
	return p
}

// observe adds a call to the demand.
func (p *space) observe(now Reading) {
	p.rate = p.forecast(now) + 1/forecastPeriod.Seconds()
	p.usedAt = now.Slow
}

func (p *space) forecast(now Reading) float64 {
	return p.rate * math.Exp(-float64(now.Slow-p.usedAt)/float64(forecastPeriod))
}

// expire removes the tokens that have expired.
func (p *space) expire(now Reading) {
	for len(p.grants) > 0 && p.grants[0].expires <= now.Fast {
		p.expired += p.grants[0].tokens
		p.grants = p.grants[1:]
	}
}

// add adds a grant, ordered by expiry.
func (p *space) add(g grant) {
	position := len(p.grants)
	for position > 0 && p.grants[position-1].expires > g.expires {
		position--
	}
	p.grants = append(p.grants, grant{})
	copy(p.grants[position+1:], p.grants[position:])
	p.grants[position] = g
}

func (p *space) tokens() int {
	sum := 0
	for _, g := range p.grants {
		sum += g.tokens
	}
	return sum
}

// wanted returns the stock that the forecast asks for. Demand of less than a token in this time is served on request, since the tokens
// would mostly expire unused.
func (p *space) wanted(now Reading) int {
	if target := p.forecast(now) * stockShare * p.valid.Seconds(); target >= minPrefetch {
		return int(math.Round(target))
	}
	return 0
}

// isShort reports whether the stock is below the part of the forecast from which more is requested.
func (p *space) isShort(now Reading) bool {
	return now.Slow >= p.exhaustedUntil && p.forecast(now)*refillShare*p.valid.Seconds() >= minRefill &&
		float64(p.tokens()+p.asked) < p.forecast(now)*refillShare*p.valid.Seconds()
}

// need returns the number of tokens to ask for.
func (p *space) need(now Reading) int {
	p.expire(now)
	if now.Slow < p.exhaustedUntil {
		return 0
	}
	return max(p.waiting+p.wanted(now)-p.tokens()-p.asked, 0)
}

// Due returns the requests that are due. Active says whether any workspace has a quota; without one, no request is due.
func (s *Stock) Due(now Reading, active bool) []*Request {
	if !active {
		return nil
	}
	s.updateShards(now)
	var due []*Request
	for _, d := range s.shards {
		s.chooseTarget(d, now)
		if d.target == "" {
			continue
		}
		due = append(due, s.probes(d, now)...)
		if s.isDue(d, now) {
			due = append(due, s.request(d, now))
		}
	}
	return due
}

func (s *Stock) isDue(d *shard, now Reading) bool {
	idle := now.Slow - d.sentAt
	switch {
	case d.inFlight >= maxRequestsInFlight:
		return false
	case d.urgent || d.voteNow:
		return true
	case d.refill:
		return idle >= refillSpacing
	}
	return idle >= voteInterval && d.inFlight == 0 && s.isVoter(d)
}

// request builds a request to the target of a shard: the vote and all that the node needs there.
func (s *Stock) request(d *shard, now Reading) *Request {
	r := s.newRequest(d, now, d.target)
	stamp := uint32(0)
	if s.mayVote(d, now) && d.stamp != 0 {
		stamp = d.stamp
		d.vote = heldVote{holder: d.target, until: max(d.vote.until, d.stampAt+voteDuration+voteMargin), castID: r.id}
		r.votes = true
	}
	r.Message.Needs = append(r.Message.Needs, &wirepb.QuotaNeed{Workspace: d.key.String(), Tokens: stamp})
	r.asked = map[*space]int{}
	for name, p := range d.spaces {
		if p.waiting == 0 && now.Slow-p.usedAt > idleSpaceTimeout && p.asked == 0 {
			delete(d.spaces, name)
			delete(s.spaces, name)
			continue
		}
		if need := p.need(now); need > 0 || p.expired > 0 {
			r.Message.Needs = append(r.Message.Needs, &wirepb.QuotaNeed{Workspace: name, Tokens: uint32(need), Returned: uint32(p.expired)})
			p.expired = 0
			p.asked += need
			if need > 0 {
				r.asked[p] = need
			}
		}
	}
	d.urgent, d.refill, d.voteNow = false, false, false
	d.sentAt = now.Slow
	d.inFlight++
	return r
}

func (s *Stock) newRequest(d *shard, now Reading, target string) *Request {
	s.nextID++
	return &Request{
		id: s.nextID, Target: target, shard: d, sentAt: now,
		Message: &wirepb.QuotaRequest{Node: s.cfg.Node, Life: s.cfg.Life, KnownNodes: uint32(s.view.voterCount(d.key))},
	}
}

// Reply applies the reply to a request.
func (s *Stock) Reply(now Reading, r *Request, reply *wirepb.QuotaReply) {
	s.settle(r)
	s.applyStamp(now, r, reply)
	if r.probe {
		return
	}
	if reply.GetUnavailable() && r.Target == r.shard.target {
		r.shard.unavailableUntil = now.Slow + unavailableDelay
	}
	granted := map[string]bool{}
	for _, g := range reply.GetGrants() {
		p := s.spaces[g.GetWorkspace()]
		if p == nil || r.asked[p] == 0 || granted[p.name] {
			continue
		}
		granted[p.name] = true
		s.applyGrant(now, r, p, g)
	}
	for p := range r.asked {
		if !granted[p.name] && !reply.GetUnavailable() {
			// The owner does not know the workspace yet, or knows that it has no quota any more.
			p.exhaust(now, minExhausted)
		}
	}
}

func (s *Stock) applyGrant(now Reading, r *Request, p *space, g *wirepb.QuotaGrant) {
	valid := min(max(g.GetValid().AsDuration(), 0), maxValid)
	p.valid = max(valid, minValid)
	tokens := min(int(g.GetTokens()), r.asked[p])
	if tokens > 0 {
		p.add(grant{tokens: tokens, expires: r.sentAt.Fast + valid})
	}
	if tokens < r.asked[p] {
		p.exhaust(now, g.GetAvailableIn().AsDuration())
	}
}

func (p *space) exhaust(now Reading, availableIn time.Duration) {
	p.availableAt = now.Slow + max(availableIn, minExhausted)
	p.exhaustedUntil = now.Slow + min(max(availableIn, minExhausted), maxExhausted)
}

// Fail records that a request got no reply: in time, or for another reason such as a closed connection.
func (s *Stock) Fail(now Reading, r *Request, timedOut bool) {
	s.settle(r)
	d := r.shard
	if r.probe {
		d.suspects[r.Target] = true
		return
	}
	for p := range r.asked {
		d.urgent = d.urgent || p.waiting > 0
	}
	if r.Target != d.target {
		return
	}
	d.failures++
	if d.failures >= maxFailures && (!timedOut || now.Slow-d.repliedAt >= slowTimeout) {
		d.suspects[d.target] = true
		d.probedAt[d.target] = now.Slow
		d.failures = 0
	}
}

// settle ends the accounting of a request that is under way.
func (s *Stock) settle(r *Request) {
	if !r.probe {
		r.shard.inFlight--
	}
	for p, asked := range r.asked {
		p.asked -= asked
	}
}

// workspaces returns the names of the workspaces for which tokens were asked.
func (r *Request) workspaces() []string {
	names := make([]string, 0, len(r.asked))
	for p := range r.asked {
		names = append(names, p.name)
	}
	return names
}
