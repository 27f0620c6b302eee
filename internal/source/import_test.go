package source

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// fixture is a stand-in of the platform, from whose table nodes import rows.
type fixture struct {
	t           *testing.T
	platform    *emul.Platform
	address     netip.AddrPort
	invalidRows atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureFor(t, emul.PlatformConfig{Seed: 1})
}

func newFixtureFor(t *testing.T, cfg emul.PlatformConfig) *fixture {
	t.Helper()
	f := &fixture{t: t, platform: emul.NewPlatform(cfg)}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.CloseClientConnections)
	f.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return f
}

// start runs the oplog and the importer of a node until the test ends.
func (f *fixture) start(rank int) *oplog.Log {
	f.t.Helper()
	return f.startWith(store.New(store.Config{Address: f.address, Timeout: time.Second}), rank)
}

// startWith is start for a client of the store, which it closes.
func (f *fixture) startWith(client *store.Client, rank int) *oplog.Log {
	f.t.Helper()
	log := oplog.New(oplog.Config{Store: client, Logger: zap.NewNop(), Now: time.Now, ExportRows: StatusRows})
	i := New(Config{
		Logger: zap.NewNop(), Now: time.Now, Store: client, Log: log, Rank: func() int { return rank },
		OnInvalidRow: func() { f.invalidRows.Add(1) },
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

// encodeConfig returns an operator's configuration whose path prefixes and timeouts depend on its version.
func encodeConfig(t *testing.T, version, routes int) []byte {
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

func (f *fixture) waitFor(log *oplog.Log, what string, holds func(state *tree.State) bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return holds(log.State()) }, waitTimeout, pollInterval, what)
}

func (f *fixture) configRowVersion() uint64 {
	f.t.Helper()
	row := f.platform.Row("op", "config")
	require.NotNil(f.t, row)
	return row.GetVersion()
}

// routeName returns the name of the route that matches /a1/x on a host, or an empty string.
func routeName(state *tree.State, host string) string {
	if r := state.MatchRoute(host, "/a1/x"); r != nil {
		return r.Name
	}
	return ""
}

func TestConfigIsApplied(t *testing.T) {
	f := newFixture(t)
	log := f.start(0)
	f.platform.PutRow("op", "config", encodeConfig(t, 1, 3))
	f.waitFor(log, "first configuration", func(s *tree.State) bool { return routeName(s, "h2.example") == "r-2" })
	t.Run("routes missing from the configuration are deleted", func(t *testing.T) {
		f.platform.PutRow("op", "config", encodeConfig(t, 4, 2))
		f.waitFor(log, "second configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Empty(t, routeName(log.State(), "h2.example"))
		require.Equal(t, "r-1", routeName(log.State(), "h1.example"))
		require.Equal(t, 1004*time.Millisecond, log.State().MatchRoute("h1.example", "/a1/x").Timeout)
	})
	t.Run("an invalid configuration leaves the previous one in force", func(t *testing.T) {
		before := log.State().OperatorConfigVersion
		f.platform.PutRow("op", "config", encodeConfig(t, 5, 1)[:100])
		require.Eventually(t, func() bool { return f.invalidRows.Load() == 1 }, waitTimeout, pollInterval)
		require.Equal(t, before, log.State().OperatorConfigVersion)
		require.Equal(t, "r-1", routeName(log.State(), "h1.example"))
	})
	t.Run("after expired history", func(t *testing.T) {
		t.Helper()
		f.platform.ExpireHistory()
		f.platform.PutRow("op", "config", encodeConfig(t, 6, 1))
		f.waitFor(log, "configuration after expired history", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
	})
	t.Run("a large configuration is stored as an object", func(t *testing.T) {
		f.platform.PutRow("op", "config", encodeConfig(t, 7, 1200))
		f.waitFor(log, "large configuration", func(s *tree.State) bool { return routeName(s, "h1199.example") == "r-1199" })
		fresh := oplog.New(oplog.Config{Store: store.New(store.Config{Address: f.address}), Logger: zap.NewNop(), Now: time.Now})
		require.NoError(t, fresh.Sync(t.Context()))
		require.Equal(t, "r-1199", routeName(fresh.State(), "h1199.example"))
	})
}

// The newest of many configurations wins, also with two importers and lost responses of the platform.
func TestConfigsInQuickSuccession(t *testing.T) {
	f := newFixture(t)
	logs := []*oplog.Log{f.start(0), f.start(1)}
	f.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3})
	for version := range 40 {
		f.platform.PutRow("op", "config", encodeConfig(t, version+1, 4))
	}
	for _, log := range logs {
		f.waitFor(log, "newest configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Equal(t, 1040*time.Millisecond, log.State().MatchRoute("h1.example", "/a1/x").Timeout)
	}
}

// An order that arrives before the configuration of its service must start the move once the configuration is applied.
func TestMoveOrdersStartMoves(t *testing.T) {
	f := newFixture(t)
	log := f.start(0)
	f.platform.PutRow("op", "rollout/shop", []byte(`{"service":"shop","to":"v2","duration":"12s"}`))
	f.platform.PutRow("op", "config", encodeConfig(t, 1, 1))
	f.waitFor(log, "the move", func(s *tree.State) bool { return s.Services["shop"] != nil && s.Services["shop"].MoveRecord != nil })
	record := log.State().Services["shop"].MoveRecord
	require.Equal(t, "v2", record.GetTo())
	require.WithinDuration(t, time.Now().Add(12*time.Second), record.GetDeadline().AsTime(), 3*time.Second)
	status := func() string {
		var fields map[string]string
		if row := f.platform.Row("status", "rollout/shop"); row != nil {
			require.NoError(t, json.Unmarshal(row.GetValue(), &fields))
		}
		return fields["state"]
	}
	require.Eventually(t, func() bool { return status() == "running" }, waitTimeout, pollInterval)
	t.Run("the status row is written in the same transaction", func(t *testing.T) {
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
	t.Run("an order is applied once", func(t *testing.T) {
		revision := log.State().Services["shop"].MoveRecord.GetDeclaredRevision()
		f.platform.PutRow("op", "config", encodeConfig(t, 2, 1))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Equal(t, revision, log.State().Services["shop"].MoveRecord.GetDeclaredRevision())
	})
	t.Run("a new order starts a new move", func(t *testing.T) {
		t.Helper()
		f.platform.PutRow("op", "rollout/shop", []byte(`{"service":"shop","to":"v3","duration":"9s"}`))
		f.waitFor(log, "second move", func(s *tree.State) bool { return s.Services["shop"].MoveRecord.GetTo() == "v3" })
	})
}

// A row of the first page changes while a later page is read. The feed must deliver that change.
func TestRowThatChangesWhileTableIsReadIsNotSkipped(t *testing.T) {
	const key = "a-first"
	table := emul.NewPlatform(emul.PlatformConfig{})
	table.PutRow(platform.OperatorTable, key, []byte("old"))
	for n := range maxPageRows + 1 {
		table.PutRow(platform.OperatorTable, fmt.Sprintf("b-%04d", n), []byte("row"))
	}
	pages, handler := 0, table.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pages++; pages == 2 {
			table.PutRow(platform.OperatorTable, key, []byte("new"))
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client := store.New(store.Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Second})
	t.Cleanup(client.Close)
	i := New(Config{Logger: zap.NewNop(), Now: time.Now, Store: client, Rank: func() int { return 0 }})
	require.NoError(t, i.readChanges(t.Context()))
	require.NoError(t, i.readChanges(t.Context()))
	require.Equal(t, "new", string(i.rows[key].GetValue()))
}
