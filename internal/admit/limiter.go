package admit

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	rankCount     = 2 * (int(wirepb.Class_CLASS_CRITICAL) + 1)
	averageWeight = 0.1
	// paceTTL is longer than the time between two responses of an upstream that is at work.
	paceTTL = 300 * time.Millisecond
	// paceMeanWeight covers the reports of some seconds.
	paceMeanWeight = 0.02
	// maxQueueTimeout applies to calls without RespondBy, whose wait ends at their deadline.
	maxQueueTimeout = time.Hour
	// serviceTimeMargin covers the spread of service times: with a standard deviation of 0.3 of the mean, nine in ten calls
	// take less than 1.4 times the mean.
	serviceTimeMargin = 1.4
)

// The policies by which waiting calls get a slot.
const (
	// PolicyAuto is PolicyLeastLoss where callers compete by workspace or the upstream reports its pace, else PolicyArrival.
	PolicyAuto = "auto"
	// PolicyArrival admits calls by class, and within a class in order of arrival.
	PolicyArrival = "arrival"
	// PolicyLeastLoss admits calls so that delays and refusals cost callers least.
	PolicyLeastLoss = "least_loss"
)

// RefusedError is returned for a call that was refused before it reached the upstream.
type RefusedError struct {
	Refusal wirepb.Refusal
}

func (e *RefusedError) Error() string { return fmt.Sprintf("call refused: %s", e.Refusal) }

// Config configures a Limiter.
type Config struct {
	// Slots is the number of calls that may run at the same time.
	Slots int
	// QueueSize is the number of calls that may wait for a slot.
	QueueSize int
	Now       func() time.Time
	// Policy is PolicyArrival, the default, PolicyLeastLoss or PolicyAuto.
	Policy string
	// HasWorkspaces reports whether callers belong to workspaces, for PolicyAuto; nil means that they do not.
	HasWorkspaces func() bool
}

// Request describes a call that needs a slot.
type Request struct {
	Class wirepb.Class
	// PastObjective means that the latency objective has passed; the call ranks below those of its class that can meet theirs.
	PastObjective bool
	// RespondBy is the time by which the upstream must respond, or zero for the call's deadline.
	RespondBy time.Time
	// Route and Workspace are those of the call; they may be empty.
	Route     string
	Workspace string
	// Cold is the limit of the upstream's cold start, which a Pacer applies.
	Cold ColdLimit
}

// rank orders the queues by class, and within a class puts calls past their objective last.
func (r Request) rank() int {
	if r.PastObjective {
		return 2 * int(r.Class)
	}
	return 2*int(r.Class) + 1
}

// Limiter assigns the slots of one upstream to calls, the highest rank first and within a rank in order of arrival.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	running int
	queued  int
	closed  bool
	queues  [rankCount]list.List
	// serviceTime is the moving average of the time that a call holds a slot, rankServiceTime the same by rank.
	serviceTime     time.Duration
	rankServiceTime [rankCount]time.Duration
	pace            Pace
	// loss orders the waiting calls with PolicyLeastLoss; it is nil with PolicyArrival.
	loss *lossQueue
}

type waiter struct {
	// decision receives why the call is refused, or REFUSAL_UNSPECIFIED if it is admitted.
	decision chan wirepb.Refusal
}

// NewLimiter returns an open limiter.
func NewLimiter(cfg Config) *Limiter {
	if cfg.HasWorkspaces == nil {
		cfg.HasWorkspaces = func() bool { return false }
	}
	l := &Limiter{cfg: cfg, pace: NewPace(PaceConfig{TTL: paceTTL, MeanWeight: paceMeanWeight})}
	if cfg.Policy == PolicyLeastLoss {
		l.loss = newLossQueue(cfg.Slots)
	}
	return l
}

// Acquire waits for a slot until the context ends; it returns *RefusedError, after which the call has not run.
func (l *Limiter) Acquire(ctx context.Context, request Request) error {
	if l.usesLeastLoss() {
		return l.acquireLeastLoss(ctx, request)
	}
	element, timeout, refusal := l.acquireOrQueue(ctx, request)
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	if element == nil {
		return nil
	}
	w, _ := element.Value.(*waiter)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case refusal = <-w.decision:
	case <-timer.C:
		// Calls of higher ranks were admitted first, so that the response would come after RespondBy.
		refusal = l.leaveQueue(request, element, w, wirepb.Refusal_REFUSAL_OVERLOADED)
	case <-ctx.Done():
		refusal = l.leaveQueue(request, element, w, wirepb.Refusal_REFUSAL_EXPIRED)
	}
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	return nil
}

// acquireOrQueue takes a free slot, queues the call or refuses it; it returns how long the call may stay in the queue.
func (l *Limiter) acquireOrQueue(ctx context.Context, request Request) (*list.Element, time.Duration, wirepb.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, 0, wirepb.Refusal_REFUSAL_LEAVING
	case l.running < l.cfg.Slots && l.queued == 0:
		l.running++
		return nil, 0, wirepb.Refusal_REFUSAL_UNSPECIFIED
	case !l.canMeetDeadlines(ctx, request):
		return nil, 0, wirepb.Refusal_REFUSAL_OVERLOADED
	case l.queued >= l.cfg.QueueSize && !l.shedBelow(request.rank()):
		return nil, 0, wirepb.Refusal_REFUSAL_OVERLOADED
	}
	l.queued++
	element := l.queues[request.rank()].PushBack(&waiter{decision: make(chan wirepb.Refusal, 1)})
	return element, l.queueTimeout(request), wirepb.Refusal_REFUSAL_UNSPECIFIED
}

// queueTimeout returns how long a call may wait before its response would come after RespondBy.
func (l *Limiter) queueTimeout(request Request) time.Duration {
	if request.RespondBy.IsZero() {
		return maxQueueTimeout
	}
	now := l.cfg.Now()
	return request.RespondBy.Add(-l.pace.Scale(l.rankServiceTime[request.rank()], now)).Sub(now)
}

// canMeetDeadlines reports whether a slot is expected before the deadline of the call, and its response by RespondBy. If
// not, the call is refused at once: in an overload, all calls of a long queue would miss their objectives. The margin for the
// spread of service times applies only if other calls are ahead in the queues.
func (l *Limiter) canMeetDeadlines(ctx context.Context, request Request) bool {
	if l.serviceTime == 0 {
		return true
	}
	ahead := 1
	for r := request.rank(); r < rankCount; r++ {
		ahead += l.queues[r].Len()
	}
	now := l.cfg.Now()
	slotAt := now.Add(l.pace.Scale(l.serviceTime, now) * time.Duration(ahead) / time.Duration(l.cfg.Slots))
	if deadline, found := ctx.Deadline(); found && !slotAt.Before(deadline) {
		return false
	}
	serviceTime := l.pace.Scale(l.rankServiceTime[request.rank()], now)
	if ahead > 1 {
		serviceTime = time.Duration(serviceTimeMargin * float64(serviceTime))
	}
	return request.RespondBy.IsZero() || slotAt.Add(serviceTime).Before(request.RespondBy)
}

// shedBelow refuses the newest queued call of the lowest rank below the given one, and reports whether there was one.
func (l *Limiter) shedBelow(rank int) bool {
	for r := range rank {
		if newest := l.queues[r].Back(); newest != nil {
			l.queues[r].Remove(newest)
			l.queued--
			w, _ := newest.Value.(*waiter)
			w.decision <- wirepb.Refusal_REFUSAL_OVERLOADED
			return true
		}
	}
	return false
}

// leaveQueue removes a call from its queue and returns the given refusal; a slot that the call has just been given goes to
// the next call.
func (l *Limiter) leaveQueue(request Request, element *list.Element, w *waiter, refusal wirepb.Refusal) wirepb.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case decision := <-w.decision:
		if decision == wirepb.Refusal_REFUSAL_UNSPECIFIED {
			l.running--
			l.admitNext()
		}
	default:
		l.queues[request.rank()].Remove(element)
		l.queued--
	}
	return refusal
}

// Release frees the slot of a call and records for how long the call held it.
func (l *Limiter) Release(request Request, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	updateAverage(&l.serviceTime, held)
	updateAverage(&l.rankServiceTime[request.rank()], held)
	if l.loss != nil {
		l.loss.observeWork(request.Route, held)
	}
	l.running--
	l.admitNext()
}

// Cancel frees the slot of a call that was not sent to the upstream.
func (l *Limiter) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.admitNext()
}

// updateAverage moves a mean towards a value; the first value sets it.
func updateAverage(mean *time.Duration, value time.Duration) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += time.Duration(averageWeight * float64(value-*mean))
}

func (l *Limiter) admitNext() {
	if l.loss != nil {
		l.admitNextLeastLoss()
		return
	}
	for r := rankCount - 1; r >= 0 && l.running < l.cfg.Slots; r-- {
		if oldest := l.queues[r].Front(); oldest != nil {
			l.queues[r].Remove(oldest)
			l.queued--
			l.running++
			w, _ := oldest.Value.(*waiter)
			w.decision <- wirepb.Refusal_REFUSAL_UNSPECIFIED
			return
		}
	}
}

// Close refuses new and queued calls; running calls go on.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.loss != nil {
		for c := l.loss.takeFirst(); c != nil; c = l.loss.takeFirst() {
			l.queued--
			c.decision <- wirepb.Refusal_REFUSAL_LEAVING
		}
	}
	for r := range l.queues {
		for e := l.queues[r].Front(); e != nil; e = l.queues[r].Front() {
			l.queues[r].Remove(e)
			l.queued--
			w, _ := e.Value.(*waiter)
			w.decision <- wirepb.Refusal_REFUSAL_LEAVING
		}
	}
}

// ObservePace records how long work takes now on the upstream's VM, in percent of the usual time.
func (l *Limiter) ObservePace(percent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.Observe(percent, l.cfg.Now())
}

// Running returns the number of calls that hold a slot.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// LoadPermille returns the number of running and queued calls in thousandths of the slots.
func (l *Limiter) LoadPermille() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint32((l.running + l.queued) * 1000 / l.cfg.Slots)
}
