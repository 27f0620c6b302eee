package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// maxAge is the age of its configuration from which a child of a relay reads the platform itself although it has parents: these may be
	// alive and know nothing newer, or their own parents may be lost. It exceeds the time between two beats.
	maxAge = 1400 * time.Millisecond
	// maxAgePerLevel is added for each further level, so that the nodes above have read the platform, and have passed on what they read,
	// before the many below them do.
	maxAgePerLevel = 150 * time.Millisecond
	// passOnInterval is the shortest time between two beats that pass on a new age, so that a node with two parents does not pass on both.
	passOnInterval = 700 * time.Millisecond
	// unknownAge is the age of the configuration of a node that has never heard how old it is.
	unknownAge = time.Hour
	// platformLostAge, added to the age of a beat, says that the sender is in touch with a relay that cannot read the platform: how old its
	// configuration is grows, but reading the platform itself would not help the receiver, and during an outage all nodes would do so.
	platformLostAge = 24 * time.Hour
	// readReserve is the time beyond the longest poll interval that a relay's read may take before the relay no longer counts as current.
	readReserve = 500 * time.Millisecond
)

// MaxUnread returns the time after its last read of the platform for which a relay that polls at an interval counts as current.
func MaxUnread(pollInterval time.Duration) time.Duration { return pollInterval*5/4 + readReserve }

// Age returns a bound of how old this node's configuration is: all changes that were committed before are in force here. A relay that reads
// the platform has age 0, one that cannot has the age of its last read; beats pass the age on.
func (h *Hub) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.age()
}

// age is Age. h.mu must be held.
func (h *Hub) age() time.Duration {
	switch {
	case h.relay:
		return h.unread()
	case h.currentAt.IsZero():
		return unknownAge
	default:
		return h.cfg.Now().Sub(h.currentAt)
	}
}

// unread returns the time since this relay read the platform, or 0 if it counts as current. h.mu must be held.
func (h *Hub) unread() time.Duration {
	if h.readAt.IsZero() {
		return 0
	}
	unread := h.cfg.Now().Sub(h.readAt)
	if unread <= MaxUnread(h.cfg.PollInterval) && h.cfg.Store.IsReachable() {
		return 0
	}
	return unread
}

// recordRead records that this relay read the changes that had been committed by a time from the platform.
func (h *Hub) recordRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.readAt) {
		h.readAt = at
	}
}

// lastTouch returns when this node was last in touch with a relay, whether or not that could read the platform. h.mu must be held.
func (h *Hub) lastTouch() time.Time {
	if h.touchedAt.After(h.currentAt) {
		return h.touchedAt
	}
	return h.currentAt
}

// beatAge returns the age to tell in a beat. h.mu must be held.
func (h *Hub) beatAge() time.Duration {
	age := h.age()
	switch {
	case h.relay && age > 0:
		return platformLostAge
	case h.relay, !h.touchedAt.After(h.currentAt), age <= passOnInterval:
		return age
	default:
		return platformLostAge + h.cfg.Now().Sub(h.touchedAt)
	}
}

// recordBeat records the age that a parent told in a beat.
func (h *Hub) recordBeat(age time.Duration) {
	if age < platformLostAge {
		h.recordCurrent(h.cfg.Now().Add(-age))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := h.cfg.Now().Add(platformLostAge - age); at.After(h.lastTouch()) {
		h.touchedAt = at
		h.passOn()
	}
}

// recordCurrent records that all changes that were committed before a time are in force here, and passes that on to the children.
func (h *Hub) recordCurrent(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !at.After(h.currentAt) {
		return
	}
	h.currentAt = at
	h.passOn()
}

// passOn wakes the links to the children to tell them the age. h.mu must be held.
func (h *Hub) passOn() {
	now := h.cfg.Now()
	if now.Sub(h.passedOnAt) < passOnInterval {
		return
	}
	h.passedOnAt = now
	for _, l := range h.links {
		if !l.dialled {
			l.wakeSender()
		}
	}
}

// hasApplied reports whether the changes up to a revision are in force here or were found to be invalid.
func (h *Hub) hasApplied(revision uint64) bool {
	invalid := h.cfg.Log.InvalidRevision()
	return h.cfg.Log.State().Revision >= revision || invalid != nil && invalid.Newest >= revision
}

// untilOutOfTouch returns how long this node may still wait for its parents before it reads the platform itself.
func (h *Hub) untilOutOfTouch() time.Duration {
	level := min(max(h.Depth(), 1), maxDepth+1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relay || h.leaving || !h.hasParent() {
		return unknownAge
	}
	waitingSince := h.lastTouch()
	if waitingSince.Before(h.parentSince) {
		waitingSince = h.parentSince
	}
	return waitingSince.Add(maxAge + time.Duration(level-1)*maxAgePerLevel).Sub(h.cfg.Now())
}

// readChanges reads the changes from the platform for a node whose parents are out of touch.
func (h *Hub) readChanges(ctx context.Context) {
	age, started := h.Age(), h.cfg.Now()
	if err := h.cfg.Log.Sync(ctx); err != nil {
		return
	}
	h.cfg.Logger.Info("changes read from the platform: parents are out of touch", zap.Duration("age", age), zap.Uint64("revision", h.cfg.Log.State().Revision))
	h.recordCurrent(started)
}
