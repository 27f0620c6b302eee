package admit

import (
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstDuration is the time for which calls that the limit allows may be saved up.
	burstDuration = 500 * time.Millisecond
	// minPacedRate is the least rate of calls, per second: without any, the end of a limit would go unnoticed.
	minPacedRate = 0.25
	// maxUnknownInFlight is the number of calls that may run while it is unknown whether the upstream limits its calls. With six, the
	// calls in any 4 s stay within one and a half times the limit and five more, for limits from one call per second.
	maxUnknownInFlight = 6
	unknownRetryDelay  = 50 * time.Millisecond
	// delayMargin covers rounding, so that a call may be sent after the delay that was told.
	delayMargin = 10 * time.Microsecond
	// reservedFraction is the part of the saved-up calls that is reserved for higher ranks.
	reservedFraction = 0.5
)

// PacerConfig configures a Pacer.
type PacerConfig struct {
	Now func() time.Time
	// Unknown means that the upstream was running before the node: until its first response, it is unknown whether it named a limit.
	Unknown bool
	// UncountedUntil is when another process may last have sent calls to the upstream, or zero.
	UncountedUntil time.Time
}

// Pacer keeps the rate of calls to one upstream within the limit that the upstream names in its responses, and within that of its
// service while it is cold. All calls to an upstream
// pass through the node beside it, so that no other node needs to know the limit.
type Pacer struct {
	cfg PacerConfig

	mu      sync.Mutex
	unknown bool
	// limiter is nil while the upstream names no limit.
	limiter   *rate.Limiter
	perSecond float64
	// namedAt is when the newest response that names a limit arrived.
	namedAt time.Time
	// sent holds the newest calls, for the limit of cold starts.
	sent window
}

// NewPacer returns a pacer without a limit.
func NewPacer(cfg PacerConfig) *Pacer {
	return &Pacer{cfg: cfg, unknown: cfg.Unknown, sent: window{newest: cfg.UncountedUntil}}
}

// CountCallsOf counts the calls that another pacer sent, since the upstream that this one is for may have got them.
func (p *Pacer) CountCallsOf(previous *Pacer) {
	previous.mu.Lock()
	sent := window{sent: slices.Clone(previous.sent.sent), next: previous.sent.next, newest: previous.sent.newest}
	previous.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = sent
}

// ObserveLimit applies the limit, in calls per second, that the response to a call names, and reports whether it changed. A response
// without one ends the limit if its call started after the limit was named; it may have been sent before otherwise.
func (p *Pacer) ObserveLimit(perSecond float64, named bool, started time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unknown = false
	now := p.cfg.Now()
	switch {
	case !named && (p.limiter == nil || !started.After(p.namedAt)):
		return false
	case !named:
		p.limiter, p.perSecond = nil, 0
		return true
	}
	p.namedAt = now
	if p.limiter != nil && p.perSecond == perSecond {
		return false
	}
	p.perSecond = perSecond
	paced := rate.Limit(max(perSecond, minPacedRate))
	burst := max(1, int(math.Round(float64(paced)*burstDuration.Seconds())))
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(paced, burst)
		return true
	}
	p.limiter.SetLimitAt(now, paced)
	p.limiter.SetBurstAt(now, burst)
	return true
}

// Limit returns the limit in calls per second, or false if there is none.
func (p *Pacer) Limit() (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perSecond, p.limiter != nil
}

// Delay returns how long it takes until a call may be sent, or zero if it may be now; running is the number of calls that run.
func (p *Pacer) Delay(request Request, running int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay(request, running)
}

// Take counts a call that is about to be sent, unless the limit does not allow it now; it returns the same as Delay. The call itself
// is one of those that run.
func (p *Pacer) Take(request Request, running int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := p.delay(request, running-1)
	if delay > 0 {
		return delay
	}
	if p.limiter != nil {
		p.limiter.AllowN(p.cfg.Now(), 1)
	}
	p.sent.add(request.Cold, p.cfg.Now())
	return 0
}

func (p *Pacer) delay(request Request, running int) time.Duration {
	return max(p.namedLimitDelay(request, running), p.sent.delay(request.Cold, p.cfg.Now()))
}

// namedLimitDelay returns how long it takes until the limit that the upstream named allows a call.
func (p *Pacer) namedLimitDelay(request Request, running int) time.Duration {
	switch {
	case p.limiter == nil && p.unknown && running >= maxUnknownInFlight:
		return unknownRetryDelay
	case p.limiter == nil:
		return 0
	}
	// The lower a call ranks, the more calls it leaves to the higher ranks.
	reserved := reservedFraction * float64(p.limiter.Burst()-1) * float64(rankCount-1-request.rank()) / float64(rankCount-1)
	missing := 1 + reserved - p.limiter.TokensAt(p.cfg.Now())
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/float64(p.limiter.Limit())*float64(time.Second)) + delayMargin
}
