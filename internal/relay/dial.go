package relay

import (
	"bufio"
	"context"
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
	attachInterval = 200 * time.Millisecond
	// parentLinks is the number of relays that a node is linked to: when one freezes the other still carries the news.
	parentLinks   = 2
	helloTimeout  = time.Second
	restAfterFail = time.Second
)

// target is an address that is being dialled or that rests after a failure.
type target struct {
	dialling bool
	retryAt  time.Time
}

// attach keeps this node linked to relays until the context ends.
func (h *Hub) attach(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range h.missing() {
			h.wait.Go(func() { h.dial(ctx, address) })
		}
		timer := time.NewTimer(attachInterval/2 + rand.N(attachInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.found:
		}
		timer.Stop()
	}
}

// expect makes this node dial an address at once that is known to take links now: a rest from an earlier failure, when the
// node there was not yet ready for it, no longer applies.
func (h *Hub) expect(text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	h.mu.Lock()
	if t := h.targets[address]; t != nil && !t.dialling {
		delete(h.targets, address)
	}
	h.mu.Unlock()
	select {
	case h.found <- struct{}{}:
	default:
	}
}

// missing returns the addresses to dial now and marks them.
func (h *Hub) missing() []netip.AddrPort {
	wanted, limit := h.wanted()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return nil
	}
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
		t := h.targets[address]
		if linked[address.String()] || t != nil && (t.dialling || h.cfg.Now().Before(t.retryAt)) {
			continue
		}
		h.targets[address] = &target{dialling: true}
		chosen = append(chosen, address)
	}
	return chosen
}

// wanted returns candidates in order of preference and how many of them this node should be linked to.
func (h *Hub) wanted() ([]netip.AddrPort, int) {
	relays := h.freshLeases()
	var list []netip.AddrPort
	if h.IsRelay() {
		slot := h.heldSlot()
		for _, o := range relays {
			near := o.lease.GetDataCentre() == h.cfg.DataCentre
			if o.lease.GetNode() > h.cfg.Node && (near || slotOf(o.key) == slot) {
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
	heard := append([]netip.AddrPort(nil), h.heard...)
	h.mu.Unlock()
	for _, address := range append(heard, h.cfg.Seeds...) {
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

// dial asks a node for a link and serves the link until it ends.
func (h *Hub) dial(ctx context.Context, address netip.AddrPort) {
	l, cursor, buckets, err := h.greet(ctx, address)
	var redirected *RedirectedError
	if errors.As(err, &redirected) {
		h.hear(redirected.Alternates)
	}
	if redirected != nil && !redirected.FromRelay || errors.Is(err, syscall.ECONNREFUSED) {
		h.disclaim(address)
	}
	if err == nil && !h.add(l) {
		l.close()
		err = &ProtocolError{Expected: "one link to " + l.node}
	}
	if err != nil {
		h.rest(address)
		return
	}
	h.publishParents()
	l.run(ctx, cursor, buckets)
	h.remove(l)
	h.rest(address)
	if ctx.Err() == nil {
		h.publishParents()
		h.watchLost(ctx, l)
	}
}

func (h *Hub) greet(ctx context.Context, address netip.AddrPort) (*link, cursor, []uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := h.cfg.Pool.Open(ctx, address)
	if err != nil {
		return nil, cursor{}, nil, err
	}
	l := &link{hub: h, conn: stream, reader: bufio.NewReader(stream), address: address.String(), dialled: true}
	from := l.cursors(0)
	hello := &wirepb.LinkHello{
		Node: h.cfg.Node, DataCentre: h.cfg.DataCentre, Revision: h.cfg.Log.State().Revision,
		Buckets: h.cfg.Members.Digest(), Relay: h.IsRelay(), PeerAddress: h.cfg.PeerAddress.String(),
	}
	l.relay = hello.GetRelay()
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	welcome, err := l.exchange(hello)
	if err != nil {
		_ = stream.Close()
		return nil, cursor{}, nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	l.node = welcome.GetNode()
	l.far = l.relay && welcome.GetDataCentre() != h.cfg.DataCentre
	l.revision = welcome.GetRevision()
	l.depth.Store(welcome.GetDepth())
	return l, from, welcome.GetBuckets(), nil
}

func (l *link) exchange(hello *wirepb.LinkHello) (*wirepb.LinkWelcome, error) {
	if err := frame.Write(l.conn, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Link{Link: hello}}); err != nil {
		return nil, err
	}
	answer := &wirepb.LinkFrame{}
	if err := frame.Read(l.reader, answer, maxFrameBytes); err != nil {
		return nil, err
	}
	switch kind := answer.GetKind().(type) {
	case *wirepb.LinkFrame_Welcome:
		return kind.Welcome, nil
	case *wirepb.LinkFrame_Redirect:
		return nil, &RedirectedError{Alternates: kind.Redirect.GetAlternates(), FromRelay: kind.Redirect.GetRelay()}
	default:
		return nil, &ProtocolError{Expected: "a welcome"}
	}
}

// rest keeps an address from being dialled for a jittered time.
func (h *Hub) rest(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets[address] = &target{retryAt: h.cfg.Now().Add(restAfterFail/4 + rand.N(restAfterFail))}
}

// hear remembers addresses of nodes that may take links.
func (h *Hub) hear(alternates []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	for _, text := range alternates[:min(len(alternates), maxAlternates)] {
		list = appendAddress(list, text, h.cfg.PeerAddress)
	}
	for _, address := range h.heard {
		if len(list) < 2*maxAlternates {
			list = appendAddress(list, address.String(), h.cfg.PeerAddress)
		}
	}
	h.heard = list
}

func (h *Hub) hearBeat(l *link, beat *wirepb.LinkBeat) {
	h.hear(beat.GetAlternates())
	if beat.GetPromoted() != h.cfg.Node || !l.dialled {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.relay && !h.promoted {
		h.promoted = true
		h.cfg.Logger.Info("asked to become a relay", zap.String("by", l.node))
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
