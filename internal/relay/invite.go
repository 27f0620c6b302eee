package relay

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	nodeKeyPrefix = "node/"
	maxNodeRows   = 1000
	// startupPolls is the number of polls after a node became a relay at each of which it writes the rows that are missing:
	// the rest of the data centre may have started with it.
	startupPolls    = 6
	pollsPerRowRead = 10
	// maxRowWrites is the number of entries that one transaction may have.
	maxRowWrites   = 100
	inviteInterval = 200 * time.Millisecond
	// reinviteInterval leaves an invited node time to link to a relay before it is invited again.
	reinviteInterval = 2 * time.Second
	inviteTimeout    = 500 * time.Millisecond
	// inviteDuration is how long a node is invited after it went down.
	inviteDuration = time.Minute
)

// nodeRowPart returns the part of the platform's table that holds the rows of the data centre's nodes.
func (h *Hub) nodeRowPart() *store.Part { return h.cfg.Store.Part(nodeKeyPrefix + h.cfg.DataCentre) }

func (h *Hub) nodeRowPrefix() string { return nodeKeyPrefix + h.cfg.DataCentre + "/" }

func (h *Hub) nodeRowKey() string { return h.nodeRowPrefix() + h.cfg.Node }

// updateNodeRows keeps the rows of the data centre's nodes: relays read them when they acquire their lease and then in one of
// pollsPerRowRead polls, and the relay of the first slot adds the nodes that lack one. By these rows relays find nodes that later
// start without access to the platform.
func (h *Hub) updateNodeRows(ctx context.Context, round int) {
	if !h.IsRelay() {
		return
	}
	era, reads := h.cfg.Store.Era(), round%pollsPerRowRead == 0
	if reads && !h.readNodeRows(ctx) {
		return
	}
	if writes := h.writesNodeRows() && (round <= startupPolls || reads); writes && !h.writeMissingRows(ctx) {
		return
	}
	if reads {
		h.recordRows(era)
	}
}

// writeMissingRows adds the nodes that lack a row and reports whether it could.
func (h *Hub) writeMissingRows(ctx context.Context) bool {
	missing := h.missingNodeRows()
	for len(missing) > 0 {
		part := missing[:min(len(missing), maxRowWrites)]
		missing = missing[len(part):]
		if _, err := h.nodeRowPart().Transact(ctx, &wirepb.Transaction{Puts: part}); err != nil {
			h.cfg.Logger.Info("could not write node rows", zap.Int("rows", len(part)), zap.Error(err))
			return false
		}
		h.rememberNodeRows(part)
	}
	return true
}

// writesNodeRows reports whether this relay holds the first slot, or the relay that does is not running.
func (h *Hub) writesNodeRows() bool {
	if h.ownSlot() == firstSlot {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.leases[h.slotKey(0)]
	return o == nil || !h.isInForce(o)
}

// missingNodeRows returns the rows of live nodes of the data centre that are not stored, or with another address.
func (h *Hub) missingNodeRows() []*wirepb.Row {
	live := h.cfg.Members.Select(func(r *wirepb.MemberRecord) bool { return !r.GetDown() && r.GetDataCentre() == h.cfg.DataCentre })
	h.mu.Lock()
	defer h.mu.Unlock()
	stored := make(map[string]string, len(h.nodeRows))
	for _, r := range h.nodeRows {
		stored[r.GetNode()] = r.GetPeerAddress()
	}
	var missing []*wirepb.Row
	for _, r := range live {
		if stored[r.GetNode()] == r.GetPeerAddress() {
			continue
		}
		value, err := proto.Marshal(&wirepb.NodeRow{Node: r.GetNode(), PeerAddress: r.GetPeerAddress()})
		if err != nil {
			h.cfg.Logger.Error("could not encode node row", zap.String("node", r.GetNode()), zap.Error(err))
			continue
		}
		missing = append(missing, &wirepb.Row{Key: h.nodeRowPrefix() + r.GetNode(), Value: value})
	}
	return missing
}

// rememberNodeRows adds rows that were written to the known ones.
func (h *Hub) rememberNodeRows(rows []*wirepb.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeRows = append(slices.Clone(h.nodeRows), h.decodeNodeRows(rows)...)
}

// readNodeRows reads the rows of the data centre's nodes and reports whether it could.
func (h *Hub) readNodeRows(ctx context.Context) bool {
	rows, err := h.nodeRowPart().Range(ctx, h.nodeRowPrefix(), "", maxNodeRows)
	if err != nil {
		return false
	}
	h.mu.Lock()
	h.nodeRows = h.decodeNodeRows(rows)
	h.mu.Unlock()
	h.inviteNow()
	return true
}

func (h *Hub) decodeNodeRows(rows []*wirepb.Row) []*wirepb.NodeRow {
	list := make([]*wirepb.NodeRow, 0, len(rows))
	for _, r := range rows {
		row := &wirepb.NodeRow{}
		if err := proto.Unmarshal(r.GetValue(), row); err != nil {
			h.cfg.Logger.Warn("invalid node row ignored", zap.String("row", r.GetKey()), zap.Error(err))
			continue
		}
		list = append(list, row)
	}
	return list
}

// inviteNow starts the next round of invitations at once.
func (h *Hub) inviteNow() {
	select {
	case h.inviteWake <- struct{}{}:
	default:
	}
}

// inviteLoop invites nodes of the data centre that are down or unknown to link to this node, while this node is a
// relay. Nodes for which the platform is unreachable find the relays by these invitations.
func (h *Hub) inviteLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if h.IsRelay() {
			for _, address := range h.nextInvitations() {
				h.wait.Go(func() { h.sendInvitation(ctx, address) })
			}
		}
		timer := time.NewTimer(inviteInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.inviteWake:
		}
		timer.Stop()
	}
}

// nextInvitations returns the addresses of the nodes to invite now, which are down or known only by their rows, and
// records the time of their invitation.
func (h *Hub) nextInvitations() []netip.AddrPort {
	now := h.cfg.Now()
	down := h.cfg.Members.Select(func(r *wirepb.MemberRecord) bool {
		return r.GetDown() && r.GetDataCentre() == h.cfg.DataCentre
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.invitedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= reinviteInterval })
	var list []netip.AddrPort
	add := func(node, text string) {
		address, err := netip.ParseAddrPort(text)
		_, invited := h.invitedAt[address]
		if err != nil || h.links[node] != nil || node == h.cfg.Node || invited {
			return
		}
		h.invitedAt[address] = now
		list = append(list, address)
	}
	for _, r := range down {
		if h.cfg.Members.RecordAge(r.GetNode()) < inviteDuration {
			add(r.GetNode(), r.GetPeerAddress())
		}
	}
	for _, r := range h.nodeRows {
		if known := h.cfg.Members.Record(r.GetNode()); known == nil || known.GetDown() {
			add(r.GetNode(), r.GetPeerAddress())
		}
	}
	return list
}

func (h *Hub) sendInvitation(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, inviteTimeout)
	defer cancel()
	stream, err := h.cfg.Pool.OpenStream(ctx, address)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetWriteDeadline(time.Now().Add(inviteTimeout))
	_ = frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Invitation{Invitation: &wirepb.LinkRedirect{
		Alternates: append([]string{h.cfg.PeerAddress.String()}, h.alternates("")...), Relay: true,
	}}})
}

// HandleInvitation dials the relay that invites this node and records the alternates that it names.
func (h *Hub) HandleInvitation(invitation *wirepb.LinkRedirect) {
	if h.LinkCount() == 0 {
		h.cfg.Logger.Info("invitation to link to a relay received", zap.Strings("addresses", invitation.GetAlternates()))
	}
	h.rememberAddresses(invitation.GetAlternates())
	if inviters := invitation.GetAlternates(); len(inviters) > 0 {
		h.dialNow(inviters[0])
	}
}
