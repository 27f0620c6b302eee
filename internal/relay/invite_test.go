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
	pollInterval = 5 * time.Millisecond
	waitTimeout  = 10 * time.Second
	// recoveryTimeout is below leaseDuration: recovery must not depend on a lease lapsing.
	recoveryTimeout = leaseDuration / 2
)

// startNode starts a hub with a peer server, a store client and a connection pool; it ends with the test.
func startNode(t *testing.T, name string, platform netip.AddrPort) *Hub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startNodeOn(t, name, platform, listener)
}

func startNodeOn(t *testing.T, name string, platform netip.AddrPort, listener net.Listener) *Hub {
	t.Helper()
	return startNodePolling(t, name, platform, listener, 100*time.Millisecond)
}

func startNodePolling(t *testing.T, name string, platform netip.AddrPort, listener net.Listener, interval time.Duration) *Hub {
	t.Helper()
	address := netip.MustParseAddrPort(listener.Addr().String())
	client := store.New(store.Config{Address: platform, Timeout: 200 * time.Millisecond})
	self := &wirepb.MemberRecord{Node: name, Life: uint64(time.Now().UnixNano()), Sequence: 1, DataCentre: "dc", PeerAddress: address.String()}
	h := New(Config{
		Node: name, DataCentre: "dc", PeerAddress: address, MaxChildren: 16, PollInterval: interval,
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

func newPlatform(t *testing.T) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	platform := emul.NewPlatform(emul.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// closedAddress returns an address where nothing listens; as the address of the platform it makes the platform
// unreachable.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	return address
}

// After a loss of power a node may find the platform unreachable. A relay must find it by the row that the node wrote
// in an earlier incarnation.
func TestNodeWithoutPlatformAccessIsInvited(t *testing.T) {
	platform, address := newPlatform(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	row := marshal(t, &wirepb.NodeRow{Node: "away", PeerAddress: listener.Addr().String()})
	platform.PutSystemRow("node/dc", "node/dc/away", row)
	relay := startNode(t, "relay", address)
	away := startNodeOn(t, "away", closedAddress(t), listener)
	require.Eventually(t, func() bool { return away.Joined() && relay.LinkCount() == 1 }, recoveryTimeout, pollInterval)
}

// After a loss of power a node may be redirected by another one just before that one becomes a relay. The retry delay
// must not hold up the link once the relay invites the node.
func TestInvitationClearsDialBackoff(t *testing.T) {
	_, address := newPlatform(t)
	inviter := netip.MustParseAddrPort("127.0.0.1:9")
	client := store.New(store.Config{Address: address})
	t.Cleanup(client.Close)
	h := New(Config{Node: "node", DataCentre: "dc", Logger: zap.NewNop(), Now: time.Now, Store: client})
	h.rememberAddresses([]string{inviter.String()})
	h.backOff(inviter)
	require.Empty(t, h.nextDials())
	h.HandleInvitation(&wirepb.LinkRedirect{Alternates: []string{inviter.String()}, Relay: true})
	require.Len(t, h.dialWake, 1, "the invitation wakes the dial loop")
	require.Equal(t, []netip.AddrPort{inviter}, h.nextDials())
}

// Guards against memory that grows with each address that a node has ever dialled or invited, as in a deployment whose nodes return at other
// addresses.
func TestAddressesAreForgotten(t *testing.T) {
	const addresses = 1000
	_, platform := newPlatform(t)
	client := store.New(store.Config{Address: platform})
	t.Cleanup(client.Close)
	now := time.Now()
	h := New(Config{
		Node: "node", DataCentre: "dc", Logger: zap.NewNop(), Now: func() time.Time { return now }, Store: client,
		Members: member.New(member.Config{Self: &wirepb.MemberRecord{Node: "node"}, Now: time.Now}),
	})
	kept := netip.MustParseAddrPort("127.0.0.1:1")
	h.dials[kept] = &dialState{dialling: true}
	for i := range uint16(addresses) {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1000+i)
		h.backOff(address)
		h.nodeRows = []*wirepb.NodeRow{{Node: "gone", PeerAddress: address.String()}}
		require.Equal(t, []netip.AddrPort{address}, h.nextInvitations())
		require.Empty(t, h.nextInvitations(), "invited a moment ago")
		now = now.Add(reinviteInterval)
		h.nextDials()
	}
	require.Len(t, h.dials, 1)
	require.Contains(t, h.dials, kept, "being dialled")
	require.LessOrEqual(t, len(h.invitedAt), 1)
}

// After a restart of a data centre the leases of earlier incarnations are still in the table. New relays must not wait
// until these leases lapse.
func TestStaleLeaseIsVoided(t *testing.T) {
	t.Run("the holder is not running as a relay", func(t *testing.T) {
		platform, address := newPlatform(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		for _, slot := range []string{"relay/dc/0", "relay/dc/1"} {
			platform.PutRow("", slot, marshal(t, &wirepb.RelayLease{Node: "away", DataCentre: "dc", PeerAddress: listener.Addr().String()}))
		}
		startNodeOn(t, "away", closedAddress(t), listener)
		other := startNode(t, "other", address)
		require.Eventually(t, other.IsRelay, recoveryTimeout, pollInterval)
	})
	t.Run("the holder is not running", func(t *testing.T) {
		platform, address := newPlatform(t)
		for _, slot := range []string{"relay/dc/0", "relay/dc/1"} {
			platform.PutRow("", slot, marshal(t, &wirepb.RelayLease{Node: "gone", DataCentre: "dc", PeerAddress: closedAddress(t).String()}))
		}
		other := startNode(t, "other", address)
		require.Eventually(t, other.IsRelay, recoveryTimeout, pollInterval)
	})
	t.Run("a running relay keeps its lease", func(t *testing.T) {
		_, address := newPlatform(t)
		first := startNode(t, "first", address)
		require.Eventually(t, first.IsRelay, waitTimeout, pollInterval)
		second := startNode(t, "second", address)
		require.Eventually(t, second.Joined, waitTimeout, pollInterval)
		third := startNode(t, "third", address)
		require.Eventually(t, third.Joined, waitTimeout, pollInterval)
		require.True(t, first.IsRelay())
	})
}

// All nodes of a data centre start at the same moment, and again after they were all killed. What they ask of the platform must
// grow with their number by little more than the one read that tells a node which relays there are.
func TestSimultaneousStartAsksLittleOfPlatform(t *testing.T) {
	const nodes, interval = 40, 2 * time.Second
	platform := emul.NewPlatform(emul.PlatformConfig{})
	platform.SetFaults(emul.PlatformFaults{Delay: 8 * time.Millisecond})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	hubs := make([]*Hub, 0, nodes)
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		hubs = append(hubs, startNodePolling(t, "node-"+string(rune('A'+i)), address, listener, interval))
	}
	require.Eventually(t, func() bool {
		for _, h := range hubs {
			if !h.Joined() || platform.SystemRow("node/dc", "node/dc/"+h.cfg.Node) == nil {
				return false
			}
		}
		return true
	}, recoveryTimeout, pollInterval)
	reads, writes := platform.OperationCounts()
	t.Logf("%d reads, %d writes", reads, writes)
	require.LessOrEqual(t, reads+writes, uint64(3*nodes))
}

func TestLeaveDeletesRows(t *testing.T) {
	platform, address := newPlatform(t)
	h := startNode(t, "node", address)
	require.Eventually(t, func() bool { return h.IsRelay() && platform.SystemRow("node/dc", "node/dc/node") != nil }, waitTimeout, pollInterval)
	h.Leave(t.Context())
	record := h.cfg.Members.Record("node")
	require.True(t, record.GetDown() && record.GetLeft(), "a planned stop is told from a node that fell silent")
	require.Nil(t, platform.SystemRow("node/dc", "node/dc/node"))
	require.Nil(t, platform.Row("", "relay/dc/0"))
}

func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	require.NoError(t, err)
	return data
}
