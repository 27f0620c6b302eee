package relay

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// lossGrace is how long a node may take to link anew before it counts as down.
	lossGrace      = 2 * time.Second
	orphanInterval = time.Second
	// expireEvery is the number of checks for orphans between two that forget old records.
	expireEvery = 60
	// orphanGrace is how long a node may stay without any live parent before it counts as down.
	orphanGrace = 6 * time.Second
)

// watchLost reports a node as down when its link is lost and it shows no sign of life within the grace time.
func (h *Hub) watchLost(ctx context.Context, l *link) {
	before := h.cfg.Members.Record(l.node)
	if ctx.Err() != nil || before == nil || before.GetDataCentre() != h.cfg.DataCentre || l.dialled && !l.relay {
		return
	}
	pause(ctx, lossGrace)
	after := h.cfg.Members.Record(l.node)
	if ctx.Err() != nil || h.linked(l.node) || after.GetDown() || after.GetLife() != before.GetLife() || after.GetSequence() != before.GetSequence() {
		return
	}
	h.markDown(after, "link lost")
}

func (h *Hub) linked(node string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, found := h.links[node]
	return found
}

func (h *Hub) markDown(record *wirepb.MemberRecord, why string) {
	h.cfg.Logger.Info("node down", zap.String("node", record.GetNode()), zap.String("reason", why))
	h.cfg.Members.MarkDown(record)
}

// watchOrphans reports nodes whose watchers went down with them, as long as this node is a relay.
func (h *Hub) watchOrphans(ctx context.Context) {
	since := map[string]time.Time{}
	for round := 0; ctx.Err() == nil; round++ {
		if h.IsRelay() {
			h.checkOrphans(since)
		} else {
			clear(since)
		}
		if round%expireEvery == 0 {
			h.cfg.Members.Expire()
		}
		pause(ctx, orphanInterval)
	}
}

func (h *Hub) checkOrphans(since map[string]time.Time) {
	now := h.cfg.Now()
	orphans := h.orphans(h.lostCentres(now))
	maps.DeleteFunc(since, func(name string, _ time.Time) bool { return orphans[name] == nil })
	for name, r := range orphans {
		if since[name].IsZero() {
			since[name] = now
		}
		if now.Sub(since[name]) >= orphanGrace {
			h.markDown(r, "no watcher")
			delete(since, name)
		}
	}
}

// orphans returns the records of nodes that nobody watches, by name.
func (h *Hub) orphans(lostCentres map[string]bool) map[string]*wirepb.MemberRecord {
	candidates := h.cfg.Members.Select(func(r *wirepb.MemberRecord) bool {
		return !r.GetDown() && (r.GetDataCentre() == h.cfg.DataCentre || lostCentres[r.GetDataCentre()])
	})
	orphans := map[string]*wirepb.MemberRecord{}
	for _, r := range candidates {
		if h.orphaned(r, lostCentres) {
			orphans[r.GetNode()] = r
		}
	}
	return orphans
}

func (h *Hub) orphaned(record *wirepb.MemberRecord, lostCentres map[string]bool) bool {
	if record.GetDown() || record.GetNode() == h.cfg.Node || h.linked(record.GetNode()) {
		return false
	}
	if record.GetDataCentre() != h.cfg.DataCentre {
		return lostCentres[record.GetDataCentre()]
	}
	for _, parent := range record.GetParents() {
		if r := h.cfg.Members.Record(parent); r != nil && !r.GetDown() {
			return false
		}
	}
	return !h.holdsLease(record.GetNode())
}

func (h *Hub) holdsLease(node string) bool {
	for _, o := range h.freshLeases() {
		if o.lease.GetNode() == node {
			return true
		}
	}
	return false
}

// lostCentres returns the data centres none of whose leases was renewed for a minute, as far as the platform is up.
func (h *Hub) lostCentres(now time.Time) map[string]bool {
	lost := map[string]bool{}
	if !h.cfg.Store.Up() {
		return lost
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		lapsed := now.Sub(o.changed) > lostAfter
		previous, found := lost[o.lease.GetDataCentre()]
		lost[o.lease.GetDataCentre()] = lapsed && (previous || !found)
	}
	return lost
}
