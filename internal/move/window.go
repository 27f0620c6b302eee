package move

import (
	"sort"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// windowSeconds is the time over which versions are compared.
	windowSeconds = 30
	// reportSeconds is the part of it that each report carries: deciders keep the rest.
	reportSeconds = 3
	sampleCount   = 64
)

// counts are the calls of some time.
type counts struct {
	calls    float64
	failures float64
	sheds    float64
	warm     float64
	slow     float64
	// credit is the number of calls on which an expectation rests, besides those counted.
	credit float64
}

func (c *counts) add(other counts) {
	c.calls += other.calls
	c.failures += other.failures
	c.sheds += other.sheds
	c.warm += other.warm
	c.slow += other.slow
}

// served returns the calls that the upstream did not shed.
func (c counts) served() float64 { return c.calls - c.sheds }

// worse returns the counts with the rates of others where those are higher.
func (c counts) worse(other counts) counts {
	c.failures = c.served() * max(c.failureRate(), other.failureRate())
	c.sheds = c.calls * max(c.shedRate(), other.shedRate())
	c.slow = c.warm * max(c.slowRate(), other.slowRate())
	return c
}

// cautious returns the counts of a small sample with rates that are estimated high where it shows a bad call.
func (c counts) cautious() counts {
	c.failures = c.served() * highRate(c.failures, c.served())
	c.sheds = c.calls * highRate(c.sheds, c.calls)
	c.slow = c.warm * highRate(c.slow, c.warm)
	return c
}

// highRate returns the rate of bad calls as if one more of them had been bad, once there is one.
func highRate(bad, calls float64) float64 {
	if bad == 0 {
		return 0
	}
	return ratio(bad+1, calls+1)
}

func (c counts) failureRate() float64 { return ratio(c.failures, c.served()) }

func (c counts) shedRate() float64 { return ratio(c.sheds, c.calls) }

func (c counts) slowRate() float64 { return ratio(c.slow, c.warm) }

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// history holds counts by Unix second.
type history map[int64]counts

func (h history) add(second int64, c counts) {
	sum := h[second]
	sum.add(c)
	h[second] = sum
}

func (h history) sum() counts {
	var sum counts
	for _, c := range h {
		sum.add(c)
	}
	return sum
}

// trim forgets the seconds outside the window.
func (h history) trim(now time.Time) {
	for second := range h {
		if now.Unix()-second >= windowSeconds {
			delete(h, second)
		}
	}
}

// window holds the counts of the last seconds and the newest service times.
type window struct {
	seconds history
	samples [sampleCount]uint32
	sampled int
	total   uint64
}

func newWindow() *window { return &window{seconds: history{}} }

func (w *window) add(now time.Time, c counts) {
	w.seconds.add(now.Unix(), c)
	w.total += uint64(c.calls)
	if len(w.seconds) > windowSeconds {
		w.seconds.trim(now)
	}
}

func (w *window) sample(took time.Duration) {
	w.samples[w.sampled%sampleCount] = uint32(min(took.Microseconds(), 1<<31))
	w.sampled++
}

// evidence returns the newest seconds, and service times as long as the deciders need them.
func (w *window) evidence(now time.Time, key seriesKey, withSamples bool) *wirepb.RouteEvidence {
	w.seconds.trim(now)
	evidence := &wirepb.RouteEvidence{Route: key.route, Version: key.version, Control: key.control, TotalCalls: w.total}
	if withSamples {
		evidence.SamplesMicros = append([]uint32(nil), w.samples[:min(w.sampled, sampleCount)]...)
	}
	for second, c := range w.seconds {
		if now.Unix()-second < reportSeconds {
			evidence.Seconds = append(evidence.Seconds, encodeCounts(second, c))
		}
	}
	sort.Slice(evidence.Seconds, func(i, j int) bool {
		return evidence.Seconds[i].GetSecond() < evidence.Seconds[j].GetSecond()
	})
	return evidence
}

func encodeCounts(second int64, c counts) *wirepb.SecondCounts {
	return &wirepb.SecondCounts{
		Second: second, Calls: uint32(c.calls), Failures: uint32(c.failures),
		Sheds: uint32(c.sheds), Warm: uint32(c.warm), Slow: uint32(c.slow),
	}
}

func decodeCounts(s *wirepb.SecondCounts) counts {
	return counts{
		calls: float64(s.GetCalls()), failures: float64(s.GetFailures()),
		sheds: float64(s.GetSheds()), warm: float64(s.GetWarm()), slow: float64(s.GetSlow()),
	}
}
