package emul

import (
	"math/rand/v2"
	"strings"
	"time"
)

// The kinds of faults of an upstream.
const (
	FaultNone    = ""
	FaultFailing = "failing"
	FaultSlow    = "slow"
	FaultPartial = "partial"
	FaultHanging = "hanging"
)

// Fault describes how and when an upstream misbehaves.
type Fault struct {
	Kind string `json:"kind"`
	// After is the time from the first call at which the fault starts.
	After time.Duration `json:"after"`
	// AfterCalls is the number of calls after which the fault starts.
	AfterCalls int64 `json:"after_calls"`
	// AboveConcurrency is the number of calls at the same time above which the fault shows.
	AboveConcurrency int64 `json:"over_load"`
	// PathPrefix limits the fault to some paths.
	PathPrefix string `json:"path_prefix"`
	// Probability is the share of calls that show the fault; zero means all.
	Probability float64 `json:"share"`
	// Delay is added to each call by a slow fault.
	Delay time.Duration `json:"delay"`
}

// shows reports whether a call shows the fault.
func (f Fault) shows(path string, running, calls int64, age time.Duration) bool {
	if f.Kind == FaultNone || !strings.HasPrefix(path, f.PathPrefix) {
		return false
	}
	if age < f.After || calls <= f.AfterCalls || f.AboveConcurrency > 0 && running <= f.AboveConcurrency {
		return false
	}
	return f.Probability == 0 || rand.Float64() < f.Probability
}
