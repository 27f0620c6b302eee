package depart

import (
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against configurations that come into force late because the rows of many upstreams that leave at once are written first (CONFIG).
func TestDeparturesDoNotDelayConfigurations(t *testing.T) {
	const nodes, maxDelay = 300, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		dial, stop := emul.NewPlatform(emul.PlatformConfig{PartTransactionsPerSecond: 150}).ServeInMemory()
		defer stop()
		client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: dial})
		defer client.Close()
		log := oplog.New(oplog.Config{Store: client, Logger: zap.NewNop(), Now: time.Now})
		go log.RunCommitter(t.Context())

		for n := range nodes {
			go New(Config{Node: "node-" + strconv.Itoa(n), Logger: zap.NewNop(), Now: time.Now, Store: client}).Record(departure("i", noon, noon))
		}
		synctest.Wait()
		started := time.Now()
		_, err := log.Submit(t.Context(), "config", func(state *tree.State) (*wirepb.Change, error) {
			return state.NewChange("shop", []*wirepb.Edit{{Path: "/teams/shop/services/shop", Value: `{"version": "v1"}`}}, time.Now())
		})
		took := time.Since(started)
		// All departures are written before the test ends, those that the platform refused included.
		time.Sleep(retryTimeout)
		require.NoError(t, err)
		require.LessOrEqual(t, took, maxDelay)
	})
}
