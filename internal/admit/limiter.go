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
	ranks         = 2 * (int(wirepb.Class_CLASS_CRITICAL) + 1)
	serviceWeight = 0.1
	// maxPatience stands for the deadline of the call, which ends its wait.
	maxPatience = time.Hour
	// spreadFactor covers the spread of service times: with a standard deviation of 0.3 of the mean, nine in ten calls
	// take less than 1.4 of it.
	spreadFactor = 1.4
)

// RefusedError says that a call was not handed to the upstream.
type RefusedError struct {
	Refusal wirepb.Refusal
}

func (e *RefusedError) Error() string { return fmt.Sprintf("call not run: %s", e.Refusal) }

// Config configures a Limiter.
type Config struct {
	// Slots is the number of calls that run at the same time.
	Slots int
	// QueueSize is the number of calls that may wait for a slot.
	QueueSize int
	Now       func() time.Time
}

// Request is what a call asks of a gate.
type Request struct {
	Class wirepb.Class
	// PastObjective says that the objective has passed; the call comes after those of its class that can meet theirs.
	PastObjective bool
	// AnswerBy is the time up to which the answer is worth waiting for, or zero for the call's deadline.
	AnswerBy time.Time
}

// rank orders the queues: by class, and within a class those first that can meet their objective.
func (a Request) rank() int {
	if a.PastObjective {
		return 2 * int(a.Class)
	}
	return 2*int(a.Class) + 1
}

// Limiter admits calls to the slots of one upstream, the highest rank first and within a rank in order of arrival.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	running int
	waiting int
	closed  bool
	queues  [ranks]list.List
	// service is the moving average of the time that a call holds a slot, own the same by rank.
	service time.Duration
	own     [ranks]time.Duration
}

type waiter struct {
	admitted chan wirepb.Refusal
}

// NewLimiter returns an open gate.
func NewLimiter(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// Acquire waits for a slot until the context ends; it returns *RefusedError, after which the call has not run. A call
// that would have to wait too long is refused at once: in an overload a queue of calls that are all late serves nobody well.
func (g *Limiter) Acquire(ctx context.Context, ask Request) error {
	element, patience, refusal := g.enter(ctx, ask)
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	if element == nil {
		return nil
	}
	w, _ := element.Value.(*waiter)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case refusal = <-w.admitted:
	case <-timer.C:
		// Calls of higher ranks came in between: an answer would be late, here at least.
		refusal = g.abandon(ask, element, w, wirepb.Refusal_REFUSAL_OVERLOADED)
	case <-ctx.Done():
		refusal = g.abandon(ask, element, w, wirepb.Refusal_REFUSAL_EXPIRED)
	}
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	return nil
}

// enter takes a slot at once, joins the queue, or refuses; it returns how long the call may stay in the queue.
func (g *Limiter) enter(ctx context.Context, ask Request) (*list.Element, time.Duration, wirepb.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return nil, 0, wirepb.Refusal_REFUSAL_LEAVING
	case g.running < g.cfg.Slots && g.waiting == 0:
		g.running++
		return nil, 0, wirepb.Refusal_REFUSAL_UNSPECIFIED
	case !g.worthWaiting(ctx, ask):
		return nil, 0, wirepb.Refusal_REFUSAL_OVERLOADED
	case g.waiting >= g.cfg.QueueSize && !g.shedBelow(ask.rank()):
		return nil, 0, wirepb.Refusal_REFUSAL_OVERLOADED
	}
	g.waiting++
	element := g.queues[ask.rank()].PushBack(&waiter{admitted: make(chan wirepb.Refusal, 1)})
	return element, g.patience(ask), wirepb.Refusal_REFUSAL_UNSPECIFIED
}

// patience returns how long a call may wait until its answer would come too late.
func (g *Limiter) patience(ask Request) time.Duration {
	if ask.AnswerBy.IsZero() {
		return maxPatience
	}
	return ask.AnswerBy.Add(-g.own[ask.rank()]).Sub(g.cfg.Now())
}

// worthWaiting reports whether a slot is expected before the deadline of the call, and its answer while it is worth waiting
// for; a call that is next in line needs no room for the spread of those before it.
func (g *Limiter) worthWaiting(ctx context.Context, ask Request) bool {
	if g.service == 0 {
		return true
	}
	ahead := 1
	for r := ask.rank(); r < ranks; r++ {
		ahead += g.queues[r].Len()
	}
	admitted := g.cfg.Now().Add(g.service * time.Duration(ahead) / time.Duration(g.cfg.Slots))
	if deadline, found := ctx.Deadline(); found && !admitted.Before(deadline) {
		return false
	}
	own := g.own[ask.rank()]
	if ahead > 1 {
		own = time.Duration(spreadFactor * float64(own))
	}
	return ask.AnswerBy.IsZero() || admitted.Add(own).Before(ask.AnswerBy)
}

// shedBelow refuses the newest waiter of the lowest rank below the given one.
func (g *Limiter) shedBelow(rank int) bool {
	for c := range rank {
		if newest := g.queues[c].Back(); newest != nil {
			g.queues[c].Remove(newest)
			g.waiting--
			w, _ := newest.Value.(*waiter)
			w.admitted <- wirepb.Refusal_REFUSAL_OVERLOADED
			return true
		}
	}
	return false
}

// abandon leaves the queue, unless a slot or a refusal came at the same moment.
func (g *Limiter) abandon(ask Request, element *list.Element, w *waiter, refusal wirepb.Refusal) wirepb.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case admitted := <-w.admitted:
		if admitted == wirepb.Refusal_REFUSAL_UNSPECIFIED {
			g.running--
			g.admitNext()
		}
	default:
		g.queues[ask.rank()].Remove(element)
		g.waiting--
	}
	return refusal
}

// Release gives a slot back after a call held it for a time.
func (g *Limiter) Release(ask Request, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	average(&g.service, held)
	average(&g.own[ask.rank()], held)
	g.running--
	g.admitNext()
}

// average moves an average towards a value; the first value sets it.
func average(known *time.Duration, value time.Duration) {
	if *known == 0 {
		*known = value
		return
	}
	*known += time.Duration(serviceWeight * float64(value-*known))
}

func (g *Limiter) admitNext() {
	for c := ranks - 1; c >= 0 && g.running < g.cfg.Slots; c-- {
		if oldest := g.queues[c].Front(); oldest != nil {
			g.queues[c].Remove(oldest)
			g.waiting--
			g.running++
			w, _ := oldest.Value.(*waiter)
			w.admitted <- wirepb.Refusal_REFUSAL_UNSPECIFIED
			return
		}
	}
}

// Close refuses new calls and those that wait; calls that run go on.
func (g *Limiter) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for c := range g.queues {
		for e := g.queues[c].Front(); e != nil; e = g.queues[c].Front() {
			g.queues[c].Remove(e)
			g.waiting--
			w, _ := e.Value.(*waiter)
			w.admitted <- wirepb.Refusal_REFUSAL_LEAVING
		}
	}
}

// Running returns the number of calls that hold a slot.
func (g *Limiter) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// LoadPermille returns the calls that run or wait, in thousandths of the slots.
func (g *Limiter) LoadPermille() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return uint32((g.running + g.waiting) * 1000 / g.cfg.Slots)
}
