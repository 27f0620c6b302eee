package move

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	// slicePeriod is the time in which the new version takes its share once, in one piece; it is no whole second, so
	// that no regular load stays in or out of the slices.
	slicePeriod = 1013 * time.Millisecond
	// maxSliced is the largest share, in thousandths, that is taken in slices.
	maxSliced = fullLoadShare
	// fullLoadShare is the share, in thousandths, from which slices put nearly the whole load on the new version, as the
	// last step will.
	fullLoadShare = 250
	// halfLoad and nearlyFullLoad are the thousandths of the calls in a slice that go to the new version; the others are
	// the controls.
	halfLoad       = 500
	nearlyFullLoad = 800
)

// Group is what a call is in the comparison of two versions.
type Group int

// The groups of calls.
const (
	// GroupNone takes no part in the comparison; the call goes to the old version.
	GroupNone Group = iota
	// GroupControl goes to the old version by lot.
	GroupControl
	// GroupNew goes to the new version by lot.
	GroupNew
)

// AssignGroup returns the group of a call that arrives at a time. A small share is drawn from a short slice of each period
// only: the new version then meets half of the whole load for that moment, and nearly all of it in the last step before
// the full share, so that a fault that needs concurrent calls shows early. The controls meet the same moment, so that what
// befalls both is not held against the new one.
func (v *Verdicts) AssignGroup(service *tree.Service, now time.Time) Group {
	share := v.SharePermille(service)
	switch {
	case share == 0:
		return GroupNone
	case share > maxSliced:
		return pickGroup(rand.Uint32N(fullShare) < share, GroupNone)
	case !inSlice(service.Name, share*fullShare/sliceLoad(share), now):
		return GroupNone
	default:
		return pickGroup(rand.Uint32N(fullShare) < sliceLoad(share), GroupControl)
	}
}

// sliceLoad returns the thousandths of the calls in a slice that go to the new version.
func sliceLoad(share uint32) uint32 {
	if share >= fullLoadShare {
		return nearlyFullLoad
	}
	return halfLoad
}

func pickGroup(drawn bool, otherwise Group) Group {
	if drawn {
		return GroupNew
	}
	return otherwise
}

// inSlice reports whether a time is in a slice, whose length is in thousandths of the period. All nodes agree on it, as
// far as their clocks do.
func inSlice(service string, length uint32, now time.Time) bool {
	offset := time.Duration(xxhash.Sum64String(service) % uint64(slicePeriod))
	place := (time.Duration(now.UnixNano()%int64(slicePeriod)) + offset) % slicePeriod
	return place < time.Duration(length)*slicePeriod/fullShare
}
