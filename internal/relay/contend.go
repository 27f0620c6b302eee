package relay

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maxContentionDelay spreads the attempts of nodes that start at the same moment to take a vacant slot: the first one
	// takes it, and the others find it taken.
	maxContentionDelay = 150 * time.Millisecond
	// isolationTimeout is how long a node that has just started relies on the relays of its data centre; after it, or if it had
	// a link before, the node reads the log itself and takes the second slot, too.
	isolationTimeout = time.Second
	// configurationTimeout is the same for a node that has no configuration yet.
	configurationTimeout = 400 * time.Millisecond
	firstSlot            = "0"
)

// lacksConfiguration reports whether this node has no configuration although it relied on the relays for a while.
func (h *Hub) lacksConfiguration() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg.Log.State().Revision == 0 && h.cfg.Now().Sub(h.isolatedSince) >= configurationTimeout
}

// reliesOnRelays reports whether this node has just started and may still be linked by the relays of its data centre soon.
func (h *Hub) reliesOnRelays() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.relay && !h.promoted && !h.linkedBefore && h.cfg.Now().Sub(h.isolatedSince) < isolationTimeout
}

// contendForLease takes a vacant slot and reports whether it did. While this node relies on the relays of its data centre, it
// contends for the first slot only, after a random delay: the relay that takes it promotes another node to the second one. A
// slot that an earlier incarnation of this node held is taken at once.
func (h *Hub) contendForLease(ctx context.Context, key string) bool {
	if own := h.ownLease(); h.reliesOnRelays() && (own == nil || own.key != key) {
		if slotOf(key) != firstSlot {
			return false
		}
		sleep(ctx, rand.N(maxContentionDelay))
		if err := h.readLeases(ctx); err != nil {
			return false
		}
		if vacant, free := h.acquirableSlot(); !free || vacant != key {
			return false
		}
	}
	return h.acquireLease(ctx, key)
}
