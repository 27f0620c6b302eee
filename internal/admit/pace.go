package admit

import "time"

const (
	// paceTTL is how long a reported pace is used: it changes several times a second.
	paceTTL        = 300 * time.Millisecond
	paceMeanWeight = 0.02
	// minPaceFactor and maxPaceFactor bound what a report may change, since it may be wrong.
	minPaceFactor = 0.5
	maxPaceFactor = 4
)

// pace is how long work takes on an upstream's VM, as the upstream reports it.
type pace struct {
	percent    float64
	reportedAt time.Time
	// mean is the moving average of the reports. Measured service times include it.
	mean float64
}

func (p *pace) isReported() bool { return p.mean > 0 }

func (p *pace) observe(percent uint32, now time.Time) {
	if percent == 0 {
		return
	}
	p.percent, p.reportedAt = float64(percent), now
	if p.mean == 0 {
		p.mean = p.percent
	}
	p.mean += paceMeanWeight * (p.percent - p.mean)
}

// scale returns the time that work takes now, given its average time.
func (p *pace) scale(average time.Duration, now time.Time) time.Duration {
	if p.mean == 0 || now.Sub(p.reportedAt) > paceTTL {
		return average
	}
	return time.Duration(min(max(p.percent/p.mean, minPaceFactor), maxPaceFactor) * float64(average))
}
