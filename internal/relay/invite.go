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
	nodePrefix   = "node/"
	maxNodeRows  = 1000
	announceWait = 200 * time.Millisecond
	// A relay reads the rows of nodes often after its start, when the rest of the data centre may have started with it.
	earlyRounds    = 6
	rowsEvery      = 10
	inviteInterval = 200 * time.Millisecond
	// invitePause is the time between two invitations of one node, in which it can link to a relay.
	invitePause   = 2 * time.Second
	inviteTimeout = 500 * time.Millisecond
	// inviteTime is how long a node that went down is still invited.
	inviteTime = time.Minute
)

func (h *Hub) rowPrefix() string { return nodePrefix + h.cfg.DataCentre + "/" }

func (h *Hub) rowKey() string { return h.rowPrefix() + h.cfg.Node }

// announce writes the row by which relays find this node when it starts where it cannot reach the platform.
func (h *Hub) announce(ctx context.Context) {
	value, err := proto.Marshal(&wirepb.NodeRow{Node: h.cfg.Node, PeerAddress: h.cfg.PeerAddress.String()})
	if err != nil {
		h.cfg.Logger.Error("node row not encoded", zap.Error(err))
		return
	}
	for wait := announceWait; ctx.Err() == nil && !h.isLeaving(); wait = min(2*wait, invitePause) {
		_, err := h.cfg.Store.Transact(ctx, &wirepb.Transaction{Puts: []*wirepb.Row{{Key: h.rowKey(), Value: value}}})
		if err == nil {
			return
		}
		pause(ctx, wait/2+rand.N(wait))
	}
}

func (h *Hub) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// readRows reads the rows of the data centre's nodes now and then.
func (h *Hub) readRows(ctx context.Context, round int) {
	if !h.IsRelay() || round > earlyRounds && round%rowsEvery != 0 {
		return
	}
	rows, err := h.cfg.Store.Range(ctx, h.rowPrefix(), "", maxNodeRows)
	if err != nil {
		return
	}
	var list []*wirepb.NodeRow
	for _, r := range rows {
		row := &wirepb.NodeRow{}
		if err := proto.Unmarshal(r.GetValue(), row); err != nil {
			h.cfg.Logger.Warn("node row set aside", zap.String("row", r.GetKey()), zap.Error(err))
			continue
		}
		list = append(list, row)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = list
}

// invite asks the nodes of the data centre that nobody is linked to, as long as this node is a relay.
func (h *Hub) invite(ctx context.Context) {
	for ctx.Err() == nil {
		if h.IsRelay() {
			for _, address := range h.uninvited() {
				h.wait.Go(func() { h.sendInvitation(ctx, address) })
			}
		}
		pause(ctx, inviteInterval)
	}
}

// uninvited returns the addresses of nodes without a link that were not invited a short time ago, and notes them.
func (h *Hub) uninvited() []netip.AddrPort {
	now := h.cfg.Now()
	down := h.cfg.Members.Select(func(r *wirepb.MemberRecord) bool {
		return r.GetDown() && r.GetDataCentre() == h.cfg.DataCentre
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	add := func(node, text string) {
		address, err := netip.ParseAddrPort(text)
		if err != nil || h.links[node] != nil || node == h.cfg.Node || now.Sub(h.invited[address]) < invitePause {
			return
		}
		h.invited[address] = now
		list = append(list, address)
	}
	for _, r := range down {
		if h.cfg.Members.RecordAge(r.GetNode()) < inviteTime {
			add(r.GetNode(), r.GetPeerAddress())
		}
	}
	for _, r := range h.rows {
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

// HandleInvitation remembers the relays that invite this node.
func (h *Hub) HandleInvitation(invitation *wirepb.LinkRedirect) {
	if h.LinkCount() == 0 {
		h.cfg.Logger.Info("invited by a relay", zap.Strings("relays", invitation.GetAlternates()))
	}
	h.hear(invitation.GetAlternates())
	if inviters := invitation.GetAlternates(); len(inviters) > 0 {
		h.expect(inviters[0])
	}
}
