package relay

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxAlternates = 8
	maxRefusals   = 8
	// detached is the depth of a node without a way to a relay.
	detached = 1 << 10
	// maxDepth is the greatest depth at which a node takes links of others: with 16 links each, two relays, 16, 128 and
	// 1,024 nodes have two links up.
	maxDepth        = 2
	handshakeRate   = 50
	handshakeBurst  = 64
	redirectedPause = time.Second
)

// Config configures a Hub.
type Config struct {
	Node        string
	DataCentre  string
	PeerAddress netip.AddrPort
	Seeds       []netip.AddrPort
	MaxChildren int
	// PollInterval is the pause between two reads of the platform by a relay.
	PollInterval time.Duration
	Logger       *zap.Logger
	Now          func() time.Time
	Store        *store.Client
	Log          *oplog.Log
	Members      *member.Table
	Verdicts     *move.Verdicts
	Pool         *peer.Pool
}

// Counters counts the control traffic of a hub by kind of frame.
type Counters struct {
	SentBytes     [frameKinds]atomic.Uint64
	SentFrames    [frameKinds]atomic.Uint64
	ReceivedBytes [frameKinds]atomic.Uint64
}

// Hub holds a node's links and its part in the distribution.
type Hub struct {
	Counters Counters

	cfg        Config
	handshakes *rate.Limiter

	mu       sync.Mutex
	links    map[string]*link
	relay    bool
	promoted bool
	leaving  bool
	// leases holds the relay rows as last read, by key.
	leases map[string]*observedLease
	// targets holds the addresses that are being dialled or rest after a failure.
	targets map[netip.AddrPort]*target
	heard   []netip.AddrPort
	// spread is the newest revision that came from another relay, which tells all others itself.
	spread uint64
	// invited holds when nodes were last invited, by address.
	invited map[netip.AddrPort]time.Time
	rows    []*wirepb.NodeRow
	// hurry ends the pause before the next look at the platform.
	hurry chan struct{}
	// found ends the pause before the next look for links.
	found chan struct{}
	wait  sync.WaitGroup
}

// New returns a hub without links.
func New(cfg Config) *Hub {
	return &Hub{
		cfg:        cfg,
		handshakes: rate.NewLimiter(handshakeRate, handshakeBurst),
		links:      map[string]*link{},
		leases:     map[string]*observedLease{},
		targets:    map[netip.AddrPort]*target{},
		invited:    map[netip.AddrPort]time.Time{},
		hurry:      make(chan struct{}, 1),
		found:      make(chan struct{}, 1),
	}
}

// Run keeps links up until the context ends and waits for all of them.
func (h *Hub) Run(ctx context.Context) {
	defer h.wait.Wait()
	h.wait.Go(func() { h.attach(ctx) })
	h.wait.Go(func() { h.keepLease(ctx) })
	h.wait.Go(func() { h.watchOrphans(ctx) })
	h.wait.Go(func() { h.announce(ctx) })
	h.wait.Go(func() { h.invite(ctx) })
	<-ctx.Done()
}

// ServeLink serves a link that another node asks for, until it ends.
func (h *Hub) ServeLink(ctx context.Context, conn net.Conn, reader *bufio.Reader, hello *wirepb.LinkHello) {
	l := &link{hub: h, conn: conn, reader: reader, node: hello.GetNode(), address: hello.GetPeerAddress(), dialled: false, relay: hello.GetRelay()}
	l.far = l.relay && hello.GetDataCentre() != h.cfg.DataCentre
	if hello.GetNode() == h.cfg.Node || !h.admit(l) {
		_ = frame.Write(conn, h.redirect(hello.GetNode()))
		return
	}
	defer h.remove(l)
	cursor := l.cursors(hello.GetRevision())
	welcome := &wirepb.LinkWelcome{
		Node: h.cfg.Node, Revision: h.cfg.Log.State().Revision,
		Buckets: h.cfg.Members.Digest(), Depth: uint32(h.Depth()), DataCentre: h.cfg.DataCentre,
	}
	if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Welcome{Welcome: welcome}}); err != nil {
		return
	}
	l.run(ctx, cursor, hello.GetBuckets())
	h.remove(l)
	h.watchLost(ctx, l)
}

// admit adds an accepted link, unless this node has no room or no way to a relay.
func (h *Hub) admit(l *link) bool {
	if !l.relay && (h.Depth() > maxDepth || !h.handshakes.Allow()) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.relay && h.children() >= h.cfg.MaxChildren {
		return false
	}
	if previous, found := h.links[l.node]; found {
		previous.close()
	}
	h.links[l.node] = l
	return true
}

func (h *Hub) children() int {
	count := 0
	for _, l := range h.links {
		if !l.dialled && !l.relay {
			count++
		}
	}
	return count
}

func (h *Hub) redirect(node string) *wirepb.LinkFrame {
	return &wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Redirect{Redirect: &wirepb.LinkRedirect{
		Alternates: h.alternates(node), RetryAfter: durationpb.New(redirectedPause), Relay: h.IsRelay(),
	}}}
}

// alternates returns addresses of nodes that may take a node's links: relays first, then some that are linked to this
// one, always the same for one node and others for another.
func (h *Hub) alternates(node string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var relays, others []string
	for _, l := range h.links {
		switch {
		case l.relay && h.cfg.Members.Record(l.node).GetDataCentre() == h.cfg.DataCentre:
			relays = append(relays, l.address)
		case !l.relay && !l.dialled && h.relay:
			others = append(others, l.address)
		}
	}
	sort.Strings(relays)
	sort.Strings(others)
	if len(others) > 0 {
		first := int(xxhash.Sum64String(node) % uint64(len(others)))
		others = slices.Concat(others[first:], others[:first])
	}
	relays = append(relays, others...)
	return relays[:min(len(relays), maxAlternates)]
}

func (h *Hub) add(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.links[l.node]; found {
		return false
	}
	h.links[l.node] = l
	return true
}

func (h *Hub) remove(l *link) {
	h.mu.Lock()
	if h.links[l.node] == l {
		delete(h.links, l.node)
	}
	h.mu.Unlock()
	l.close()
}

// IsRelay reports whether this node is a relay of its data centre.
func (h *Hub) IsRelay() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relay
}

// Joined reports whether this node has a link, or is the first of the deployment.
func (h *Hub) Joined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links) > 0 || h.relay && len(h.leases) == 1
}

// Depth returns the hops from this node to a relay.
func (h *Hub) Depth() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relay {
		return 0
	}
	depth := detached
	for _, l := range h.links {
		if l.dialled {
			depth = min(depth, int(l.depth.Load())+1)
		}
	}
	return depth
}

// LinkCount returns the number of links.
func (h *Hub) LinkCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// SubtreeSummary describes the nodes below this one, itself included.
type SubtreeSummary struct {
	Nodes          uint32
	OldestRevision uint64
	Refusals       []string
}

// SubtreeSummary returns what the nodes below this one last told.
func (h *Hub) SubtreeSummary() SubtreeSummary {
	sum := SubtreeSummary{Nodes: 1, OldestRevision: h.cfg.Log.State().Revision}
	if refusal := h.cfg.Log.InvalidRevision(); refusal != nil {
		sum.Refusals = append(sum.Refusals, h.cfg.Node+": "+refusal.Reason)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		if below := l.below.Load(); below != nil && !l.dialled && below.Nodes > 0 {
			sum.Nodes += below.Nodes
			sum.OldestRevision = min(sum.OldestRevision, below.OldestRevision)
			sum.Refusals = append(sum.Refusals, below.Refusals...)
		}
	}
	sum.Refusals = sum.Refusals[:min(len(sum.Refusals), maxRefusals)]
	return sum
}

// primary reports whether a link is the one that carries this node's summary.
func (h *Hub) primary(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.dialled || h.relay {
		return false
	}
	for _, other := range h.links {
		if other.dialled && other.node < l.node {
			return false
		}
	}
	return true
}

// publishParents tells all nodes which nodes watch this one.
func (h *Hub) publishParents() {
	h.mu.Lock()
	var parents []string
	for _, l := range h.links {
		if l.dialled && !h.relay {
			parents = append(parents, l.node)
		}
	}
	h.mu.Unlock()
	sort.Strings(parents)
	h.cfg.Members.UpdateSelf(func(record *wirepb.MemberRecord) { record.Parents = parents })
}
