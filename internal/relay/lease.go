package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	leasePrefix = "relay/"
	relaySlots  = 2
	maxLeases   = 1000
	// leaseTime is how long a lease counts after an observer last saw it renewed, by the observer's own clock: two renewals
	// at the longest interval that the users' machines are run with, 4 s.
	leaseTime = 8 * time.Second
	// aloneInterval is the pause between two reads of the platform by a node without any link.
	aloneInterval = 500 * time.Millisecond
	// renewEvery is the number of polls between two renewals.
	renewEvery   = 2
	leaveTimeout = time.Second
	// lostAfter is how long all leases of a data centre must be lapsed before its nodes count as lost.
	lostAfter = time.Minute
)

// observedLease is a relay row with the time at which this node last saw it change.
type observedLease struct {
	key     string
	version uint64
	lease   *wirepb.RelayLease
	changed time.Time
	// disclaimed says that the holder was asked and is no relay.
	disclaimed bool
}

// keepLease follows the platform as long as this node is a relay or has no link, until the context ends.
func (h *Hub) keepLease(ctx context.Context) {
	rounds := 0
	for ctx.Err() == nil {
		if h.needsPlatform() {
			h.followPlatform(ctx, rounds)
			rounds++
		}
		timer := time.NewTimer(h.pollPause())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.hurry:
		}
		timer.Stop()
	}
}

// pollPause returns the time to the next read of the platform; a node without links waits for nothing else.
func (h *Hub) pollPause() time.Duration {
	interval := h.cfg.PollInterval
	if !h.IsRelay() {
		interval = min(interval, aloneInterval)
	}
	return interval*3/4 + rand.N(interval/2)
}

// disclaim takes a lease as lapsed whose holder does not run as a relay any more.
func (h *Hub) disclaim(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		if o.lease.GetPeerAddress() != address.String() || o.disclaimed || o.lease.GetNode() == h.cfg.Node {
			continue
		}
		o.disclaimed = true
		h.cfg.Logger.Info("relay lease void", zap.String("slot", o.key), zap.String("holder", o.lease.GetNode()))
		select {
		case h.hurry <- struct{}{}:
		default:
		}
	}
}

func (h *Hub) needsPlatform() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false
	}
	if h.relay || h.promoted {
		return true
	}
	for _, l := range h.links {
		if l.dialled {
			return false
		}
	}
	return true
}

func (h *Hub) followPlatform(ctx context.Context, round int) {
	wasUp := h.cfg.Store.IsReachable()
	err := h.readLeases(ctx)
	if up := h.cfg.Store.IsReachable(); up != wasUp {
		h.cfg.Logger.Info("platform changed", zap.Bool("up", up))
	}
	if err != nil {
		return
	}
	h.readRows(ctx, round)
	switch key, free := h.freeSlot(); {
	case h.IsRelay() && round%renewEvery == 0:
		h.renew(ctx)
	case !h.IsRelay() && free:
		h.claim(ctx, key)
	default:
		h.settle()
	}
	if err := h.cfg.Log.Sync(ctx); err != nil && h.cfg.Store.IsReachable() {
		h.cfg.Logger.Warn("platform not followed", zap.Error(err))
	}
}

func (h *Hub) readLeases(ctx context.Context) error {
	rows, err := h.cfg.Store.Range(ctx, leasePrefix, "", maxLeases)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, row := range rows {
		seen[row.GetKey()] = true
		h.observe(row)
	}
	for key := range h.leases {
		if !seen[key] {
			delete(h.leases, key)
		}
	}
	return nil
}

func (h *Hub) observe(row *wirepb.Row) {
	known := h.leases[row.GetKey()]
	if known != nil && known.version == row.GetVersion() {
		return
	}
	lease := &wirepb.RelayLease{}
	if err := proto.Unmarshal(row.GetValue(), lease); err != nil {
		return
	}
	if address, err := netip.ParseAddrPort(lease.GetPeerAddress()); err == nil {
		h.cfg.Pool.SetWAN(address, lease.GetDataCentre() != h.cfg.DataCentre)
	}
	h.leases[row.GetKey()] = &observedLease{key: row.GetKey(), version: row.GetVersion(), lease: lease, changed: h.cfg.Now()}
}

func (h *Hub) fresh(o *observedLease) bool {
	return !o.disclaimed && h.cfg.Now().Sub(o.changed) < leaseTime
}

// freshLeases returns the leases that have not lapsed, ordered by key.
func (h *Hub) freshLeases() []*observedLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*observedLease
	for _, o := range h.leases {
		if h.fresh(o) || !h.relay {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].key < list[j].key })
	return list
}

// RelayRank returns this node's place among the relays of all data centres, the first slots before the second ones, or a
// negative number when it is no relay.
func (h *Hub) RelayRank() int {
	if !h.IsRelay() {
		return -1
	}
	rank := 0
	own := h.slotRank()
	for _, o := range h.freshLeases() {
		if o.lease.GetNode() != h.cfg.Node && slotOf(o.key)+o.key < own {
			rank++
		}
	}
	return rank
}

func (h *Hub) slotRank() string {
	if o := h.heldLease(); o != nil {
		return slotOf(o.key) + o.key
	}
	return ""
}

func (h *Hub) slotKey(slot int) string {
	return leasePrefix + h.cfg.DataCentre + "/" + strconv.Itoa(slot)
}

// freeSlot returns a relay slot of the data centre that nobody holds; the first two nodes take both.
func (h *Hub) freeSlot() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range relaySlots {
		key := h.slotKey(slot)
		if o := h.leases[key]; o == nil || !h.fresh(o) || o.lease.GetNode() == h.cfg.Node {
			return key, true
		}
	}
	return "", false
}

// settle forgets a promotion when no slot is free any more.
func (h *Hub) settle() {
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

// put writes a relay row if nobody else wrote it since it was read.
func (h *Hub) put(ctx context.Context, key string, lease *wirepb.RelayLease) (bool, error) {
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

func (h *Hub) claim(ctx context.Context, key string) {
	taken, err := h.put(ctx, key, h.newLease(0))
	if err != nil || !taken {
		return
	}
	if err := h.readLeases(ctx); err != nil {
		h.cfg.Logger.Info("relay lease not read back", zap.String("slot", key), zap.Error(err))
	}
	h.becomeRelay(true)
	h.cfg.Logger.Info("relay lease taken", zap.String("slot", key))
	h.readRows(ctx, 0)
}

// renew keeps the lease; a lease that another node took in the meantime ends this node's part as a relay.
func (h *Hub) renew(ctx context.Context) {
	held := h.heldLease()
	if held == nil {
		h.becomeRelay(false)
		h.cfg.Logger.Info("relay lease lost")
		return
	}
	if renewed, err := h.put(ctx, held.key, h.newLease(held.lease.GetRenewals()+1)); err != nil || !renewed {
		h.cfg.Logger.Info("relay lease not renewed", zap.String("slot", held.key), zap.Error(err))
	}
}

func (h *Hub) heldLease() *observedLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.leases {
		if o.lease.GetNode() == h.cfg.Node {
			return o
		}
	}
	return nil
}

// heldSlot returns the slot of this node's lease: relays of different data centres link to those of the same slot.
func (h *Hub) heldSlot() string {
	if o := h.heldLease(); o != nil {
		return slotOf(o.key)
	}
	return ""
}

func slotOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

func (h *Hub) becomeRelay(relay bool) {
	h.mu.Lock()
	h.relay, h.promoted = relay, false
	for _, l := range h.links {
		// The roles of links follow the role of the node: they are made anew.
		if l.dialled {
			l.close()
		}
	}
	h.mu.Unlock()
	h.publishParents()
}

// promotion returns the linked node that should take the vacant slot of this data centre.
func (h *Hub) promotion() string {
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
		if !l.dialled && !l.relay && (chosen == "" || l.node < chosen) {
			chosen = l.node
		}
	}
	return chosen
}

// vacantSlot returns a slot that neither this node nor another one holds.
func (h *Hub) vacantSlot() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range relaySlots {
		key := h.slotKey(slot)
		if o := h.leases[key]; o == nil || !h.fresh(o) {
			return key, true
		}
	}
	return "", false
}

// Leave gives the lease back and tells all nodes that this one goes.
func (h *Hub) Leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.cfg.Members.UpdateSelf(func(record *wirepb.MemberRecord) {
		record.Down, record.Upstreams = true, nil
	})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	transaction := &wirepb.Transaction{Deletes: []string{h.rowKey()}}
	if held := h.heldLease(); held != nil && h.IsRelay() {
		transaction.Conditions = []*wirepb.Condition{{Key: held.key, Version: held.version}}
		transaction.Deletes = append(transaction.Deletes, held.key)
	}
	_, err := h.cfg.Store.Transact(ctx, transaction)
	if err != nil {
		h.cfg.Logger.Info("rows left to lapse", zap.Error(err))
	}
}
