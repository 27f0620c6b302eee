package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	leasePrefix = "relay/"
	relaySlots  = 2
	maxLeases   = 1000
	// leaseDuration is how long a lease is in force after an observer last saw it renewed, by the observer's clock. It
	// covers two renewals at the longest renewal interval of the users' deployments, 4 s.
	leaseDuration = 8 * time.Second
	// isolatedPollInterval bounds the poll interval of a node that is not a relay: such a node polls only while it has
	// no parent or is promoted, and then has nothing else to wait for.
	isolatedPollInterval = 500 * time.Millisecond
	minPollDelay         = 50 * time.Millisecond
	pollsPerRenewal      = 2
	leaveTimeout         = time.Second
	// dataCentreLostTimeout is how long no lease of a data centre must have been renewed before its nodes count as
	// down.
	dataCentreLostTimeout = time.Minute
)

// observedLease is a relay lease as read from the platform, with the time at which this node first saw that version.
// A lease makes its holder one of the relays of its data centre.
type observedLease struct {
	key       string
	version   uint64
	era       uint64
	lease     *wirepb.RelayLease
	changedAt time.Time
	// void means that the holder did not run, or not as a relay, when it was dialled.
	void bool
}

// pollLoop polls the platform until the context ends, whenever this node is a relay, is promoted or has no parent.
func (h *Hub) pollLoop(ctx context.Context) {
	rounds := 0
	for ctx.Err() == nil {
		started := h.cfg.Now()
		if h.needsPlatform() {
			h.pollPlatform(ctx, rounds)
			rounds++
		} else if h.untilOutOfTouch() <= 0 {
			h.readChanges(ctx)
		}
		waited := time.Duration(0)
		if !h.cfg.Store.IsReachable() {
			waited = h.cfg.Now().Sub(started)
		}
		timer := time.NewTimer(h.pollDelay(waited))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.pollNow:
		}
		timer.Stop()
	}
}

// pollDelay returns the jittered time to the next poll, or the time until the parents count as out of touch if that is shorter. After a poll
// that failed, the time that it waited in vain counts.
func (h *Hub) pollDelay(waited time.Duration) time.Duration {
	interval := h.cfg.PollInterval
	if !h.IsRelay() {
		interval = min(interval, isolatedPollInterval)
	}
	delay := max(interval*3/4+rand.N(interval/2)-waited, minPollDelay)
	if wait := h.untilOutOfTouch(); wait > 0 {
		delay = min(delay, wait)
	}
	return delay
}

// voidLeases marks the leases of an address where no relay runs as void and starts the next poll of the platform at once.
func (h *Hub) voidLeases(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		if o.lease.GetPeerAddress() != address.String() || o.void || o.lease.GetNode() == h.cfg.Node {
			continue
		}
		o.void = true
		h.cfg.Logger.Info("relay lease marked as void: holder is not running as a relay", zap.String("slot", o.key), zap.String("holder", o.lease.GetNode()))
		h.requestPoll()
	}
}

func (h *Hub) needsPlatform() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false
	}
	if h.relay || h.promoted {
		h.isolatedSince = time.Time{}
		return true
	}
	if h.hasParent() {
		h.isolatedSince = time.Time{}
		return false
	}
	if h.isolatedSince.IsZero() {
		h.isolatedSince = h.cfg.Now()
	}
	return true
}

func (h *Hub) pollPlatform(ctx context.Context, round int) {
	wasUp := h.cfg.Store.IsReachable()
	err := h.readLeases(ctx)
	if up := h.cfg.Store.IsReachable(); up != wasUp {
		h.cfg.Logger.Info("platform reachability changed", zap.Bool("up", up))
	}
	if err != nil {
		return
	}
	acquired := false
	switch key, free := h.acquirableSlot(); {
	case h.IsRelay() && (round%pollsPerRenewal == 0 || h.lostSlot() != ""):
		h.renewLease(ctx)
	case !h.IsRelay() && free:
		acquired = h.contendForLease(ctx, key)
	default:
		h.clearPromotion()
	}
	rowsRound := round
	if acquired || h.rowsAreFromEarlierEra() {
		rowsRound = 0
	}
	var rowsUpdated sync.WaitGroup
	defer rowsUpdated.Wait()
	rowsUpdated.Go(func() { h.updateNodeRows(ctx, rowsRound) })
	if h.reliesOnRelays() && !h.lacksConfiguration() {
		return
	}
	started := h.cfg.Now()
	err = h.cfg.Log.Sync(ctx)
	switch {
	case err == nil && !h.IsRelay():
		h.actAsRoot(started)
	case err == nil:
		h.recordRead(started)
	case err != nil && h.cfg.Store.IsReachable():
		h.cfg.Logger.Warn("could not read changes from the platform", zap.Error(err))
	}
}

func (h *Hub) readLeases(ctx context.Context) error {
	rows, era, err := h.cfg.Store.Part("").RangeEra(ctx, leasePrefix, "", maxLeases)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	h.leasesEra = era
	h.recordLeasesRead()
	for _, row := range rows {
		seen[row.GetKey()] = true
		h.observeLease(row, era)
	}
	for key := range h.leases {
		if !seen[key] {
			delete(h.leases, key)
		}
	}
	h.cfg.Pool.SetWAN(h.relaysInWAN())
	return nil
}

// recordLeasesRead records that the leases have been read. Holders could not renew them either while the platform did not respond, so that
// after a gap each lease is given its whole duration again. h.mu must be held.
func (h *Hub) recordLeasesRead() {
	now := h.cfg.Now()
	if now.Sub(h.leasesReadAt) > leaseDuration/2 {
		for _, o := range h.leases {
			o.changedAt = now
		}
	}
	h.leasesReadAt = now
}

// relaysInWAN returns for the address of each relay whether it is in another data centre. h.mu must be held.
func (h *Hub) relaysInWAN() map[netip.AddrPort]bool {
	wan := make(map[netip.AddrPort]bool, len(h.leases))
	for _, o := range h.leases {
		if address, err := netip.ParseAddrPort(o.lease.GetPeerAddress()); err == nil {
			wan[address] = o.lease.GetDataCentre() != h.cfg.DataCentre
		}
	}
	return wan
}

// observeLease records a lease. Versions are assigned again in a new era of the store.
func (h *Hub) observeLease(row *wirepb.Row, era uint64) {
	known := h.leases[row.GetKey()]
	if known != nil && known.version == row.GetVersion() && known.era == era {
		return
	}
	lease := &wirepb.RelayLease{}
	if err := proto.Unmarshal(row.GetValue(), lease); err != nil {
		return
	}
	h.leases[row.GetKey()] = &observedLease{key: row.GetKey(), version: row.GetVersion(), era: era, lease: lease, changedAt: h.cfg.Now()}
	if h.relay && lease.GetNode() == h.cfg.Node {
		h.heldSlot, h.heldEra = row.GetKey(), era
	}
}

// isInForce reports whether a lease was in force when the leases were last read: nothing is known about it since. h.mu must be held.
func (h *Hub) isInForce(o *observedLease) bool {
	return !o.void && h.leasesReadAt.Sub(o.changedAt) < leaseDuration
}

// usableLeases returns the leases in force, ordered by key. A node that is not a relay does not keep its leases current
// and gets lapsed and void ones too.
func (h *Hub) usableLeases() []*observedLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*observedLease
	for _, o := range h.leases {
		if h.isInForce(o) || !h.relay {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].key < list[j].key })
	return list
}

// RelayRank returns this node's position among the relays of all data centres, all first slots before all second ones,
// or a negative number if it is not a relay.
func (h *Hub) RelayRank() int {
	if !h.IsRelay() {
		return -1
	}
	rank := 0
	own := h.ownRankKey()
	for _, o := range h.usableLeases() {
		if o.lease.GetNode() != h.cfg.Node && slotOf(o.key)+o.key < own {
			rank++
		}
	}
	return rank
}

func (h *Hub) ownRankKey() string {
	if o := h.ownLease(); o != nil {
		return slotOf(o.key) + o.key
	}
	return ""
}

func (h *Hub) slotKey(slot int) string {
	return leasePrefix + h.cfg.DataCentre + "/" + strconv.Itoa(slot)
}

// acquirableSlot returns the first relay slot of the data centre that no other node holds; a slot whose lease names this
// node counts as well.
func (h *Hub) acquirableSlot() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range relaySlots {
		key := h.slotKey(slot)
		if o := h.leases[key]; o == nil || !h.isInForce(o) || o.lease.GetNode() == h.cfg.Node {
			return key, true
		}
	}
	return "", false
}

// clearPromotion drops a promotion that was not followed because no slot was free.
func (h *Hub) clearPromotion() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.promoted = false
}

func (h *Hub) newLease(renewals uint64) *wirepb.RelayLease {
	return &wirepb.RelayLease{
		Node: h.cfg.Node, PeerAddress: h.cfg.PeerAddress.String(),
		DataCentre: h.cfg.DataCentre, Renewals: renewals,
	}
}

// putLease writes a lease and reports whether it was written; it is not if another node wrote it since it was last
// read.
func (h *Hub) putLease(ctx context.Context, key string, lease *wirepb.RelayLease) (bool, error) {
	value, err := proto.Marshal(lease)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	version := uint64(0)
	if o := h.leases[key]; o != nil {
		version = o.version
	}
	h.mu.Unlock()
	return h.cfg.Store.Transact(ctx, &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: key, Version: version}},
		Puts:       []*wirepb.Row{{Key: key, Value: value}},
	})
}

// acquireLease writes a lease for a vacant slot and reports whether this node is a relay now.
func (h *Hub) acquireLease(ctx context.Context, key string) bool {
	acquired, err := h.putLease(ctx, key, h.newLease(0))
	if err != nil || !acquired {
		return false
	}
	if err := h.readLeases(ctx); err != nil {
		h.cfg.Logger.Info("could not read relay leases after acquiring one", zap.String("slot", key), zap.Error(err))
	}
	h.setRelay(true)
	h.cfg.Logger.Info("relay lease acquired", zap.String("slot", key))
	return true
}

// renewLease renews this node's lease, or ends its role as a relay if another node has taken the lease over.
func (h *Hub) renewLease(ctx context.Context) {
	held := h.ownLease()
	if slot := h.lostSlot(); slot != "" && h.rewriteLease(ctx, slot) {
		return
	}
	if held == nil {
		h.setRelay(false)
		h.cfg.Logger.Info("relay lease lost")
		return
	}
	if renewed, err := h.putLease(ctx, held.key, h.newLease(held.lease.GetRenewals()+1)); err != nil || !renewed {
		h.cfg.Logger.Info("could not renew relay lease", zap.String("slot", held.key), zap.Error(err))
	}
}

func (h *Hub) ownLease() *observedLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		if o.lease.GetNode() == h.cfg.Node {
			return o
		}
	}
	return nil
}

// ownSlot returns the slot of this node's lease; relays link to the relays of the same slot in other data centres.
func (h *Hub) ownSlot() string {
	if o := h.ownLease(); o != nil {
		return slotOf(o.key)
	}
	return ""
}

func slotOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

func (h *Hub) setRelay(relay bool) {
	h.mu.Lock()
	switch {
	case h.relay && !relay:
		h.currentAt = h.cfg.Now().Add(-h.age())
	case relay:
		// It has just taken the lease.
		h.readAt = h.cfg.Now()
	}
	h.relay, h.promoted = relay, false
	h.heldSlot, h.heldEra = "", 0
	for _, o := range h.leases {
		if relay && o.lease.GetNode() == h.cfg.Node {
			h.heldSlot, h.heldEra = o.key, o.era
		}
	}
	for _, l := range h.links {
		// Which nodes this node dials depends on its role, so the links that it dialled are closed and replaced.
		if l.dialled {
			l.close()
		}
	}
	h.mu.Unlock()
	h.announceDepth()
	h.publishParents()
}

// promotionCandidate returns the child that should become a relay, or an empty string if both slots of the data
// centre are held.
func (h *Hub) promotionCandidate() string {
	if !h.IsRelay() {
		return ""
	}
	if _, free := h.vacantSlot(); !free {
		return ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen := ""
	for _, l := range h.links {
		if !l.dialled && !l.betweenRelays && (chosen == "" || l.node < chosen) {
			chosen = l.node
		}
	}
	return chosen
}

// vacantSlot returns a relay slot of the data centre that no node holds, this one included.
func (h *Hub) vacantSlot() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range relaySlots {
		key := h.slotKey(slot)
		if o := h.leases[key]; o == nil || !h.isInForce(o) {
			return key, true
		}
	}
	return "", false
}

// Leave marks this node as down and as having left in its member record, and deletes its node row and its lease from the platform.
func (h *Hub) Leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.cfg.Members.UpdateSelf(func(record *wirepb.MemberRecord) {
		record.Down, record.Left, record.Upstreams = true, true, nil
	})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var leaseDeleted sync.WaitGroup
	defer leaseDeleted.Wait()
	if held := h.ownLease(); held != nil && h.IsRelay() {
		leaseDeleted.Go(func() { h.deleteLease(ctx, held) })
	}
	if _, err := h.nodeRowPart().Transact(ctx, &wirepb.Transaction{Deletes: []string{h.nodeRowKey()}}); err != nil {
		h.cfg.Logger.Info("could not delete node row from the platform", zap.Error(err))
	}
}

func (h *Hub) deleteLease(ctx context.Context, held *observedLease) {
	_, err := h.cfg.Store.Transact(ctx, &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: held.key, Version: held.version}}, Deletes: []string{held.key},
	})
	if err != nil {
		h.cfg.Logger.Info("could not delete relay lease from the platform", zap.Error(err))
	}
}
