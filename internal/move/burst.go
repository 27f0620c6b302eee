package move

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	// burstPeriod is the time between the starts of two bursts. It is not a whole second, so that load which repeats
	// every second falls neither always inside nor always outside the bursts.
	burstPeriod = 1013 * time.Millisecond
	// maxBurstSharePermille is the largest share that is concentrated in bursts.
	maxBurstSharePermille = fullLoadSharePermille
	// fullLoadSharePermille is the share from which a burst puts nearly the whole load on the new version, as the full
	// share will.
	fullLoadSharePermille = 250
	// halfLoadPermille and nearlyFullLoadPermille are the thousandths of the calls in a burst that go to the new version;
	// the others are the control group.
	halfLoadPermille       = 500
	nearlyFullLoadPermille = 800
)

// Group is the group of a call in the comparison of the stable and the new version.
type Group int

// The groups of calls.
const (
	// GroupNone is for calls outside the comparison, which go to the stable version.
	GroupNone Group = iota
	// GroupControl is for calls that were assigned to the stable version at random, for comparison.
	GroupControl
	// GroupNew is for calls that were assigned to the new version at random.
	GroupNew
)

// AssignGroup returns the group of a call that arrives at now.
func (v *Verdicts) AssignGroup(service *tree.Service, now time.Time) Group {
	share := v.SharePermille(service)
	switch {
	case share == 0:
		return GroupNone
	case share > maxBurstSharePermille:
		return newGroupOr(v.random(fullSharePermille) < share, GroupNone)
	// A small share is concentrated in a short burst of each period: during a burst the new version serves half of the
	// whole load, and nearly all of it in the last step before the full share, so that a fault that needs concurrent calls
	// shows early. The control group is taken from the same bursts, so that a disturbance is not counted against the new
	// version.
	case !inBurst(service.Name, share*fullSharePermille/burstLoadPermille(share), now):
		return GroupNone
	default:
		return newGroupOr(v.random(fullSharePermille) < burstLoadPermille(share), GroupControl)
	}
}

// burstLoadPermille returns the thousandths of the calls in a burst that go to the new version.
func burstLoadPermille(share uint32) uint32 {
	if share >= fullLoadSharePermille {
		return nearlyFullLoadPermille
	}
	return halfLoadPermille
}

func newGroupOr(assigned bool, otherwise Group) Group {
	if assigned {
		return GroupNew
	}
	return otherwise
}

// inBurst reports whether now is in a burst, whose length is in thousandths of the period. The bursts of a service are at
// the same time on all nodes, as far as their clocks agree.
func inBurst(service string, lengthPermille uint32, now time.Time) bool {
	offset := time.Duration(xxhash.Sum64String(service) % uint64(burstPeriod))
	place := (time.Duration(now.UnixNano()%int64(burstPeriod)) + offset) % burstPeriod
	return place < time.Duration(lengthPermille)*burstPeriod/fullSharePermille
}
