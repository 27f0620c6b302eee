package relay

import (
	"context"

	"go.uber.org/zap"
)

// lostSlot returns the slot that this node, a relay, held in an earlier era of the store and that the restored copy does not give to it.
func (h *Hub) lostSlot() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.relay || h.heldSlot == "" || h.heldEra >= h.leasesEra {
		return ""
	}
	return h.heldSlot
}

// rewriteLease writes the lease of a slot again that the restored copy lacks, or gives to the holder before this node, and reports whether
// it did. If another node takes the slot first, this node stays a relay until then; two relays at once cost only bytes.
func (h *Hub) rewriteLease(ctx context.Context, slot string) bool {
	written, err := h.putLease(ctx, slot, h.newLease(0))
	h.mu.Lock()
	if err == nil {
		h.heldEra = h.leasesEra
	}
	h.mu.Unlock()
	h.cfg.Logger.Info("relay lease written again in a new era of the store", zap.String("slot", slot), zap.Bool("written", written), zap.Error(err))
	if err != nil || !written {
		return err != nil
	}
	if err := h.readLeases(ctx); err != nil {
		h.cfg.Logger.Info("could not read relay leases after writing one again", zap.String("slot", slot), zap.Error(err))
	}
	return true
}

// rowsAreFromEarlierEra reports whether the rows of the data centre's nodes were last made complete in an earlier era of the store.
func (h *Hub) rowsAreFromEarlierEra() bool {
	era := h.cfg.Store.Era()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relay && h.rowsEra < era
}

// recordRows records that the rows of the data centre's nodes are complete in an era of the store.
func (h *Hub) recordRows(era uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rowsEra = max(h.rowsEra, era)
}
