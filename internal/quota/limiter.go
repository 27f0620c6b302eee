package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// requestTimeout covers a dial and a round trip between the most distant regions.
	requestTimeout = 350 * time.Millisecond
	// silentTimeout is how long a node that fell silent counts as one that may be running on the other side of a cut.
	silentTimeout = time.Minute
	tickInterval  = 50 * time.Millisecond
	viewInterval  = 500 * time.Millisecond
	// largeViewInterval is the interval in deployments of more than largeDeployment nodes, where each view takes milliseconds, and
	// without quotas.
	largeViewInterval = 5 * time.Second
	largeDeployment   = 1000
)

// Config configures a Limiter.
type Config struct {
	Node   string
	Life   uint64
	Bounds Bounds
	Now    func() time.Time
	Logger *zap.Logger
	// Quotas returns the quotas in force by workspace; the map must not change afterwards. Workspaces without a rate have no quota.
	Quotas func() map[string]Quota
	// Members returns the nodes that are live, have left, or went down within the duration.
	Members func(silent time.Duration) []Member
	// Joined reports whether this node is connected to others, or is the only one.
	Joined func() bool
	// Send sends a request to another node and returns its reply.
	Send func(ctx context.Context, node string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error)
}

// Counters counts the work of a Limiter.
type Counters struct {
	// Admitted, Exceeded and Unavailable count calls by their decision, Returned those that gave their token back.
	Admitted, Exceeded, Unavailable, Returned atomic.Uint64
	// Granted counts the tokens that this node granted as an owner.
	Granted atomic.Uint64
	// Requests counts the requests sent to other nodes, Failures those without a reply, Served the requests of other nodes, and Invalid
	// those of them that name no shard.
	Requests, Failures, Served, Invalid atomic.Uint64
}

// Decision says whether a call may run.
type Decision struct {
	Admitted bool
	// Unavailable means that the call is refused for lack of an owner, not because the quota is exceeded.
	Unavailable bool
	// RetryAfter is the time after which a call that was refused has a realistic chance.
	RetryAfter time.Duration

	release func()
}

// Release gives the token of an admitted call back. It must be called at most once, and only if the call certainly did not run.
func (d Decision) Release() {
	if d.release != nil {
		d.release()
	}
}

// Limiter admits calls of workspaces by their quotas. It is safe for concurrent use.
type Limiter struct {
	Counters Counters

	cfg   Config
	clock *Clock
	tasks sync.WaitGroup

	mu      sync.Mutex
	stock   *Stock
	owner   *Owner
	waiting map[string][]chan Result
	// owners holds the owner of each shard that was logged last.
	owners map[shardKey]string
	ctx    context.Context
	stop   context.CancelFunc
	viewAt time.Duration
	// activeView means that there were quotas when the view was last due.
	activeView bool
}

// New returns a limiter that knows no other nodes until Run is called.
func New(cfg Config) *Limiter {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Limiter{
		cfg: cfg, clock: NewClock(cfg.Now), ctx: ctx, stop: stop,
		stock:   NewStock(StockConfig{Node: cfg.Node, Life: cfg.Life}),
		owner:   NewOwner(OwnerConfig{Bounds: cfg.Bounds, Quotas: cfg.Quotas, FirstStamp: rand.Uint32()}),
		waiting: map[string][]chan Result{}, owners: map[shardKey]string{}, viewAt: -viewInterval,
	}
}

// Run keeps votes and stocks until the context ends, and waits for the requests under way.
func (l *Limiter) Run(ctx context.Context) {
	defer l.tasks.Wait()
	defer l.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		l.tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave takes back the votes of this node and returns those that it holds, before it stops. Calls are still admitted with tokens of others.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stock.Leave()
	l.owner.Leave()
	l.sendDue()
}

// Close ends the grants of this node. It must be called before the other nodes learn that this one has left, since they vote for others
// then without asking.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Close()
}

// HandleRequest replies to the request of another node.
func (l *Limiter) HandleRequest(request *wirepb.QuotaRequest) *wirepb.QuotaReply {
	l.Counters.Served.Add(1)
	if _, _, valid := voteOf(request); !valid && l.Counters.Invalid.Add(1) == 1 {
		l.cfg.Logger.Warn("request for quota tokens names no shard; further ones are only counted", zap.String("node", request.GetNode()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handle(request)
}

func (l *Limiter) handle(request *wirepb.QuotaRequest) *wirepb.QuotaReply {
	reply := l.owner.Handle(l.clock.Read(), l.stock.WithoutUnprovenVote(request))
	for _, g := range reply.GetGrants() {
		if _, isShard := parseShard(g.GetWorkspace()); !isShard {
			l.Counters.Granted.Add(uint64(g.GetTokens()))
		}
	}
	return reply
}

// Take decides on a call of a workspace. It waits for tokens at most for the given time and until the context ends.
func (l *Limiter) Take(ctx context.Context, workspace string, wait time.Duration) Decision {
	if l.cfg.Quotas()[workspace].Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	result := l.stock.Take(l.clock.Read(), workspace)
	var answer chan Result
	if result.Verdict == Waiting {
		answer = make(chan Result, 1)
		l.waiting[workspace] = append(l.waiting[workspace], answer)
		l.stock.Wait(workspace, 1)
	}
	l.sendDue()
	l.mu.Unlock()
	if answer != nil {
		result = l.await(ctx, workspace, wait, answer)
	}
	return l.decide(workspace, result)
}

func (l *Limiter) await(ctx context.Context, workspace string, wait time.Duration, answer chan Result) Result {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-answer:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case result := <-answer:
		return result
	default:
	}
	l.waiting[workspace] = slices.DeleteFunc(l.waiting[workspace], func(other chan Result) bool { return other == answer })
	l.stock.Wait(workspace, -1)
	return Result{Verdict: Unavailable, RetryAfter: unavailableRetry}
}

func (l *Limiter) decide(workspace string, result Result) Decision {
	switch result.Verdict {
	case Admitted:
		l.Counters.Admitted.Add(1)
		return Decision{Admitted: true, release: func() {
			l.Counters.Returned.Add(1)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.stock.Return(l.clock.Read(), workspace, result.Expires)
		}}
	case Exceeded:
		l.Counters.Exceeded.Add(1)
		return Decision{RetryAfter: result.RetryAfter}
	default:
		l.Counters.Unavailable.Add(1)
		return Decision{Unavailable: true, RetryAfter: result.RetryAfter}
	}
}

// tick updates the view and sends what is due.
func (l *Limiter) tick() {
	l.updateViewIfDue()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendDue()
}

// updateViewIfDue updates the view at intervals, and as soon as there are quotas. A node gets its configuration after its first view, and
// must not take itself for the only node until the next one. The view is kept without quotas, too, so that the node can vote once there are some.
func (l *Limiter) updateViewIfDue() {
	active := l.isActive()
	l.mu.Lock()
	due := l.clock.Read().Slow >= l.viewAt || active && !l.activeView
	l.activeView = active
	l.mu.Unlock()
	if due {
		l.updateView()
	}
}

func (l *Limiter) updateView() {
	members, joined := l.cfg.Members(silentTimeout), l.cfg.Joined()
	interval := viewInterval
	if len(members) > largeDeployment || !l.isActive() {
		interval = largeViewInterval
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Read()
	l.viewAt = now.Slow + interval
	l.stock.SetView(now, NewView(l.stock.Classify(now, l.cfg.Now(), members, joined)), joined)
}

// isActive reports whether any workspace has a quota.
func (l *Limiter) isActive() bool {
	for _, q := range l.cfg.Quotas() {
		if q.Rate > 0 {
			return true
		}
	}
	return false
}

// sendDue sends the requests that are due; those to this node itself are handled at once. l.mu must be held.
func (l *Limiter) sendDue() {
	// A reply of this node itself may make another request due: first the stamp, then the vote.
	for more, rounds := true, 0; more && rounds < maxRequestsInFlight; rounds++ {
		more = false
		for _, r := range l.stock.Due(l.clock.Read(), l.isActive()) {
			l.logOwner(r)
			if r.Target == l.cfg.Node {
				l.apply(r, l.handle(r.Message), nil)
				more = true
				continue
			}
			if l.ctx.Err() != nil {
				l.apply(r, nil, l.ctx.Err())
				continue
			}
			l.Counters.Requests.Add(1)
			l.tasks.Go(func() { l.send(r) })
		}
	}
}

func (l *Limiter) send(r *Request) {
	ctx, cancel := context.WithTimeout(l.ctx, requestTimeout)
	defer cancel()
	reply, err := l.cfg.Send(ctx, r.Target, r.Message)
	if err != nil && ctx.Err() != nil {
		// The stream is closed at the timeout, so that its error does not tell.
		err = ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(r, reply, err)
	if l.ctx.Err() == nil {
		l.sendDue()
	}
}

// apply passes the result of a request on to the calls that wait for it. l.mu must be held.
func (l *Limiter) apply(r *Request, reply *wirepb.QuotaReply, err error) {
	now := l.clock.Read()
	if err != nil {
		l.Counters.Failures.Add(1)
		l.stock.Fail(now, r, errors.Is(err, context.DeadlineExceeded))
	} else {
		l.stock.Reply(now, r, reply)
	}
	for _, workspace := range r.workspaces() {
		calls := l.waiting[workspace]
		for len(calls) > 0 {
			result := l.stock.Retry(now, workspace)
			if result.Verdict == Waiting {
				break
			}
			l.stock.Wait(workspace, -1)
			calls[0] <- result
			calls = calls[1:]
		}
		if len(calls) == 0 {
			delete(l.waiting, workspace)
		} else {
			l.waiting[workspace] = calls
		}
	}
}

// logOwner logs which node is asked for the tokens of a shard when that changes.
func (l *Limiter) logOwner(r *Request) {
	if r.probe || l.owners[r.shard.key] == r.Target {
		return
	}
	if len(l.owners) > maxShards {
		clear(l.owners)
	}
	l.cfg.Logger.Info("quota owner changed", zap.String("shard", r.shard.key.String()), zap.String("owner", r.Target), zap.String("before", l.owners[r.shard.key]))
	l.owners[r.shard.key] = r.Target
}
