package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const quietTimeout = 50 * time.Millisecond

func newHub() *Hub {
	self := &wirepb.MemberRecord{Node: "self", Life: 1, DataCentre: "dc"}
	return New(Config{
		Node: "self", DataCentre: "dc", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), MaxChildren: 16,
		Logger: zap.NewNop(), Now: time.Now, Log: oplog.New(oplog.Config{Logger: zap.NewNop(), Now: time.Now}),
		Members: member.New(member.Config{Self: self, Now: time.Now}), Verdicts: move.NewVerdicts(),
	})
}

// newLink returns a link of a hub and the connection of its remote node.
func newLink(t *testing.T, h *Hub, name string) (*link, net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	l := &link{hub: h, conn: local, node: name, address: name, wake: make(chan struct{}, 1)}
	l.initCursor(0)
	return l, remote
}

func newChange(revision uint64) *wirepb.Change {
	return &wirepb.Change{Revision: revision, Puts: []*wirepb.Put{{Path: "/teams/shop/services/shop", Value: `{"version": "v1"}`}}}
}

// sentRevisions returns the revisions that a link sends, or nothing if it sends none within quietTimeout.
func sentRevisions(t *testing.T, l *link, remote net.Conn, includeDistributed bool) []uint64 {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- l.sendChanges(includeDistributed) }()
	_ = remote.SetReadDeadline(time.Now().Add(quietTimeout))
	message := &wirepb.LinkFrame{}
	err := frame.Read(bufio.NewReader(remote), message, maxFrameBytes)
	require.NoError(t, <-done)
	var revisions []uint64
	if err == nil {
		for _, c := range message.GetChanges().GetChanges() {
			revisions = append(revisions, c.GetRevision())
		}
	}
	return revisions
}

// A relay must not forward over WAN links what another relay distributes itself, unless a remote relay has not reported
// it by the next beat, and must forward all else at once.
func TestChangesFromOtherRelays(t *testing.T) {
	h := newHub()
	from, _ := newLink(t, h, "from")
	from.betweenRelays, from.wan = true, true
	remoteRelay, wanConn := newLink(t, h, "remote")
	remoteRelay.betweenRelays, remoteRelay.wan = true, true
	child, childConn := newLink(t, h, "child")

	batch := func(revision uint64, spread bool) *wirepb.ChangeBatch {
		return &wirepb.ChangeBatch{Changes: []*wirepb.Change{newChange(revision)}, Spread: spread}
	}
	require.NoError(t, from.handleChanges(batch(1, false)))
	require.Equal(t, []uint64{1}, sentRevisions(t, child, childConn, false), "children get it at once")
	require.Empty(t, sentRevisions(t, remoteRelay, wanConn, false), "another relay distributes it")
	require.Equal(t, []uint64{1}, sentRevisions(t, remoteRelay, wanConn, true), "it was not reported by the next beat")

	require.NoError(t, from.handleChanges(batch(2, false)))
	require.NoError(t, remoteRelay.handleBeat(&wirepb.LinkBeat{Revision: 2}))
	require.Empty(t, sentRevisions(t, remoteRelay, wanConn, true), "it was reported")

	require.NoError(t, child.handleChanges(batch(3, true)))
	require.Equal(t, []uint64{3}, sentRevisions(t, remoteRelay, wanConn, false), "changes from the subtree go to all at once")

	otherSlot, _ := newLink(t, h, "other-slot")
	otherSlot.betweenRelays = true
	require.NoError(t, otherSlot.handleChanges(batch(4, false)))
	require.Equal(t, []uint64{4}, sentRevisions(t, remoteRelay, wanConn, false), "changes from the subtree of the other relay go to all at once")
	require.NoError(t, otherSlot.handleChanges(batch(5, true)))
	require.Empty(t, sentRevisions(t, remoteRelay, wanConn, false), "the other relay received it from another data centre")
}

// sentKinds returns the kinds of the frames that a link sends within a time.
func sentKinds(l *link, remote net.Conn, within time.Duration) []int {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.sendLoop(ctx, l.initCursor(l.revision), l.hub.cfg.Members.Digest())
	}()
	var kinds []int
	reader := bufio.NewReader(remote)
	_ = remote.SetReadDeadline(time.Now().Add(within))
	for {
		message := &wirepb.LinkFrame{}
		if frame.Read(reader, message, maxFrameBytes) != nil {
			break
		}
		kinds = append(kinds, kindOf(message))
	}
	<-done
	return kinds
}

// A remote relay is left to read a large change from the platform. It must still get the change over the link, after
// platformReadTimeout, if the platform is unreachable for it.
func TestLargeChangeIsSentAfterTimeout(t *testing.T) {
	large := newChange(1)
	for i := range maxWANChangeBytes / 32 {
		large.Puts = append(large.Puts, &wirepb.Put{Path: fmt.Sprintf("/teams/shop/services/shop-%d", i), Value: `{"version": "v1"}`})
	}
	newWANLink := func() (*link, net.Conn) {
		h := newHub()
		h.cfg.Log.ApplyChanges([]*wirepb.Change{large}, oplog.Origin{})
		l, remote := newLink(t, h, "remote")
		l.betweenRelays, l.wan, l.revision = true, true, 0
		return l, remote
	}
	t.Run("it is sent after the timeout", func(t *testing.T) {
		l, remote := newWANLink()
		require.Equal(t, []int{kindBeat, kindChanges}, sentKinds(l, remote, 2*platformReadTimeout))
	})
	t.Run("it is not sent to a relay that has reported it", func(t *testing.T) {
		l, remote := newWANLink()
		time.AfterFunc(platformReadTimeout/2, func() { _ = l.handleBeat(&wirepb.LinkBeat{Revision: 1}) })
		require.Equal(t, []int{kindBeat}, sentKinds(l, remote, 2*platformReadTimeout))
	})
}

// A large configuration must not fill a narrow network link once for each child. Nodes of earlier versions get it as before.
func TestLargeChangesArePackedForNodesThatAcceptIt(t *testing.T) {
	large := newChange(1)
	for i := range 400 {
		large.Puts = append(large.Puts, &wirepb.Put{Path: fmt.Sprintf("/teams/shop/services/shop-%d", i), Value: `{"version": "v1"}`})
	}
	plainBytes := proto.Size(large)
	for _, accepted := range []bool{true, false} {
		t.Run(fmt.Sprintf("accepted: %t", accepted), func(t *testing.T) {
			h, receiver := newHub(), newHub()
			h.cfg.Log.ApplyChanges([]*wirepb.Change{proto.CloneOf(large)}, oplog.Origin{})
			l, remote := newLink(t, h, "remote")
			l.packedChanges = accepted
			go func() { _ = l.sendChanges(true) }()
			message := &wirepb.LinkFrame{}
			require.NoError(t, frame.Read(bufio.NewReader(remote), message, maxFrameBytes))
			require.Equal(t, accepted, 4*proto.Size(message) < plainBytes)
			other, _ := newLink(t, receiver, "sender")
			require.NoError(t, other.handleChanges(message.GetChanges()))
			require.Equal(t, uint64(1), receiver.cfg.Log.State().Revision)
			require.Equal(t, h.cfg.Log.State().Services, receiver.cfg.Log.State().Services)
		})
	}
}

// While another relay distributes a change, the timer of a deferral must not fire again and again until the next beat.
func TestDeferralEndsWhenOthersDistribute(t *testing.T) {
	h := newHub()
	l, _ := newLink(t, h, "remote")
	l.betweenRelays, l.wan, l.deferredAt = true, true, h.cfg.Now().Add(-time.Minute)
	h.markDistributed(h.cfg.Log.State().Revision + 1)
	require.True(t, h.distributedByOthers())
	require.NoError(t, l.sendChanges(false))
	require.Nil(t, l.deferralTimer())
}

// A beat must carry the alternates only if they differ from those that were sent last.
func TestAlternatesAreSentWhenChanged(t *testing.T) {
	h := newHub()
	h.relay = true
	for i := range 12 {
		l, _ := newLink(t, h, fmt.Sprintf("child-%02d", i))
		require.True(t, h.admit(l))
	}
	l, remote := newLink(t, h, "child")
	received := func() []string {
		done := make(chan error, 1)
		go func() { done <- l.sendBeat() }()
		message := &wirepb.LinkFrame{}
		require.NoError(t, frame.Read(bufio.NewReader(remote), message, maxFrameBytes))
		require.NoError(t, <-done)
		return message.GetBeat().GetAlternates()
	}
	require.Len(t, received(), maxAlternates)
	require.Empty(t, received())
	h.removeLink(h.links[l.sentAlternates[0]])
	require.Len(t, received(), maxAlternates)
	require.NotEqual(t, h.alternates("a"), h.alternates("b"), "different nodes get different alternates")
}

// Guards against a configuration that reaches a node late because the node goes on waiting after it has lost both parents (CONFIG).
func TestNodeWithoutParentsPollsAtOnce(t *testing.T) {
	h := newHub()
	var parents []*link
	for _, name := range []string{"first", "second"} {
		l, _ := newLink(t, h, name)
		l.dialled = true
		require.True(t, h.addLink(l))
		parents = append(parents, l)
	}
	child, _ := newLink(t, h, "child")
	require.True(t, h.addLink(child))
	h.removeLink(child)
	h.removeLink(parents[0])
	require.Empty(t, h.pollNow, "one parent is left")
	h.removeLink(parents[1])
	require.Len(t, h.pollNow, 1)
}

// Guards against nodes that go on relying on a parent which has lost its way to the relays, until its next beat at each hop (CONFIG).
func TestLossOfThePathIsPassedOnAtOnce(t *testing.T) {
	h := newHub()
	parent, _ := newLink(t, h, "parent")
	parent.dialled = true
	parent.depth.Store(1)
	require.True(t, h.addLink(parent))
	h.announceDepth()
	child, remote := newLink(t, h, "child")
	require.True(t, h.admit(child))
	child.sentDepth = unreachableDepth
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go child.sendLoop(ctx, cursor{}, h.cfg.Members.Digest())
	reader := bufio.NewReader(remote)
	nextDepth := func() int {
		_ = remote.SetReadDeadline(time.Now().Add(beatInterval / 2))
		for {
			message := &wirepb.LinkFrame{}
			require.NoError(t, frame.Read(reader, message, maxFrameBytes))
			if message.GetBeat() != nil {
				return int(message.GetBeat().GetDepth())
			}
		}
	}
	require.Equal(t, 2, nextDepth())
	require.Error(t, parent.handleBeat(&wirepb.LinkBeat{Depth: maxDepth + 1}), "the parent is too far away")
	require.Equal(t, maxDepth+2, nextDepth())
}

// Guards against all nodes below a lost relay reading the platform, where one that does passes the changes on.
func TestNodeThatReadsThePlatformKeepsItsChildren(t *testing.T) {
	h := newHub()
	parent, _ := newLink(t, h, "parent")
	parent.dialled = true
	require.True(t, h.addLink(parent))
	h.removeLink(parent)
	require.Equal(t, 1, h.Depth(), "it is about to read the platform")
	h.actsAsRootUntil = time.Time{}
	require.Equal(t, unreachableDepth, h.Depth(), "it could not")
	h.actAsRoot(h.cfg.Now())
	require.Equal(t, 1, h.Depth())
	h.cfg.Now = func() time.Time { return time.Now().Add(rootTimeout) }
	require.Equal(t, unreachableDepth, h.Depth(), "its last read is too long ago")
}

// The tree of a data centre must hold the nodes of the largest expected one, each with two parents.
func TestTreeFitsLargestDataCentre(t *testing.T) {
	const expectedNodes = 820
	nodes, level := relaySlots, relaySlots
	for range maxDepth + 1 {
		level = level * conf.DefaultMaxChildren / parentLinks
		nodes += level
	}
	require.GreaterOrEqual(t, nodes, expectedNodes)
}

// Guards against a relay that notices late that the platform answers again, since it pauses after a poll that was not answered.
func TestUnansweredPollIsRepeatedSoon(t *testing.T) {
	h := newHub()
	h.cfg.PollInterval = 2 * time.Second
	h.setRelay(true)
	tests := []struct {
		name     string
		waited   time.Duration
		min, max time.Duration
	}{
		{"answered", 0, 1500 * time.Millisecond, 2500 * time.Millisecond},
		{"failed after a while", time.Second, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"not answered", 2 * time.Second, minPollDelay, 500 * time.Millisecond},
		{"several operations not answered", 6 * time.Second, minPollDelay, minPollDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 100 {
				delay := h.pollDelay(tt.waited)
				require.GreaterOrEqual(t, delay, tt.min)
				require.LessOrEqual(t, delay, tt.max)
			}
		})
	}
}
