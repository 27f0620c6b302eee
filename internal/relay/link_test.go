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

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const quietTime = 50 * time.Millisecond

func newHub() *Hub {
	self := &wirepb.MemberRecord{Node: "self", Life: 1, DataCentre: "dc"}
	return New(Config{
		Node: "self", DataCentre: "dc", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), MaxChildren: 16,
		Logger: zap.NewNop(), Now: time.Now, Log: oplog.New(oplog.Config{Logger: zap.NewNop(), Now: time.Now}),
		Members: member.New(member.Config{Self: self, Now: time.Now}), Verdicts: move.NewVerdicts(),
	})
}

// newLink returns a link of a hub and what the other side reads from it.
func newLink(t *testing.T, h *Hub, name string) (*link, net.Conn) {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
	l := &link{hub: h, conn: ours, node: name, address: name}
	l.cursors(0)
	return l, theirs
}

func newChange(revision uint64) *wirepb.Change {
	return &wirepb.Change{Revision: revision, Puts: []*wirepb.Put{{Path: "/teams/shop/services/shop", Value: `{"version": "v1"}`}}}
}

// sent returns the revisions that a link sends, or nothing when it is quiet.
func sent(t *testing.T, l *link, theirs net.Conn, due bool) []uint64 {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- l.sendChanges(due) }()
	_ = theirs.SetReadDeadline(time.Now().Add(quietTime))
	message := &wirepb.LinkFrame{}
	err := frame.Read(bufio.NewReader(theirs), message, maxFrameBytes)
	require.NoError(t, <-done)
	var revisions []uint64
	if err == nil {
		for _, c := range message.GetChanges().GetChanges() {
			revisions = append(revisions, c.GetRevision())
		}
	}
	return revisions
}

// What another relay spreads goes on to relays of other data centres only if they do not have it in time.
func TestChangesOfOtherRelays(t *testing.T) {
	h := newHub()
	from, _ := newLink(t, h, "from")
	from.relay, from.far = true, true
	far, farSide := newLink(t, h, "far")
	far.relay, far.far = true, true
	child, childSide := newLink(t, h, "child")

	batch := func(revision uint64, spread bool) *wirepb.ChangeBatch {
		return &wirepb.ChangeBatch{Changes: []*wirepb.Change{newChange(revision)}, Spread: spread}
	}
	require.NoError(t, from.takeChanges(batch(1, false)))
	require.Equal(t, []uint64{1}, sent(t, child, childSide, false), "nodes below get it at once")
	require.Empty(t, sent(t, far, farSide, false), "another relay tells it")
	require.Equal(t, []uint64{1}, sent(t, far, farSide, true), "it does not have it in time")

	require.NoError(t, from.takeChanges(batch(2, false)))
	require.NoError(t, far.takeBeat(&wirepb.LinkBeat{Revision: 2}))
	require.Empty(t, sent(t, far, farSide, true), "it has told that it has it")

	require.NoError(t, child.takeChanges(batch(3, true)))
	require.Equal(t, []uint64{3}, sent(t, far, farSide, false), "what comes from below goes to all at once")

	near, _ := newLink(t, h, "near")
	near.relay = true
	require.NoError(t, near.takeChanges(batch(4, false)))
	require.Equal(t, []uint64{4}, sent(t, far, farSide, false), "what came from below the other relay goes to all at once")
	require.NoError(t, near.takeChanges(batch(5, true)))
	require.Empty(t, sent(t, far, farSide, false), "the other relay has it from another data centre")
}

// frames returns the kinds of frames that a link sends within a time.
func frames(l *link, theirs net.Conn, within time.Duration) []int {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.send(ctx, l.cursors(l.revision), l.hub.cfg.Members.Digest())
	}()
	var kinds []int
	reader := bufio.NewReader(theirs)
	_ = theirs.SetReadDeadline(time.Now().Add(within))
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

// A relay of another data centre reads a large change from the platform, but the platform may turn it away.
func TestLargeChangeThatIsNotReadIsSent(t *testing.T) {
	large := newChange(1)
	for i := range farBytes / 32 {
		large.Puts = append(large.Puts, &wirepb.Put{Path: fmt.Sprintf("/teams/shop/services/shop-%d", i), Value: `{"version": "v1"}`})
	}
	newFar := func() (*link, net.Conn) {
		h := newHub()
		h.cfg.Log.ApplyChanges([]*wirepb.Change{large})
		l, theirs := newLink(t, h, "far")
		l.relay, l.far, l.revision = true, true, 0
		return l, theirs
	}
	t.Run("it is sent within the bound for a configuration", func(t *testing.T) {
		l, theirs := newFar()
		require.Equal(t, []int{kindBeat, kindChanges}, frames(l, theirs, 2*leaveTime))
	})
	t.Run("it is not sent to one that has told that it has it", func(t *testing.T) {
		l, theirs := newFar()
		time.AfterFunc(leaveTime/2, func() { _ = l.takeBeat(&wirepb.LinkBeat{Revision: 1}) })
		require.Equal(t, []int{kindBeat}, frames(l, theirs, 2*leaveTime))
	})
}

func TestAlternatesAreToldOnce(t *testing.T) {
	h := newHub()
	h.relay = true
	for i := range 12 {
		l, _ := newLink(t, h, fmt.Sprintf("child-%02d", i))
		require.True(t, h.admit(l))
	}
	l, theirs := newLink(t, h, "child")
	told := func() []string {
		done := make(chan error, 1)
		go func() { done <- l.sendBeat() }()
		message := &wirepb.LinkFrame{}
		require.NoError(t, frame.Read(bufio.NewReader(theirs), message, maxFrameBytes))
		require.NoError(t, <-done)
		return message.GetBeat().GetAlternates()
	}
	require.Len(t, told(), maxAlternates)
	require.Empty(t, told())
	h.remove(h.links[l.told[0]])
	require.Len(t, told(), maxAlternates)
	require.NotEqual(t, h.alternates("a"), h.alternates("b"), "nodes are spread over the others")
}

// The tree of links of a data centre holds the nodes of the largest one expected, each with two links up.
func TestDataCentreOfTheExpectedSizeFits(t *testing.T) {
	const expected = 820
	nodes, level := relaySlots, relaySlots
	for range maxDepth + 1 {
		level = level * conf.DefaultMaxChildren / parentLinks
		nodes += level
	}
	require.GreaterOrEqual(t, nodes, expected)
}
