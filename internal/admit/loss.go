package admit

import (
	"math"
	"sort"
	"time"
)

const (
	// maxMeasuredRoutes bounds the routes and workspaces of which an upstream's limiter keeps averages.
	maxMeasuredRoutes = 4096
	// serviceWindow is the time constant with which the shares of served calls decay.
	serviceWindow = 2 * time.Second
	// minOfferedCalls is the number of recent calls from which the share of a route or workspace counts.
	minOfferedCalls = 4
	// minServedFraction is the part of the average share of served calls below which the calls of a route or workspace go first. Operators
	// count one as starved below a quarter of the average.
	minServedFraction = 0.4
	// underservedRank lies above the ranks of all other calls.
	underservedRank = rankCount
)

// waitingCall is a call in the queue of PolicyLeastLoss.
type waitingCall struct {
	waiter
	request Request
	// rank is that of the request, or underservedRank.
	rank int
	// respondBy is when the response is due.
	respondBy time.Time
	// work is the expected time for which the call holds a slot.
	work time.Duration
}

// latestStart returns when the call must get a slot for its response to be in time. If other calls are ahead, it allows for the spread of
// their service times.
func (c *waitingCall) latestStart(ahead int) time.Time {
	work := c.work
	if ahead > 0 {
		work = time.Duration(serviceTimeMargin * float64(work))
	}
	return c.respondBy.Add(-work)
}

// served counts the recent calls of a route or workspace, and those of them that got a slot.
type served struct {
	offered   float64
	admitted  float64
	countedAt time.Time
}

func (s *served) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.countedAt).Seconds() / serviceWindow.Seconds())
	s.offered, s.admitted, s.countedAt = s.offered*factor, s.admitted*factor, now
}

// lossQueue orders the waiting calls of one upstream so that delays and refusals cost callers least. Higher classes go first. Within a
// class, calls go in the order of their latest start, and when one of them would be late, the call with the most work up to it is given up
// (the rule of Moore and Hodgson, by which the fewest calls are late). Calls of a route or workspace that gets far less than the others go
// before all classes, so that none is starved. The mutex of the limiter guards it.
type lossQueue struct {
	slots   int
	waiting []*waitingCall
	// work holds the average time for which a call holds a slot, by route.
	work map[string]time.Duration
	// shares holds the recent calls by route and by workspace; total counts all of them.
	shares map[string]*served
	total  served
}

func newLossQueue(slots int) *lossQueue {
	return &lossQueue{slots: slots, work: map[string]time.Duration{}, shares: map[string]*served{}}
}

// keys returns the keys by which the shares of a call's route and workspace are counted.
func keys(request Request) []string {
	if request.Workspace == "" {
		return []string{"route " + request.Route}
	}
	return []string{"route " + request.Route, "workspace " + request.Workspace}
}

// countOffered counts a call that asks for a slot.
func (q *lossQueue) countOffered(request Request, now time.Time) {
	q.count(request, now, func(s *served) { s.offered++ })
}

// countAdmitted counts a call that gets a slot.
func (q *lossQueue) countAdmitted(request Request, now time.Time) {
	q.count(request, now, func(s *served) { s.admitted++ })
}

func (q *lossQueue) count(request Request, now time.Time, add func(s *served)) {
	q.total.decay(now)
	add(&q.total)
	for _, k := range keys(request) {
		s, found := q.shares[k]
		if !found {
			if len(q.shares) >= maxMeasuredRoutes {
				continue
			}
			s = &served{countedAt: now}
			q.shares[k] = s
		}
		s.decay(now)
		add(s)
	}
}

// isUnderserved reports whether the route or the workspace of a call gets a far smaller share of its calls served than the average.
func (q *lossQueue) isUnderserved(request Request, now time.Time) bool {
	if q.total.offered == 0 {
		return false
	}
	least := minServedFraction * q.total.admitted / q.total.offered
	for _, k := range keys(request) {
		s, found := q.shares[k]
		if !found {
			continue
		}
		s.decay(now)
		if s.offered >= minOfferedCalls && s.admitted/s.offered < least {
			return true
		}
	}
	return false
}

// observeWork updates the average work of a route with the time for which a call held its slot.
func (q *lossQueue) observeWork(route string, held time.Duration) {
	mean, found := q.work[route]
	if !found && len(q.work) >= maxMeasuredRoutes {
		return
	}
	updateAverage(&mean, held)
	q.work[route] = mean
}

// add queues a call and keeps the order.
func (q *lossQueue) add(c *waitingCall, now time.Time) {
	c.rank = c.request.rank()
	if q.isUnderserved(c.request, now) {
		c.rank = underservedRank
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return c.precedes(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = c
}

// precedes reports whether the call gets a slot before another one.
func (c *waitingCall) precedes(other *waitingCall) bool {
	if c.rank != other.rank {
		return c.rank > other.rank
	}
	return c.latestStart(0).Before(other.latestStart(0))
}

// remove removes a call and reports whether it was waiting.
func (q *lossQueue) remove(c *waitingCall) bool {
	for i, w := range q.waiting {
		if w == c {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// takeFirst removes and returns the call that gets the next slot, or nil.
func (q *lossQueue) takeFirst() *waitingCall {
	if len(q.waiting) == 0 {
		return nil
	}
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	return first
}

// giveUp removes and returns the calls that are given up so that the others can be in time; nextSlot is when the first slot is expected to
// be free, limit the number of calls that may wait.
func (q *lossQueue) giveUp(nextSlot time.Time, limit int) []*waitingCall {
	var givenUp []*waitingCall
	for {
		late := q.firstLate(nextSlot)
		if late < 0 && len(q.waiting) > limit {
			late = len(q.waiting) - 1
		}
		if late < 0 {
			return givenUp
		}
		c := q.costliest(late)
		q.remove(c)
		givenUp = append(givenUp, c)
	}
}

// firstLate returns the index of the first call that would be late in the order of the queue, or a negative number.
func (q *lossQueue) firstLate(nextSlot time.Time) int {
	start := nextSlot
	for i, c := range q.waiting {
		if start.After(c.latestStart(i)) {
			return i
		}
		start = start.Add(c.work / time.Duration(q.slots))
	}
	return -1
}

// costliest returns the call with the most work among the one at an index and those of its rank ahead of it.
func (q *lossQueue) costliest(index int) *waitingCall {
	chosen := q.waiting[index]
	for i := index - 1; i >= 0 && q.waiting[i].rank == chosen.rank; i-- {
		if q.waiting[i].work > chosen.work {
			chosen = q.waiting[i]
		}
	}
	return chosen
}
