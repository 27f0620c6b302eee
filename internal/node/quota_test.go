package node

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/quota"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// startQuotaNode runs the quotas of a node on a loopback address, with its peer server and its pool.
func startQuotaNode(t *testing.T, name string, listener net.Listener, members *member.Table) *quota.Limiter {
	t.Helper()
	pool := peer.NewPool(peer.PoolConfig{Now: time.Now})
	quotas := map[string]quota.Quota{"large": {Rate: 200, Burst: 100}, "small": {Rate: 2, Burst: 2}}
	limiter := quota.New(quota.Config{
		Node: name, Life: 1, Now: time.Now, Bounds: quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Quotas: func() map[string]quota.Quota { return quotas }, Joined: func() bool { return true },
		Members: func(silent time.Duration) []quota.Member { return quotaMembers(name, members, silent) },
		Send: func(ctx context.Context, node string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
			return sendQuota(ctx, pool, netip.MustParseAddrPort(members.Record(node).GetPeerAddress()), request)
		},
	})
	server := peer.NewServer(peer.ServerConfig{
		Listener: listener, MaxHeadBytes: headReserveBytes,
		HandleQuota: func(conn net.Conn, request *wirepb.QuotaRequest) {
			_ = frame.Write(conn, limiter.HandleRequest(request))
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		limiter.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		pool.Close()
		require.NoError(t, <-ended)
	})
	return limiter
}

// Guards against three nodes that together admit more calls than a quota allows in a window, or refuse the first call of a workspace.
func TestQuotaOverThreeNodes(t *testing.T) {
	const window, allowance = 5 * time.Second, (200*5+100)*1.1 + 20
	var records []*wirepb.MemberRecord
	var listeners []net.Listener
	for _, name := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		records = append(records, &wirepb.MemberRecord{Node: name, Life: 1, Sequence: 1, PeerAddress: l.Addr().String()})
	}
	var limiters []*quota.Limiter
	for i, r := range records {
		table := member.New(member.Config{Self: r, Now: time.Now})
		table.Merge(records)
		limiters = append(limiters, startQuotaNode(t, r.GetNode(), listeners[i], table))
	}
	require.Eventually(t, func() bool { return limiters[0].Take(t.Context(), "large", time.Second).Admitted }, 20*time.Second, 50*time.Millisecond)
	// Two calls a second fill the bucket of the small workspace in this time.
	time.Sleep(2 * time.Second)
	for _, l := range limiters {
		require.True(t, l.Take(t.Context(), "small", time.Second).Admitted, "first call of a node")
	}
	admitted := 0
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, l := range limiters {
			if l.Take(t.Context(), "large", 0).Admitted {
				admitted++
			}
		}
	}
	t.Logf("%d calls admitted of at most %.0f", admitted, float64(allowance))
	require.LessOrEqual(t, float64(admitted), allowance)
	require.Positive(t, admitted)
}
