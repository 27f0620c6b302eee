package route

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	latencyWeight           = 0.2
	firstEjectionDuration   = 500 * time.Millisecond
	maxEjectionDuration     = 10 * time.Second
	leavingEjectionDuration = time.Second
	unknownsBeforeEjection  = 3
	faultRateWeight         = 0.1
	// maxLimitDelay bounds the time for which a limited upstream gets no call.
	maxLimitDelay = time.Second
)

type statsKey struct {
	node    string
	life    uint64
	service string
	version string
}

type stats struct {
	inFlight     int
	latency      time.Duration
	loadPermille uint32
	loadAt       time.Time
	load         reportedLoad
	// limitedUntil is when the limit of the upstream allows another call.
	limitedUntil        time.Time
	unknownsSinceAnswer int
	ejections           int
	ejectedUntil        time.Time
	// faultRate is the moving average of the share of calls that failed or were shed by the upstream itself.
	faultRate float64
}

// tryResult is what became of sending a call to an upstream.
type tryResult struct {
	answer *wirepb.AnswerHead
	took   time.Duration
	// transportFailed means that the connection to the upstream's node failed.
	transportFailed bool
	// abandoned means that the caller gave the call up.
	abandoned bool
}

// recordResult updates the upstream's statistics with the result of a call.
func (p *Picker) recordResult(c *candidate, result tryResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now, answer := c.stats, p.cfg.Now(), result.answer
	s.inFlight--
	if !result.abandoned {
		s.recordFault(answer)
	}
	switch answer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		s.unknownsSinceAnswer, s.ejections = 0, 0
		s.recordLatency(result.took)
		s.load.record(answer, now)
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		s.recordRefusal(answer.GetRefusal(), now)
		s.recordLimit(answer.GetAvailableIn().AsDuration(), now)
	default:
		if !result.transportFailed && result.took > s.latency {
			// The response would have taken at least this long.
			s.recordLatency(result.took)
		}
		s.unknownsSinceAnswer++
		if result.transportFailed || s.unknownsSinceAnswer >= unknownsBeforeEjection {
			s.eject(now)
		}
	}
}

func (s *stats) recordLatency(took time.Duration) {
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// recordFault updates the fault rate. Refusals of the upstream's node and failures of services that the upstream calls say
// nothing about the upstream.
func (s *stats) recordFault(answer *wirepb.AnswerHead) {
	fault := 0.0
	switch {
	case answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && !answer.GetArrived(), answer.GetDependencyFailed():
		return
	case answer.GetOutcome() != wirepb.Outcome_OUTCOME_ANSWERED, answer.GetStatus() >= http.StatusInternalServerError:
		fault = 1
	}
	s.faultRate += faultRateWeight * (fault - s.faultRate)
}

func (s *stats) recordRefusal(refusal wirepb.Refusal, now time.Time) {
	switch refusal {
	case wirepb.Refusal_REFUSAL_UNREACHABLE:
		s.eject(now)
	case wirepb.Refusal_REFUSAL_NO_UPSTREAM, wirepb.Refusal_REFUSAL_LEAVING, wirepb.Refusal_REFUSAL_EVACUATED:
		s.ejectedUntil = now.Add(leavingEjectionDuration)
	case wirepb.Refusal_REFUSAL_OVERLOADED:
		s.loadPermille, s.loadAt = fullLoadPermille, now
	}
}

// recordLimit avoids an upstream until its limit allows another call. Other nodes were told the same, so the times are spread.
func (s *stats) recordLimit(availableIn time.Duration, now time.Time) {
	if availableIn > 0 {
		s.limitedUntil = now.Add(min(availableIn, maxLimitDelay) + rand.N(min(availableIn, maxLimitDelay)))
	}
}

func (s *stats) isLimited(now time.Time) bool { return now.Before(s.limitedUntil) }

func (s *stats) eject(now time.Time) {
	duration := min(firstEjectionDuration<<min(s.ejections, 8), maxEjectionDuration)
	s.ejections++
	s.ejectedUntil = now.Add(duration/2 + rand.N(duration/2))
}

func (s *stats) isAvailable(now time.Time) bool { return !now.Before(s.ejectedUntil) }
