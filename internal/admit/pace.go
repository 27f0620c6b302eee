package admit

import "time"

const (
	// minPaceFactor and maxPaceFactor bound what a report may change, since it may be wrong.
	minPaceFactor = 0.5
	maxPaceFactor = 4
)

// PaceConfig configures a Pace.
type PaceConfig struct {
	// TTL is how long a report is used: the pace of an upstream changes several times a second.
	TTL time.Duration
	// MeanWeight is the weight of a report in the average of all.
	MeanWeight float64
}

// Pace is how long work takes on an upstream's VM, as the upstream reports it. It is not safe for concurrent use.
type Pace struct {
	cfg        PaceConfig
	percent    float64
	reportedAt time.Time
	// mean is the moving average of the reports. Measured service times include it.
	mean float64
}

// NewPace returns a pace without a report.
func NewPace(cfg PaceConfig) Pace { return Pace{cfg: cfg} }

// Observe records a report in percent of the usual time; 0 is none.
func (p *Pace) Observe(percent uint32, now time.Time) {
	if percent == 0 {
		return
	}
	p.percent, p.reportedAt = float64(percent), now
	if p.mean == 0 {
		p.mean = p.percent
	}
	p.mean += p.cfg.MeanWeight * (p.percent - p.mean)
}

// IsReported reports whether there has been a report.
func (p *Pace) IsReported() bool { return p.mean > 0 }

// IsFresh reports whether the newest report may still be used.
func (p *Pace) IsFresh(now time.Time) bool { return p.mean > 0 && now.Sub(p.reportedAt) <= p.cfg.TTL }

// Scale returns the time that work takes now, given its average time.
func (p *Pace) Scale(average time.Duration, now time.Time) time.Duration {
	if !p.IsFresh(now) {
		return average
	}
	return time.Duration(min(max(p.percent/p.mean, minPaceFactor), maxPaceFactor) * float64(average))
}
