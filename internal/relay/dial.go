package relay

import (
	"bufio"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	dialInterval = 200 * time.Millisecond
	// parentLinks is the number of parents that a node is linked to: if one freezes, updates still arrive from the
	// other.
	parentLinks    = 2
	helloTimeout   = time.Second
	dialRetryDelay = time.Second
)

// dialState describes an address that is being dialled, or that is not dialled before retryAt.
type dialState struct {
	dialling bool
	retryAt  time.Time
}

// dialLoop dials the links that this node lacks until the context ends.
func (h *Hub) dialLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range h.nextDials() {
			h.wait.Go(func() { h.dialLink(ctx, address) })
		}
		timer := time.NewTimer(dialInterval/2 + rand.N(dialInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.dialWake:
		}
		timer.Stop()
	}
}

// dialNow dials an address without waiting for its retry delay: a node that has just sent an invitation accepts links,
// even if an earlier attempt failed.
func (h *Hub) dialNow(text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	h.mu.Lock()
	if d := h.dials[address]; d != nil && !d.dialling {
		delete(h.dials, address)
	}
	h.mu.Unlock()
	select {
	case h.dialWake <- struct{}{}:
	default:
	}
}

// nextDials returns the addresses to dial now and marks them as being dialled.
func (h *Hub) nextDials() []netip.AddrPort {
	wanted, limit := h.candidates()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return nil
	}
	now := h.cfg.Now()
	maps.DeleteFunc(h.dials, func(_ netip.AddrPort, d *dialState) bool { return !d.dialling && !now.Before(d.retryAt) })
	linked := map[string]bool{}
	for _, l := range h.links {
		linked[l.address] = true
		if l.dialled && !h.relay {
			limit--
		}
	}
	var chosen []netip.AddrPort
	for _, address := range wanted {
		if len(chosen) >= limit {
			break
		}
		if linked[address.String()] || h.dials[address] != nil {
			continue
		}
		h.dials[address] = &dialState{dialling: true}
		chosen = append(chosen, address)
	}
	return chosen
}

// candidates returns the addresses that this node may dial, in order of preference, and how many links it should hold.
// A relay dials relays of its data centre and the relays of the same slot in other data centres, of each pair of relays
// only the one with the lower name; other nodes dial relays of their data centre first.
func (h *Hub) candidates() ([]netip.AddrPort, int) {
	relays := h.usableLeases()
	var list []netip.AddrPort
	if h.IsRelay() {
		slot := h.ownSlot()
		for _, o := range relays {
			local := o.lease.GetDataCentre() == h.cfg.DataCentre
			if o.lease.GetNode() > h.cfg.Node && (local || slotOf(o.key) == slot) {
				list = appendAddress(list, o.lease.GetPeerAddress(), h.cfg.PeerAddress)
			}
		}
		return list, len(list)
	}
	for _, o := range relays {
		if o.lease.GetDataCentre() == h.cfg.DataCentre {
			list = appendAddress(list, o.lease.GetPeerAddress(), h.cfg.PeerAddress)
		}
	}
	h.mu.Lock()
	known := append([]netip.AddrPort(nil), h.knownAddresses...)
	h.mu.Unlock()
	for _, address := range append(known, h.cfg.Seeds...) {
		list = appendAddress(list, address.String(), h.cfg.PeerAddress)
	}
	return list, parentLinks
}

func appendAddress(list []netip.AddrPort, text string, self netip.AddrPort) []netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address == self {
		return list
	}
	for _, known := range list {
		if known == address {
			return list
		}
	}
	return append(list, address)
}

// dialLink opens a link to a node and serves it until it ends.
func (h *Hub) dialLink(ctx context.Context, address netip.AddrPort) {
	l, cursor, buckets, err := h.handshake(ctx, address)
	var redirected *RedirectedError
	if errors.As(err, &redirected) {
		h.rememberAddresses(redirected.Alternates)
	}
	if redirected != nil && !redirected.FromRelay || errors.Is(err, syscall.ECONNREFUSED) {
		h.voidLeases(address)
	}
	if err == nil && !h.addLink(l) {
		l.close()
		err = &ProtocolError{Expected: "a single link to " + l.node}
	}
	if err != nil {
		h.backOff(address)
		return
	}
	h.publishParents()
	h.announceDepth()
	l.run(ctx, cursor, buckets)
	h.removeLink(l)
	h.backOff(address)
	if ctx.Err() == nil {
		h.publishParents()
		h.awaitRelink(ctx, l)
	}
}

func (h *Hub) handshake(ctx context.Context, address netip.AddrPort) (*link, cursor, []uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := h.cfg.Pool.OpenStream(ctx, address)
	if err != nil {
		return nil, cursor{}, nil, err
	}
	l := &link{hub: h, conn: stream, reader: bufio.NewReader(stream), address: address.String(), dialled: true, wake: make(chan struct{}, 1)}
	from := l.initCursor(0)
	hello := &wirepb.LinkHello{
		Node: h.cfg.Node, DataCentre: h.cfg.DataCentre, Revision: h.cfg.Log.State().Revision,
		Buckets: h.cfg.Members.Digest(), Relay: h.IsRelay(), PeerAddress: h.cfg.PeerAddress.String(), PackedChanges: true,
	}
	l.betweenRelays = hello.GetRelay()
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	welcome, err := l.exchangeHello(hello)
	if err != nil {
		_ = stream.Close()
		return nil, cursor{}, nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	l.node = welcome.GetNode()
	l.wan = l.betweenRelays && welcome.GetDataCentre() != h.cfg.DataCentre
	l.revision, l.packedChanges = welcome.GetRevision(), welcome.GetPackedChanges()
	l.depth.Store(welcome.GetDepth())
	return l, from, welcome.GetBuckets(), nil
}

func (l *link) exchangeHello(hello *wirepb.LinkHello) (*wirepb.LinkWelcome, error) {
	if err := frame.Write(l.conn, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Link{Link: hello}}); err != nil {
		return nil, err
	}
	reply := &wirepb.LinkFrame{}
	if err := frame.Read(l.reader, reply, maxFrameBytes); err != nil {
		return nil, err
	}
	switch kind := reply.GetKind().(type) {
	case *wirepb.LinkFrame_Welcome:
		return kind.Welcome, nil
	case *wirepb.LinkFrame_Redirect:
		return nil, &RedirectedError{Alternates: kind.Redirect.GetAlternates(), FromRelay: kind.Redirect.GetRelay()}
	default:
		return nil, &ProtocolError{Expected: "a welcome"}
	}
}

// backOff delays the next attempt to dial an address by a jittered dialRetryDelay.
func (h *Hub) backOff(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dials[address] = &dialState{retryAt: h.cfg.Now().Add(dialRetryDelay/4 + rand.N(dialRetryDelay))}
}

// rememberAddresses records addresses of nodes that may accept links, the newest first, and keeps at most
// 2*maxAlternates.
func (h *Hub) rememberAddresses(alternates []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	for _, text := range alternates[:min(len(alternates), maxAlternates)] {
		list = appendAddress(list, text, h.cfg.PeerAddress)
	}
	for _, address := range h.knownAddresses {
		if len(list) < 2*maxAlternates {
			list = appendAddress(list, address.String(), h.cfg.PeerAddress)
		}
	}
	h.knownAddresses = list
}

// applyBeat records the alternates of a beat and a promotion of this node by one of its parents.
func (h *Hub) applyBeat(l *link, beat *wirepb.LinkBeat) {
	h.rememberAddresses(beat.GetAlternates())
	if beat.GetPromoted() != h.cfg.Node || !l.dialled {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.relay && !h.promoted {
		h.promoted = true
		h.cfg.Logger.Info("promotion to relay requested by parent node", zap.String("node", l.node))
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
