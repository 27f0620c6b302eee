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
	// unreachableDepth is the depth of a node without a path to a relay.
	unreachableDepth = 1 << 10
	// maxDepth is the greatest depth at which a node accepts children. With 16 children per node and two parents per
	// child, the tree holds 2 relays and below them 16, 128 and 1,024 nodes.
	maxDepth            = 2
	handshakesPerSecond = 50
	handshakeBurst      = 64
	redirectRetryDelay  = time.Second
	// firstReadTimeout is how long a node that has lost its parents may take to read the platform before its children leave it.
	firstReadTimeout = 300 * time.Millisecond
	// rootTimeout covers two polls of a node without a parent.
	rootTimeout = 3 * isolatedPollInterval
)

// Config configures a Hub.
type Config struct {
	Node        string
	DataCentre  string
	PeerAddress netip.AddrPort
	Seeds       []netip.AddrPort
	MaxChildren int
	// PollInterval is the mean interval at which a relay polls the platform.
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

// Hub manages a node's links and its role: a relay, which holds a lease and polls the platform, or a child of two
// parents.
type Hub struct {
	Counters Counters

	cfg              Config
	handshakeLimiter *rate.Limiter

	mu    sync.Mutex
	links map[string]*link
	relay bool
	// promoted means that a parent asked this node to become a relay.
	promoted bool
	leaving  bool
	// leases holds the relay leases as last read, by key.
	leases map[string]*observedLease
	// leasesReadAt is when the leases were last read.
	leasesReadAt time.Time
	// leasesEra is the store's era in which the leases were read last, heldSlot the slot that this node held and heldEra the era in which it
	// did; rowsEra is the era in which the rows of the nodes were last made complete.
	leasesEra uint64
	heldSlot  string
	heldEra   uint64
	rowsEra   uint64
	// dials holds the addresses that are being dialled, are linked or wait for their next attempt.
	dials          map[netip.AddrPort]*dialState
	knownAddresses []netip.AddrPort
	// distributedRevision is the newest revision that another relay distributes to all relays itself.
	distributedRevision uint64
	// invitedAt holds the times of the invitations within reinviteInterval by address.
	invitedAt map[netip.AddrPort]time.Time
	nodeRows  []*wirepb.NodeRow
	// pollNow starts the next poll of the platform at once.
	pollNow chan struct{}
	// dialWake wakes dialLoop, inviteWake inviteLoop.
	dialWake   chan struct{}
	inviteWake chan struct{}
	// isolatedSince is when this node, which is no relay, lost its last link or started; zero while it has one.
	isolatedSince time.Time
	// linkedBefore means that this node has had a link.
	linkedBefore bool
	// actsAsRootUntil is until when this node, without a parent, counts as having a way to the changes since it reads the platform.
	actsAsRootUntil time.Time
	// currentAt is when all changes that had been committed were in force here, parentSince when this node got its first parent after it
	// had none, passedOnAt when the children were last woken to be told of currentAt. touchedAt is when a relay that could not read the
	// platform was last heard of, readAt when this node last read the platform as a relay.
	currentAt   time.Time
	touchedAt   time.Time
	readAt      time.Time
	parentSince time.Time
	passedOnAt  time.Time
	// announcedDepth is the depth of which the children were told last.
	announcedDepth int
	wait           sync.WaitGroup
}

// New returns a hub without links.
func New(cfg Config) *Hub {
	h := &Hub{
		cfg:              cfg,
		handshakeLimiter: rate.NewLimiter(handshakesPerSecond, handshakeBurst),
		links:            map[string]*link{},
		leases:           map[string]*observedLease{},
		dials:            map[netip.AddrPort]*dialState{},
		invitedAt:        map[netip.AddrPort]time.Time{},
		pollNow:          make(chan struct{}, 1),
		dialWake:         make(chan struct{}, 1),
		inviteWake:       make(chan struct{}, 1),
	}
	if cfg.Store != nil {
		// A store that comes back from an older copy lacks the newest leases and rows.
		cfg.Store.OnEra(func(uint64) { h.requestPoll() })
	}
	return h
}

// Run maintains links and leases until the context ends and waits for all links to close.
func (h *Hub) Run(ctx context.Context) {
	defer h.wait.Wait()
	h.wait.Go(func() { h.dialLoop(ctx) })
	h.wait.Go(func() { h.pollLoop(ctx) })
	h.wait.Go(func() { h.orphanLoop(ctx) })
	h.wait.Go(func() { h.inviteLoop(ctx) })
	<-ctx.Done()
}

// ServeLink accepts or redirects a link that another node dialled, and serves it until it ends.
func (h *Hub) ServeLink(ctx context.Context, conn net.Conn, reader *bufio.Reader, hello *wirepb.LinkHello) {
	l := &link{hub: h, conn: conn, reader: reader, node: hello.GetNode(), address: hello.GetPeerAddress(), dialled: false, betweenRelays: hello.GetRelay(), packedChanges: hello.GetPackedChanges(), wake: make(chan struct{}, 1)}
	l.wan = l.betweenRelays && hello.GetDataCentre() != h.cfg.DataCentre
	if hello.GetNode() == h.cfg.Node || !h.admit(l) {
		_ = frame.Write(conn, h.redirectFrame(hello.GetNode()))
		return
	}
	defer h.removeLink(l)
	cursor := l.initCursor(hello.GetRevision())
	welcome := &wirepb.LinkWelcome{
		Node: h.cfg.Node, Revision: h.cfg.Log.State().Revision,
		Buckets: h.cfg.Members.Digest(), Depth: uint32(h.Depth()), DataCentre: h.cfg.DataCentre, PackedChanges: true,
	}
	if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Welcome{Welcome: welcome}}); err != nil {
		return
	}
	l.run(ctx, cursor, hello.GetBuckets())
	h.removeLink(l)
	h.awaitRelink(ctx, l)
}

// admit adds an accepted link and reports whether it did. Children are not admitted if this node already has
// MaxChildren of them, is deeper than maxDepth or has to limit its handshakes. A link replaces an earlier one of the
// same node.
func (h *Hub) admit(l *link) bool {
	if !l.betweenRelays && (h.Depth() > maxDepth || !h.handshakeLimiter.Allow()) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.betweenRelays && h.childCount() >= h.cfg.MaxChildren {
		return false
	}
	if previous, found := h.links[l.node]; found {
		previous.close()
	}
	h.links[l.node], h.linkedBefore = l, true
	return true
}

func (h *Hub) childCount() int {
	count := 0
	for _, l := range h.links {
		if !l.dialled && !l.betweenRelays {
			count++
		}
	}
	return count
}

func (h *Hub) redirectFrame(node string) *wirepb.LinkFrame {
	return &wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Redirect{Redirect: &wirepb.LinkRedirect{
		Alternates: h.alternates(node), RetryAfter: durationpb.New(redirectRetryDelay), Relay: h.IsRelay(),
	}}}
}

// alternates returns at most maxAlternates addresses of nodes that may accept a link of the given node: other relays of
// the data centre first, then, if this node is a relay, its children. Which children come first depends on the node's
// name, so that nodes spread over them.
func (h *Hub) alternates(node string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var relays, others []string
	for _, l := range h.links {
		switch {
		case l.betweenRelays && h.cfg.Members.Record(l.node).GetDataCentre() == h.cfg.DataCentre:
			relays = append(relays, l.address)
		case !l.betweenRelays && !l.dialled && h.relay:
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

func (h *Hub) addLink(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.links[l.node]; found {
		return false
	}
	if l.dialled && !h.hasParent() {
		h.parentSince = h.cfg.Now()
	}
	h.links[l.node], h.linkedBefore = l, true
	return true
}

// removeLink removes a link. A node that has lost its last parent may have missed changes and reads the platform at once.
func (h *Hub) removeLink(l *link) {
	h.mu.Lock()
	isolated := false
	if h.links[l.node] == l {
		delete(h.links, l.node)
		isolated = l.dialled && !h.relay && !h.hasParent()
	}
	if isolated {
		h.actsAsRootUntil = h.cfg.Now().Add(firstReadTimeout)
		time.AfterFunc(firstReadTimeout, h.announceDepth)
	}
	h.mu.Unlock()
	l.close()
	h.announceDepth()
	if isolated {
		h.requestPoll()
	}
}

// actAsRoot records that this node has read the changes that had been committed by a time from the platform.
func (h *Hub) actAsRoot(readAt time.Time) {
	h.mu.Lock()
	h.actsAsRootUntil = h.cfg.Now().Add(rootTimeout)
	h.mu.Unlock()
	h.announceDepth()
	h.recordCurrent(readAt)
}

// hasParent reports whether this node has a link that it dialled. h.mu must be held.
func (h *Hub) hasParent() bool {
	for _, l := range h.links {
		if l.dialled {
			return true
		}
	}
	return false
}

// requestPoll starts the next poll of the platform at once.
func (h *Hub) requestPoll() {
	select {
	case h.pollNow <- struct{}{}:
	default:
	}
}

// IsRelay reports whether this node is a relay of its data centre.
func (h *Hub) IsRelay() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relay
}

// Joined reports whether this node has a link or holds the only relay lease of the deployment.
func (h *Hub) Joined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links) > 0 || h.relay && len(h.leases) == 1
}

// Depth returns the number of hops from this node to a relay, or more than maxDepth if there is no path. A node without a parent that reads
// the platform itself counts as one hop away, so that those below it need not do the same.
func (h *Hub) Depth() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relay {
		return 0
	}
	depth := unreachableDepth
	if h.cfg.Now().Before(h.actsAsRootUntil) && !h.hasParent() {
		return 1
	}
	for _, l := range h.links {
		if l.dialled {
			depth = min(depth, int(l.depth.Load())+1)
		}
	}
	return depth
}

// announceDepth has the children told at once if the depth has changed. Until they are, those of a node that lost its way to the relays
// take it for one.
func (h *Hub) announceDepth() {
	depth := h.Depth()
	h.mu.Lock()
	defer h.mu.Unlock()
	if depth == h.announcedDepth {
		return
	}
	h.announcedDepth = depth
	for _, l := range h.links {
		if !l.dialled {
			l.wakeSender()
		}
	}
}

// LinkCount returns the number of links.
func (h *Hub) LinkCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// SubtreeSummary describes a node and the nodes below it.
type SubtreeSummary struct {
	Nodes          uint32
	OldestRevision uint64
	Refusals       []string
}

// SubtreeSummary returns the summary of this node and of the last reports of its children.
func (h *Hub) SubtreeSummary() SubtreeSummary {
	sum := SubtreeSummary{Nodes: 1, OldestRevision: h.cfg.Log.State().Revision}
	if invalid := h.cfg.Log.InvalidRevision(); invalid != nil {
		sum.Refusals = append(sum.Refusals, h.cfg.Node+": "+invalid.Reason)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		if subtree := l.subtree.Load(); subtree != nil && !l.dialled && subtree.Nodes > 0 {
			sum.Nodes += subtree.Nodes
			sum.OldestRevision = min(sum.OldestRevision, subtree.OldestRevision)
			sum.Refusals = append(sum.Refusals, subtree.Refusals...)
		}
	}
	sum.Refusals = sum.Refusals[:min(len(sum.Refusals), maxRefusals)]
	return sum
}

// isSummaryLink reports whether a link leads to the one parent that this node's summary is sent to.
func (h *Hub) isSummaryLink(l *link) bool {
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

// publishParents publishes the parents of this node, which mark it as down if it loses its links, in its member record.
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
