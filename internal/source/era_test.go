package source

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// settleTime is longer than importers take to read the table and to commit a row.
const settleTime = time.Second

func (f *fixture) putOrder(to string) {
	f.platform.PutRow(platform.OperatorTable, "rollout/shop", []byte(`{"service":"shop","to":"`+to+`","duration":"30s"}`))
}

func moveTo(to string) func(state *tree.State) bool {
	return func(s *tree.State) bool {
		return s.Services["shop"] != nil && s.Services["shop"].MoveRecord.GetTo() == to
	}
}

func hasNumber(number uint64) func(state *tree.State) bool {
	return func(s *tree.State) bool { return s.OperatorConfigNumber == number }
}

// waitForEra waits until the log is established in an era.
func (f *fixture) waitForEra(log *oplog.Log, era uint64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		have, _ := log.EstablishedEra()
		return have == era
	}, waitTimeout, pollInterval)
}

// Guards against an older configuration or order of the copy that takes back what the operator had been acknowledged, against a move that
// starts again when the operator repeats its order, and against later rows that are ignored as their versions are assigned again.
func TestRowsOfAnOlderCopy(t *testing.T) {
	f := newFixtureFor(t, emul.PlatformConfig{Seed: 1, NamesEra: true})
	logs := []*oplog.Log{f.start(0), f.start(1)}
	forAll := func(what string, holds func(state *tree.State) bool) {
		t.Helper()
		for _, l := range logs {
			f.waitFor(l, what, holds)
		}
	}
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 10, 1))
	forAll("first configuration", hasNumber(10))
	f.putOrder("v2")
	forAll("first order", moveTo("v2"))
	copied := f.platform.Copy()
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 13, 2))
	forAll("second configuration", hasNumber(13))
	f.putOrder("v3")
	forAll("second order", moveTo("v3"))
	declared := logs[0].State().Services["shop"].MoveRecord.GetDeclaredRevision()
	requireInForce := func(era uint64) {
		t.Helper()
		for _, l := range logs {
			f.waitForEra(l, era)
		}
		time.Sleep(settleTime)
		for _, l := range logs {
			require.Equal(t, uint64(13), l.State().OperatorConfigNumber)
			require.Equal(t, "r-1", routeName(l.State(), "h1.example"))
			require.Equal(t, "v3", l.State().Services["shop"].MoveRecord.GetTo())
			require.Equal(t, declared, l.State().Services["shop"].MoveRecord.GetDeclaredRevision())
		}
		require.Contains(t, string(f.platform.Row("status", "rollout/shop").GetValue()), `"v3"`)
	}
	lost := f.platform.Restore(copied)
	requireInForce(1)
	f.platform.Rewrite(lost)
	requireInForce(1)
	// The store comes back once more, after the rows were written again.
	lost = f.platform.Restore(copied)
	requireInForce(2)
	f.platform.Rewrite(lost)
	requireInForce(2)
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 14, 3))
	forAll("third configuration", hasNumber(14))
	f.putOrder("v4")
	forAll("third order", moveTo("v4"))
}

func newUnstarted(t *testing.T, era uint64, since time.Duration) *Importer {
	t.Helper()
	log := oplog.New(oplog.Config{Logger: zap.NewNop(), Now: time.Now})
	i := New(Config{Logger: zap.NewNop(), Now: time.Now, Log: log, Rank: func() int { return laterRank }})
	i.era, i.eraSince = era, time.Now().Add(-since)
	return i
}

// Guards against an order that is ignored although it is none of those that the operator has to write again, and against one that restarts
// a move.
func TestRepeatedOrders(t *testing.T) {
	record := func(state wirepb.MoveState, order uint64) *wirepb.MoveRecord {
		return &wirepb.MoveRecord{Service: "shop", Team: "mesh", To: "v2", Order: order, State: state, Deadline: timestamppb.Now()}
	}
	const running, done, takenBack = wirepb.MoveState_MOVE_STATE_RUNNING, wirepb.MoveState_MOVE_STATE_DONE, wirepb.MoveState_MOVE_STATE_TAKEN_BACK
	tests := []struct {
		name     string
		record   *wirepb.MoveRecord
		era      uint64
		since    time.Duration
		to       string
		repeated bool
	}{
		{"no era", record(running, 7), 0, 0, "v2", false},
		{"running", record(running, 7), 1, 0, "v2", true},
		{"done, much later", record(done, 7), 1, time.Hour, "v2", true},
		{"taken back", record(takenBack, 7), 1, time.Second, "v2", true},
		{"taken back, much later", record(takenBack, 7), 1, time.Hour, "v2", false},
		{"other version", record(running, 7), 1, 0, "v3", false},
		{"ordered in this era", record(running, platform.Position(1, 7)), 1, 0, "v2", false},
		{"ordered in an earlier era", record(running, platform.Position(1, 7)), 2, 0, "v2", true},
		{"not ordered by the operator", record(running, 0), 1, 0, "v2", false},
		{"no move", nil, 1, 0, "v2", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			state := tree.EmptyState()
			state.Services["shop"] = &tree.Service{Name: "shop", MoveRecord: tt.record}
			i := newUnstarted(t, tt.era, tt.since)
			require.Equal(t, tt.repeated, i.isRepeated(state, platform.MoveOrder{Service: "shop", TargetVersion: tt.to}))
		})
	}
}

// Guards against a row that counts as removed only because the restored copy lacks it.
func TestMissingRowsAfterANewEra(t *testing.T) {
	require.True(t, newUnstarted(t, 0, 0).isMissingRowRemoved())
	require.Equal(t, feedWait, newUnstarted(t, 0, 0).nextFeedWait())
	require.False(t, newUnstarted(t, 1, time.Hour).isMissingRowRemoved())
	f := newFixtureFor(t, emul.PlatformConfig{Seed: 1, NamesEra: true, Era: 1})
	log := f.start(0)
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 1, 1))
	f.waitForEra(log, 1)
	now := time.Now()
	i := New(Config{Logger: zap.NewNop(), Now: func() time.Time { return now }, Log: log, Rank: func() int { return laterRank }})
	i.enterEra(1)
	require.False(t, i.isMissingRowRemoved())
	require.LessOrEqual(t, i.nextFeedWait(), missingRowDelay)
	now = now.Add(missingRowDelay + time.Second)
	require.True(t, i.isMissingRowRemoved())
}
