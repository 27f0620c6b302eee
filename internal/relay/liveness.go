package relay

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// relinkTimeout is how long a node may take to link again before it counts as down.
	relinkTimeout       = 2 * time.Second
	orphanCheckInterval = time.Second
	// checksPerExpiry is the number of checks for orphans per removal of expired member records.
	checksPerExpiry = 60
	// orphanTimeout is how long a node may stay without any live parent before it counts as down.
	orphanTimeout = 6 * time.Second
)

// awaitRelink marks the remote node of a lost link as down, unless it links again or publishes a newer record within
// relinkTimeout. Children do not do this for their parents, nor relays for nodes of other data centres.
func (h *Hub) awaitRelink(ctx context.Context, l *link) {
	before := h.cfg.Members.Record(l.node)
	if ctx.Err() != nil || before == nil || before.GetDataCentre() != h.cfg.DataCentre || l.dialled && !l.betweenRelays {
		return
	}
	sleep(ctx, relinkTimeout)
	after := h.cfg.Members.Record(l.node)
	if ctx.Err() != nil || h.isLinked(l.node) || after.GetDown() || after.GetLife() != before.GetLife() || after.GetSequence() != before.GetSequence() {
		return
	}
	h.markDown(after, "link lost")
}

func (h *Hub) isLinked(node string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, found := h.links[node]
	return found
}

func (h *Hub) markDown(record *wirepb.MemberRecord, why string) {
	h.cfg.Logger.Info("node marked as down", zap.String("node", record.GetNode()), zap.String("reason", why))
	h.cfg.Members.MarkDown(record)
}

// orphanLoop marks orphans as down while this node is a relay, and removes expired member records. Orphans are nodes of
// this data centre that have neither a live parent nor a lease, and the nodes of lost data centres.
func (h *Hub) orphanLoop(ctx context.Context) {
	orphanedSince := map[string]time.Time{}
	for round := 0; ctx.Err() == nil; round++ {
		if h.IsRelay() {
			h.checkOrphans(orphanedSince)
		} else {
			clear(orphanedSince)
		}
		if round%checksPerExpiry == 0 {
			h.cfg.Members.Expire()
		}
		sleep(ctx, orphanCheckInterval)
	}
}

func (h *Hub) checkOrphans(orphanedSince map[string]time.Time) {
	now := h.cfg.Now()
	orphans := h.orphans(h.lostDataCentres(now))
	maps.DeleteFunc(orphanedSince, func(name string, _ time.Time) bool { return orphans[name] == nil })
	for name, r := range orphans {
		if orphanedSince[name].IsZero() {
			orphanedSince[name] = now
		}
		if now.Sub(orphanedSince[name]) >= orphanTimeout {
			h.markDown(r, "not linked to a live node, or its data centre is lost")
			delete(orphanedSince, name)
		}
	}
}

// orphans returns the records of the orphans by name.
func (h *Hub) orphans(lostDataCentres map[string]bool) map[string]*wirepb.MemberRecord {
	candidates := h.cfg.Members.Select(func(r *wirepb.MemberRecord) bool {
		return !r.GetDown() && (r.GetDataCentre() == h.cfg.DataCentre || lostDataCentres[r.GetDataCentre()])
	})
	orphans := map[string]*wirepb.MemberRecord{}
	for _, r := range candidates {
		if h.isOrphan(r, lostDataCentres) {
			orphans[r.GetNode()] = r
		}
	}
	return orphans
}

func (h *Hub) isOrphan(record *wirepb.MemberRecord, lostDataCentres map[string]bool) bool {
	if record.GetDown() || record.GetNode() == h.cfg.Node || h.isLinked(record.GetNode()) {
		return false
	}
	if record.GetDataCentre() != h.cfg.DataCentre {
		return lostDataCentres[record.GetDataCentre()]
	}
	for _, parent := range record.GetParents() {
		if r := h.cfg.Members.Record(parent); r != nil && !r.GetDown() {
			return false
		}
	}
	return !h.holdsLease(record.GetNode())
}

func (h *Hub) holdsLease(node string) bool {
	for _, o := range h.usableLeases() {
		if o.lease.GetNode() == node {
			return true
		}
	}
	return false
}

// lostDataCentres returns the data centres by name; true marks those none of whose leases was renewed within
// dataCentreLostTimeout. Nothing counts as lost while the platform is unreachable.
func (h *Hub) lostDataCentres(now time.Time) map[string]bool {
	lost := map[string]bool{}
	if !h.cfg.Store.IsReachable() {
		return lost
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		lapsed := now.Sub(o.changedAt) > dataCentreLostTimeout
		previous, found := lost[o.lease.GetDataCentre()]
		lost[o.lease.GetDataCentre()] = lapsed && (previous || !found)
	}
	return lost
}
