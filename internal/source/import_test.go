package source

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	patience = 10 * time.Second
	poll     = 5 * time.Millisecond
)

// fixture is the platform's stand-in with one node that imports.
type fixture struct {
	t        *testing.T
	platform *emul.Platform
	address  netip.AddrPort
	refused  atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, platform: emul.NewPlatform(emul.PlatformConfig{Seed: 1})}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.CloseClientConnections)
	f.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return f
}

// start runs a node's log and importer until the test ends.
func (f *fixture) start(rank int) *oplog.Log {
	f.t.Helper()
	client := store.New(store.Config{Address: f.address, Timeout: time.Second})
	log := oplog.New(oplog.Config{Store: client, Logger: zap.NewNop(), Now: time.Now, ExportRows: StatusRows})
	i := New(Config{
		Logger: zap.NewNop(), Now: time.Now, Store: client, Log: log, Rank: func() int { return rank },
		OnInvalidRow: func() { f.refused.Add(1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { log.RunCommitter(ctx); done <- struct{}{} }()
	go func() { i.Run(ctx); done <- struct{}{} }()
	f.t.Cleanup(func() {
		cancel()
		<-done
		<-done
		client.Close()
	})
	return log
}

// config returns an operator's configuration whose routes differ from version to version.
func config(t *testing.T, version, routes int) []byte {
	t.Helper()
	values := map[string]string{"/teams/mesh/services/shop": "{}"}
	for i := range routes {
		values[fmt.Sprintf("/teams/mesh/routes/r-%d", i)] = fmt.Sprintf(
			`{"host": "h%d.example", "path_prefix": "/a%d/", "idempotent": true, "timeout": "%.3fs", "service": "shop", "attempts": 2}`,
			i, version%3, 1+float64(version)/1000)
	}
	row, err := platform.EncodeConfig(uint64(version), values)
	require.NoError(t, err)
	return row
}

func (f *fixture) await(log *oplog.Log, what string, holds func(state *tree.State) bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return holds(log.State()) }, patience, poll, what)
}

func (f *fixture) configRow() uint64 {
	f.t.Helper()
	row := f.platform.Row("op", "config")
	require.NotNil(f.t, row)
	return row.GetVersion()
}

// routeOf returns the name of a host's route, or nothing.
func routeOf(state *tree.State, host string) string {
	if r := state.MatchRoute(host, "/a1/x"); r != nil {
		return r.Name
	}
	return ""
}

func TestConfigIsTakenIn(t *testing.T) {
	f := newFixture(t)
	log := f.start(0)
	f.platform.PutRow("op", "config", config(t, 1, 3))
	f.await(log, "first configuration", func(s *tree.State) bool { return routeOf(s, "h2.example") == "r-2" })
	t.Run("routes that are gone are removed", func(t *testing.T) {
		f.platform.PutRow("op", "config", config(t, 4, 2))
		f.await(log, "second configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRow() })
		require.Empty(t, routeOf(log.State(), "h2.example"))
		require.Equal(t, "r-1", routeOf(log.State(), "h1.example"))
		require.Equal(t, 1004*time.Millisecond, log.State().MatchRoute("h1.example", "/a1/x").Timeout)
	})
	t.Run("one that cannot be read leaves the last in force", func(t *testing.T) {
		before := log.State().OperatorConfigVersion
		f.platform.PutRow("op", "config", config(t, 5, 1)[:100])
		require.Eventually(t, func() bool { return f.refused.Load() == 1 }, patience, poll)
		require.Equal(t, before, log.State().OperatorConfigVersion)
		require.Equal(t, "r-1", routeOf(log.State(), "h1.example"))
	})
	t.Run("after dropped history", func(t *testing.T) {
		t.Helper()
		f.platform.ExpireHistory()
		f.platform.PutRow("op", "config", config(t, 6, 1))
		f.await(log, "configuration after dropped history", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRow() })
	})
	t.Run("large ones, by an object", func(t *testing.T) {
		f.platform.PutRow("op", "config", config(t, 7, 1200))
		f.await(log, "large configuration", func(s *tree.State) bool { return routeOf(s, "h1199.example") == "r-1199" })
		fresh := oplog.New(oplog.Config{Store: store.New(store.Config{Address: f.address}), Logger: zap.NewNop(), Now: time.Now})
		require.NoError(t, fresh.Sync(t.Context()))
		require.Equal(t, "r-1199", routeOf(fresh.State(), "h1199.example"))
	})
}

// A storm of configurations: the newest one wins, also with two importers and answers that are lost.
func TestConfigStorm(t *testing.T) {
	f := newFixture(t)
	logs := []*oplog.Log{f.start(0), f.start(1)}
	f.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3})
	for version := range 40 {
		f.platform.PutRow("op", "config", config(t, version+1, 4))
	}
	for _, log := range logs {
		f.await(log, "newest configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRow() })
		require.Equal(t, 1040*time.Millisecond, log.State().MatchRoute("h1.example", "/a1/x").Timeout)
	}
}

func TestOrdersBecomeMoves(t *testing.T) {
	f := newFixture(t)
	log := f.start(0)
	f.platform.PutRow("op", "rollout/shop", []byte(`{"service":"shop","to":"v2","duration":"12s"}`))
	f.platform.PutRow("op", "config", config(t, 1, 1))
	f.await(log, "the move", func(s *tree.State) bool { return s.Services["shop"] != nil && s.Services["shop"].MoveRecord != nil })
	record := log.State().Services["shop"].MoveRecord
	require.Equal(t, "v2", record.GetTo())
	require.WithinDuration(t, time.Now().Add(12*time.Second), record.GetDeadline().AsTime(), 3*time.Second)
	status := func() string {
		var told map[string]string
		if row := f.platform.Row("status", "rollout/shop"); row != nil {
			require.NoError(t, json.Unmarshal(row.GetValue(), &told))
		}
		return told["state"]
	}
	require.Eventually(t, func() bool { return status() == "running" }, patience, poll)
	t.Run("the operator is told in the same transaction", func(t *testing.T) {
		next := &wirepb.MoveRecord{}
		next.Service, next.Team, next.To, next.Order = "shop", "mesh", "v2", record.GetOrder()
		next.DeclaredRevision, next.State = record.GetDeclaredRevision(), wirepb.MoveState_MOVE_STATE_DONE
		put, err := tree.MoveRecordPut(next)
		require.NoError(t, err)
		_, err = log.Submit(t.Context(), "done", func(state *tree.State) (*wirepb.Change, error) {
			return &wirepb.Change{Revision: state.Revision + 1, Puts: []*wirepb.Put{put}}, nil
		})
		require.NoError(t, err)
		require.Equal(t, "completed", status())
	})
	t.Run("an order is taken in once", func(t *testing.T) {
		revision := log.State().Services["shop"].MoveRecord.GetDeclaredRevision()
		f.platform.PutRow("op", "config", config(t, 2, 1))
		f.await(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRow() })
		require.Equal(t, revision, log.State().Services["shop"].MoveRecord.GetDeclaredRevision())
	})
	t.Run("a new order starts a new move", func(t *testing.T) {
		t.Helper()
		f.platform.PutRow("op", "rollout/shop", []byte(`{"service":"shop","to":"v3","duration":"9s"}`))
		f.await(log, "second move", func(s *tree.State) bool { return s.Services["shop"].MoveRecord.GetTo() == "v3" })
	})
}
