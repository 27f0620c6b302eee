package relay

import (
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against configurations that come into force late because the transactions of many nodes that leave at once are carried out
// first (CONFIG).
func TestLeavingNodesDoNotDelayConfigurations(t *testing.T) {
	const nodes, maxDelay = 300, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		dial, stop := emul.NewPlatform(emul.PlatformConfig{PartTransactionsPerSecond: 150}).ServeInMemory()
		defer stop()
		client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: dial})
		defer client.Close()
		for n := range nodes {
			h := newHub()
			h.cfg.Node, h.cfg.Store = "node-"+strconv.Itoa(n), client
			h.cfg.Members = member.New(member.Config{Self: &wirepb.MemberRecord{Node: h.cfg.Node, Life: 1}, Now: time.Now})
			h.cfg.Logger = zap.NewNop()
			go h.Leave(t.Context())
		}
		synctest.Wait()
		started := time.Now()
		committed, err := client.Transact(t.Context(), &wirepb.Transaction{Puts: []*wirepb.Row{{Key: "head"}}})
		took := time.Since(started)
		time.Sleep(2 * leaveTimeout)
		require.NoError(t, err)
		require.True(t, committed)
		require.LessOrEqual(t, took, maxDelay)
	})
}
