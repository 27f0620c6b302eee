package emul

import (
	"math/rand/v2"
	"strings"
	"time"
)

// The kinds of faults of an upstream.
const (
	FaultNone = ""
	// FaultFailing responds with status 500.
	FaultFailing = "failing"
	FaultSlow    = "slow"
	// FaultPartial closes the connection in the middle of the response.
	FaultPartial = "partial"
	// FaultHanging sends no response.
	FaultHanging = "hanging"
)

// Fault describes how and when an upstream misbehaves.
type Fault struct {
	Kind string `json:"kind"`
	// After is the time between the first call and the start of the fault.
	After time.Duration `json:"after"`
	// AfterCalls is the number of calls before the fault starts.
	AfterCalls int64 `json:"after_calls"`
	// AboveConcurrency is the number of concurrent calls above which the fault applies; zero means any number.
	AboveConcurrency int64 `json:"over_load"`
	// PathPrefix limits the fault to paths with this prefix.
	PathPrefix string `json:"path_prefix"`
	// Probability is the chance, 0 to 1, that the fault applies to a call; zero means that it always applies.
	Probability float64 `json:"share"`
	// Delay is added to each call by FaultSlow.
	Delay time.Duration `json:"delay"`
}

// applies reports whether the fault applies to a call, given the calls now running, all calls so far and the time since the first.
func (f Fault) applies(path string, running, calls int64, sinceFirstCall time.Duration) bool {
	if f.Kind == FaultNone || !strings.HasPrefix(path, f.PathPrefix) {
		return false
	}
	if sinceFirstCall < f.After || calls <= f.AfterCalls || f.AboveConcurrency > 0 && running <= f.AboveConcurrency {
		return false
	}
	return f.Probability == 0 || rand.Float64() < f.Probability
}
