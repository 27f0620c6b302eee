package route

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// loadTTL is how long a reported load is used: the pace of an upstream changes several times a second.
	loadTTL        = 400 * time.Millisecond
	paceMeanWeight = 0.05
	// minPaceFactor and maxPaceFactor bound what a report may change, since it may be wrong.
	minPaceFactor = 0.5
	maxPaceFactor = 4
)

// reportedLoad is the load of an upstream as its answers report it.
type reportedLoad struct {
	pace float64
	// meanPace is the moving average of the pace. The measured latency includes it.
	meanPace float64
	// busy is the number of calls running and waiting for each slot, at the upstream and at the node beside it.
	busy       float64
	reportedAt time.Time
}

// record applies an answer; one without a report changes nothing.
func (l *reportedLoad) record(answer *wirepb.AnswerHead, now time.Time) {
	if answer.GetLoad().GetPacePercent() == 0 {
		return
	}
	l.pace, l.reportedAt = float64(answer.GetLoad().GetPacePercent()), now
	l.busy = float64(answer.GetLoadPermille()) / fullLoadPermille
	if l.meanPace == 0 {
		l.meanPace = l.pace
	}
	l.meanPace += paceMeanWeight * (l.pace - l.meanPace)
}

// isFresh reports whether the newest report may be used.
func (l *reportedLoad) isFresh(now time.Time) bool {
	return l.meanPace > 0 && now.Sub(l.reportedAt) <= loadTTL
}

// expectedTime returns the time that an upstream with a number of own calls in flight is expected to need for another one, given the
// average latency of its answers: as long as usual, scaled by its pace, and the wait for a slot where its slots are taken.
func (l *reportedLoad) expectedTime(latency time.Duration, inFlight int, slots uint32, now time.Time) time.Duration {
	factor, busy := 1.0, 0.0
	if l.isFresh(now) {
		factor = min(max(l.pace/l.meanPace, minPaceFactor), maxPaceFactor)
		busy = l.busy
	}
	perSlot := 1 / float64(max(slots, 1))
	busy = max(busy, float64(inFlight)*perSlot) + perSlot
	wait := max(busy-1, 0)
	return time.Duration(factor * (1 + busy*busy + wait) * float64(latency))
}
