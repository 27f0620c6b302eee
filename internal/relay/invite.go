package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	nodeKeyPrefix    = "node/"
	maxNodeRows      = 1000
	minRowWriteDelay = 200 * time.Millisecond
	// startupPolls is the number of polls after a node's start during which a relay reads the node rows every time: the
	// rest of the data centre may have started with it.
	startupPolls    = 6
	pollsPerRowRead = 10
	inviteInterval  = 200 * time.Millisecond
	// reinviteInterval leaves an invited node time to link to a relay before it is invited again.
	reinviteInterval = 2 * time.Second
	inviteTimeout    = 500 * time.Millisecond
	// inviteDuration is how long a node is invited after it went down.
	inviteDuration = time.Minute
)

func (h *Hub) nodeRowPrefix() string { return nodeKeyPrefix + h.cfg.DataCentre + "/" }

func (h *Hub) nodeRowKey() string { return h.nodeRowPrefix() + h.cfg.Node }

// writeNodeRow writes this node's row, by which relays find the node if it later starts without access to the platform.
// It retries until the write succeeds, the context ends or the node leaves.
func (h *Hub) writeNodeRow(ctx context.Context) {
	value, err := proto.Marshal(&wirepb.NodeRow{Node: h.cfg.Node, PeerAddress: h.cfg.PeerAddress.String()})
	if err != nil {
		h.cfg.Logger.Error("could not encode node row", zap.Error(err))
		return
	}
	for wait := minRowWriteDelay; ctx.Err() == nil && !h.isLeaving(); wait = min(2*wait, reinviteInterval) {
		_, err := h.cfg.Store.Transact(ctx, &wirepb.Transaction{Puts: []*wirepb.Row{{Key: h.nodeRowKey(), Value: value}}})
		if err == nil {
			return
		}
		sleep(ctx, wait/2+rand.N(wait))
	}
}

func (h *Hub) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// readNodeRows reads the rows of the data centre's nodes in each of the startupPolls and then in one of pollsPerRowRead
// polls.
func (h *Hub) readNodeRows(ctx context.Context, round int) {
	if !h.IsRelay() || round > startupPolls && round%pollsPerRowRead != 0 {
		return
	}
	rows, err := h.cfg.Store.Range(ctx, h.nodeRowPrefix(), "", maxNodeRows)
	if err != nil {
		return
	}
	var list []*wirepb.NodeRow
	for _, r := range rows {
		row := &wirepb.NodeRow{}
		if err := proto.Unmarshal(r.GetValue(), row); err != nil {
			h.cfg.Logger.Warn("invalid node row ignored", zap.String("row", r.GetKey()), zap.Error(err))
			continue
		}
		list = append(list, row)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeRows = list
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
		sleep(ctx, inviteInterval)
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
	var list []netip.AddrPort
	add := func(node, text string) {
		address, err := netip.ParseAddrPort(text)
		if err != nil || h.links[node] != nil || node == h.cfg.Node || now.Sub(h.invitedAt[address]) < reinviteInterval {
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
