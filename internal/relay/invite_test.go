package relay

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	poll     = 5 * time.Millisecond
	patience = 10 * time.Second
	// recovery is far below the time after which a lease lapses: nodes must not wait for it.
	recovery = leaseTime / 2
)

// runNode starts a hub with everything that it needs to link to others; it ends with the test.
func runNode(t *testing.T, name string, platform netip.AddrPort) *Hub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return runNodeOn(t, name, platform, listener)
}

func runNodeOn(t *testing.T, name string, platform netip.AddrPort, listener net.Listener) *Hub {
	t.Helper()
	address := netip.MustParseAddrPort(listener.Addr().String())
	client := store.New(store.Config{Address: platform, Timeout: 200 * time.Millisecond})
	self := &wirepb.MemberRecord{Node: name, Life: uint64(time.Now().UnixNano()), Sequence: 1, DataCentre: "dc", PeerAddress: address.String()}
	h := New(Config{
		Node: name, DataCentre: "dc", PeerAddress: address, MaxChildren: 16, PollInterval: 100 * time.Millisecond,
		Logger: zap.NewNop(), Now: time.Now, Store: client, Log: oplog.New(oplog.Config{Store: client, Logger: zap.NewNop(), Now: time.Now}),
		Members: member.New(member.Config{Self: self, Now: time.Now}), Verdicts: move.NewVerdicts(),
		Pool: peer.NewPool(peer.PoolConfig{Now: time.Now}),
	})
	server := peer.NewServer(peer.ServerConfig{Listener: listener, MaxHeadBytes: 1 << 20, ServeLink: h.ServeLink, HandleInvitation: h.HandleInvitation})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(ctx); done <- struct{}{} }()
	go func() { h.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		h.cfg.Pool.Close()
		client.Close()
	})
	return h
}

func newTable(t *testing.T) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	platform := emul.NewPlatform(emul.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// awayFromPlatform is an address where nothing listens: the platform turns this node away.
func awayFromPlatform(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	return address
}

// After a loss of power the rows of former lives are all that is left, and the platform turns some nodes away.
func TestNodeThatThePlatformTurnsAwayIsFound(t *testing.T) {
	platform, table := newTable(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	row := marshal(t, &wirepb.NodeRow{Node: "away", PeerAddress: listener.Addr().String()})
	platform.PutRow("", "node/dc/away", row)
	relay := runNode(t, "relay", table)
	away := runNodeOn(t, "away", awayFromPlatform(t), listener)
	require.Eventually(t, func() bool { return away.Joined() && relay.LinkCount() == 1 }, recovery, poll)
}

// After a loss of power a node may ask another for a link a moment before that one becomes a relay: its refusal must not
// hold up the link once it invites.
func TestInvitationEndsTheRest(t *testing.T) {
	_, table := newTable(t)
	inviter := netip.MustParseAddrPort("127.0.0.1:9")
	client := store.New(store.Config{Address: table})
	t.Cleanup(client.Close)
	h := New(Config{Node: "node", DataCentre: "dc", Logger: zap.NewNop(), Now: time.Now, Store: client})
	h.hear([]string{inviter.String()})
	h.rest(inviter)
	require.Empty(t, h.missing())
	h.HandleInvitation(&wirepb.LinkRedirect{Alternates: []string{inviter.String()}, Relay: true})
	require.Len(t, h.found, 1, "the invitation ends the pause")
	require.Equal(t, []netip.AddrPort{inviter}, h.missing())
}

// Leases of former lives must not hold up a data centre for the time of a lease.
func TestLeaseOfAFormerLifeIsVoid(t *testing.T) {
	t.Run("its holder runs, but as no relay", func(t *testing.T) {
		platform, table := newTable(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		for _, slot := range []string{"relay/dc/0", "relay/dc/1"} {
			platform.PutRow("", slot, marshal(t, &wirepb.RelayLease{Node: "away", DataCentre: "dc", PeerAddress: listener.Addr().String()}))
		}
		runNodeOn(t, "away", awayFromPlatform(t), listener)
		other := runNode(t, "other", table)
		require.Eventually(t, other.IsRelay, recovery, poll)
	})
	t.Run("nothing runs there", func(t *testing.T) {
		platform, table := newTable(t)
		for _, slot := range []string{"relay/dc/0", "relay/dc/1"} {
			platform.PutRow("", slot, marshal(t, &wirepb.RelayLease{Node: "gone", DataCentre: "dc", PeerAddress: awayFromPlatform(t).String()}))
		}
		other := runNode(t, "other", table)
		require.Eventually(t, other.IsRelay, recovery, poll)
	})
	t.Run("a relay that runs keeps its lease", func(t *testing.T) {
		_, table := newTable(t)
		first := runNode(t, "first", table)
		require.Eventually(t, first.IsRelay, patience, poll)
		second := runNode(t, "second", table)
		require.Eventually(t, second.Joined, patience, poll)
		third := runNode(t, "third", table)
		require.Eventually(t, third.Joined, patience, poll)
		require.True(t, first.IsRelay())
	})
}

func TestPlannedLeaveRemovesTheRows(t *testing.T) {
	platform, table := newTable(t)
	h := runNode(t, "node", table)
	require.Eventually(t, func() bool { return h.IsRelay() && platform.Row("", "node/dc/node") != nil }, patience, poll)
	h.Leave(t.Context())
	require.Nil(t, platform.Row("", "node/dc/node"))
	require.Nil(t, platform.Row("", "relay/dc/0"))
}

func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	require.NoError(t, err)
	return data
}
