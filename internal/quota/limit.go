package quota

import "time"

const (
	// maxValid and minValid bound the time for which a token may be used. A shorter time allows a fill rate closer to the quota and
	// costs more requests.
	maxValid = 1200 * time.Millisecond
	minValid = 600 * time.Millisecond
	// allowanceMargin is the part of the allowance that is granted. The rest covers the time that an admitted call takes to reach its
	// upstream, and nodes that count the others differently for a moment.
	allowanceMargin = 0.95
	// minCapacityShare is the least capacity of a bucket, as a part of the allowance.
	minCapacityShare = 0.06
	// minCapacityTokens is the capacity of a bucket in tokens as far as the allowance has room for it.
	minCapacityTokens = 10
)

// Quota is the quota of a workspace over all nodes.
type Quota struct {
	// Rate is in calls per second; 0 means that the workspace has no quota.
	Rate  float64
	Burst float64
}

// Bounds says by how much the calls of a workspace may exceed its quota in a window.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowance returns the number of calls that a quota allows in any window.
func (b Bounds) Allowance(q Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Slack
}

// limit describes how an owner with all votes grants tokens of a workspace.
type limit struct {
	// fill, in tokens per second, and capacity describe the bucket that keeps the bound in any window. It starts empty at a new owner, so
	// that it fills faster than the rate of a small quota.
	fill     float64
	capacity float64
	// rate, in tokens per second, and credit describe what keeps the rate of the quota in the long run: an owner may be ahead of the rate by
	// at most credit.
	rate   float64
	credit float64
	// valid is the time for which a granted token may be used.
	valid time.Duration
}

// limitOf returns the limit that keeps a quota. The calls of a window use tokens that were granted in it or at most valid before it, so
// that fill x (window + valid) + capacity must stay within the allowance.
func (b Bounds) limitOf(q Quota) limit {
	if q.Rate <= 0 {
		return limit{valid: minValid}
	}
	allowance := allowanceMargin * b.Allowance(q)
	minCapacity := allowance * minCapacityShare
	window := b.Window.Seconds()
	valid := min(max((allowance-minCapacity)/q.Rate-window, minValid.Seconds()), maxValid.Seconds())
	rate := min(q.Rate, (allowance-minCapacity)/(window+valid))
	credit := allowance - rate*(window+valid)
	capacity := min(max(q.Burst, minCapacityTokens, minCapacity), credit)
	return limit{
		fill: (allowance - capacity) / (window + valid), rate: rate, valid: time.Duration(valid * float64(time.Second)),
		// A bucket that holds less than one token grants none at all.
		capacity: max(capacity, 1), credit: max(credit, 1),
	}
}
