package move

import (
	"sort"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// windowSeconds is the number of seconds over which versions are compared.
	windowSeconds = 30
	// reportSeconds is the number of newest seconds in each report; the deciders keep the older ones of the window.
	reportSeconds = 3
	sampleCount   = 64
	// usualCalls is how many calls at the usual rate of slow ones are added to a small sample.
	usualCalls = 20
)

// counts are numbers of calls in a stretch of time, by result. Warm calls are those after the cold start that can count as
// slow.
type counts struct {
	calls    float64
	failures float64
	sheds    float64
	warm     float64
	slow     float64
	// comparable is the number of calls that could show every kind of fault: warm ones and those that the upstream shed, or all
	// while no call can count as slow.
	comparable float64
	// cutOff is the number of calls that were cut off before they could count as slow; calls does not include them.
	cutOff float64
	// baselineCalls is the number of calls behind the baseline, if that is more than calls.
	baselineCalls float64
}

func (c *counts) add(other counts) {
	c.calls += other.calls
	c.failures += other.failures
	c.sheds += other.sheds
	c.warm += other.warm
	c.slow += other.slow
	c.cutOff += other.cutOff
}

// served returns the calls that the upstream did not shed.
func (c counts) served() float64 { return c.calls - c.sheds }

// withWorseRates returns the counts with each rate raised to that of other where that is higher.
func (c counts) withWorseRates(other counts) counts {
	c.failures = c.served() * max(c.failureRate(), other.failureRate())
	c.sheds = c.calls * max(c.shedRate(), other.shedRate())
	c.slow = c.warm * max(c.slowRate(), other.slowRate())
	return c
}

// withUsualSlowRate returns the counts of a small sample with a rate of slow calls that is moved towards the usual one: some calls
// are always slow, so that a high rate in a small sample may be chance.
func (c counts) withUsualSlowRate(usual float64) counts {
	c.slow = c.warm * ratio(c.slow+usualCalls*usual, c.warm+usualCalls)
	return c
}

// withPessimisticRates returns the counts of a small sample with higher rates of the failures and sheds that it shows.
func (c counts) withPessimisticRates() counts {
	c.failures = c.served() * pessimisticRate(c.failures, c.served())
	c.sheds = c.calls * pessimisticRate(c.sheds, c.calls)
	return c
}

// pessimisticRate returns the rate of bad calls as if there had been one more, unless there was none.
func pessimisticRate(bad, calls float64) float64 {
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

// trim drops the seconds outside the window.
func (h history) trim(now time.Time) {
	for second := range h {
		if now.Unix()-second >= windowSeconds {
			delete(h, second)
		}
	}
}

// window holds the counts of the last seconds and the newest latencies.
type window struct {
	seconds       history
	samplesMicros [sampleCount]uint32
	samplesTaken  int
	total         uint64
}

func newWindow() *window { return &window{seconds: history{}} }

func (w *window) add(now time.Time, c counts) {
	w.seconds.add(now.Unix(), c)
	w.total += uint64(c.comparable)
	if len(w.seconds) > windowSeconds {
		w.seconds.trim(now)
	}
}

func (w *window) sample(took time.Duration) {
	w.samplesMicros[w.samplesTaken%sampleCount] = uint32(min(took.Microseconds(), 1<<31))
	w.samplesTaken++
}

// evidence returns the newest seconds, and latencies if withSamples is set.
func (w *window) evidence(now time.Time, key seriesKey, withSamples bool) *wirepb.RouteEvidence {
	w.seconds.trim(now)
	evidence := &wirepb.RouteEvidence{Route: key.route, Version: key.version, Control: key.control, TotalCalls: w.total}
	if withSamples {
		evidence.SamplesMicros = append([]uint32(nil), w.samplesMicros[:min(w.samplesTaken, sampleCount)]...)
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
		Sheds: uint32(c.sheds), Warm: uint32(c.warm), Slow: uint32(c.slow), CutOff: uint32(c.cutOff),
	}
}

func decodeCounts(s *wirepb.SecondCounts) counts {
	return counts{
		calls: float64(s.GetCalls()), failures: float64(s.GetFailures()),
		sheds: float64(s.GetSheds()), warm: float64(s.GetWarm()), slow: float64(s.GetSlow()), cutOff: float64(s.GetCutOff()),
	}
}
