package oplog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const servicePath = "/teams/shop/services/shop"

func newPlatform(t *testing.T) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	return startPlatform(t, emul.PlatformConfig{Seed: 1})
}

// newEraPlatform returns a platform whose responses name its era.
func newEraPlatform(t *testing.T) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	return startPlatform(t, emul.PlatformConfig{Seed: 1, NamesEra: true})
}

func startPlatform(t *testing.T, cfg emul.PlatformConfig) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	platform := emul.NewPlatform(cfg)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// newLog returns a log with its own client of the platform; its committer runs until the test ends.
func newLog(t *testing.T, address netip.AddrPort) *Log {
	t.Helper()
	l := New(Config{Store: store.New(store.Config{Address: address}), Logger: zap.NewNop(), Now: time.Now})
	go l.RunCommitter(t.Context())
	return l
}

// setValue sets a service to a value.
func setValue(name, value string) BuildFunc {
	return func(state *tree.State) (*wirepb.Change, error) {
		return state.NewChange("shop", []*wirepb.Edit{{Path: "/teams/shop/services/" + name, Value: value}}, time.Now())
	}
}

func setService(coldStartSeconds int) BuildFunc {
	return func(state *tree.State) (*wirepb.Change, error) {
		value := fmt.Sprintf(`{"version": "v1", "cold_start": "%ds"}`, coldStartSeconds)
		return state.NewChange("shop", []*wirepb.Edit{{Path: servicePath, Value: value}}, time.Now())
	}
}

// When the response to a write is lost, the committer must find out whether the write took effect. Repeating it blindly would
// commit an operation twice.
func TestEachOperationGetsOneRevision(t *testing.T) {
	tests := []struct {
		name   string
		faults emul.PlatformFaults
	}{
		{"no faults", emul.PlatformFaults{}},
		{"lost responses", emul.PlatformFaults{ResponseLossRate: 0.4}},
		{"slow platform and lost responses", emul.PlatformFaults{ResponseLossRate: 0.2, Delay: 10 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			platform, address := newPlatform(t)
			platform.SetFaults(tt.faults)
			const writers, each = 4, 8
			var wait sync.WaitGroup
			for w := range writers {
				l := newLog(t, address)
				wait.Go(func() {
					for i := range each {
						_, _ = l.Submit(t.Context(), fmt.Sprintf("%d-%d", w, i), setService(i))
					}
				})
			}
			wait.Wait()
			platform.SetFaults(emul.PlatformFaults{})
			requireConsecutiveOperations(t, newLog(t, address), writers*each)
		})
	}
}

// requireConsecutiveOperations checks that the table holds consecutive revisions, with each operation once, and that a new log
// reaches the newest one.
func requireConsecutiveOperations(t *testing.T, l *Log, operations int) {
	t.Helper()
	require.NoError(t, l.Sync(t.Context()))
	rows, err := l.store.Range(t.Context(), logPrefix, "", operations+1)
	require.NoError(t, err)
	changes, err := l.decodeChanges(t.Context(), rows)
	require.NoError(t, err)
	require.Len(t, changes, operations)
	require.Equal(t, uint64(operations), l.State().Revision)
	seen := map[string]bool{}
	for i, c := range changes {
		require.Equal(t, uint64(i+1), c.GetRevision())
		require.False(t, seen[c.GetOperationId()], "operation %s was committed twice", c.GetOperationId())
		seen[c.GetOperationId()] = true
	}
}

func TestRepeatedOperationIsCommittedOnce(t *testing.T) {
	_, address := newPlatform(t)
	first, second := newLog(t, address), newLog(t, address)
	one, err := first.Submit(t.Context(), "same", setService(1))
	require.NoError(t, err)
	again, err := second.Submit(t.Context(), "same", setService(1))
	require.NoError(t, err)
	require.Equal(t, one, again)
}

func TestSubmitFailsAndStateStaysWhilePlatformIsDown(t *testing.T) {
	platform, address := newPlatform(t)
	l := newLog(t, address)
	_, err := l.Submit(t.Context(), "a", setService(1))
	require.NoError(t, err)
	platform.SetFaults(emul.PlatformFaults{Down: true})
	_, err = l.Submit(t.Context(), "b", setService(2))
	var unavailable *store.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, uint64(1), l.State().Revision)
}

const snapshotTimeout = 5 * time.Second

// A snapshot that cannot be read must not keep a new log from the changes that it replaces, as long as their rows are there.
func TestNewLogReplaysChangesWithoutSnapshot(t *testing.T) {
	_, address := newPlatform(t)
	l := newLog(t, address)
	for i := range changesPerSnapshot {
		_, err := l.Submit(t.Context(), strconv.Itoa(i), setService(i))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		row, err := l.readHead(t.Context())
		return err == nil && row.head.GetSnapshotRevision() == changesPerSnapshot
	}, snapshotTimeout, time.Millisecond)
	require.NoError(t, l.store.DeleteObject(t.Context(), snapshotName(changesPerSnapshot)))
	fresh := newLog(t, address)
	require.NoError(t, fresh.Sync(t.Context()))
	require.Equal(t, uint64(changesPerSnapshot), fresh.State().Revision)
}

// A new log must catch up from the snapshot, because the rows of the oldest changes are deleted.
func TestNewLogLoadsSnapshot(t *testing.T) {
	_, address := newPlatform(t)
	l := newLog(t, address)
	const changes = recentChangesKept + 2*changesPerSnapshot
	for i := range changes {
		_, err := l.Submit(t.Context(), strconv.Itoa(i), setService(i%60))
		require.NoError(t, err)
	}
	fresh := newLog(t, address)
	require.NoError(t, fresh.Sync(t.Context()))
	require.Equal(t, uint64(changes), fresh.State().Revision)
	require.Equal(t, l.State().Entry(servicePath).GetValue(), fresh.State().Entry(servicePath).GetValue())
	// Rows are deleted in the background, after the snapshot that replaces them.
	require.Eventually(t, func() bool {
		kept, err := l.History(t.Context(), servicePath)
		return err == nil && len(kept) < changes && kept[0].GetRevision() == changes
	}, snapshotTimeout, 50*time.Millisecond, "no rows were deleted")
}

// setServices sets many services; incompressible gives them random names.
func setServices(count int, incompressible bool) BuildFunc {
	return func(state *tree.State) (*wirepb.Change, error) {
		random := rand.New(rand.NewPCG(1, 1))
		change := &wirepb.Change{Revision: state.Revision + 1, Author: "shop", Time: timestamppb.Now()}
		for i := range count {
			name := strconv.Itoa(i)
			if incompressible {
				name += "-" + strconv.FormatUint(random.Uint64(), 36) + strconv.FormatUint(random.Uint64(), 36)
			}
			change.Puts = append(change.Puts, &wirepb.Put{Path: "/teams/shop/services/" + name, Value: `{"version": "v1"}`})
		}
		return change, nil
	}
}

// Large changes that compress well are stored in their row, since an object costs two more requests to the platform before
// a configuration is applied. The others are stored as objects.
func TestLargeChanges(t *testing.T) {
	const services = 2000
	tests := []struct {
		name           string
		incompressible bool
		objects        int
	}{
		{"compressible", false, 0},
		{"incompressible", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			platform, address := newPlatform(t)
			_, err := newLog(t, address).Submit(t.Context(), "large", setServices(services, tt.incompressible))
			require.NoError(t, err)
			require.Len(t, platform.ObjectNames(), tt.objects)
			reader := newLog(t, address)
			require.NoError(t, reader.Sync(t.Context()))
			require.Len(t, reader.State().Services, services)
		})
	}
}

func TestApplyChanges(t *testing.T) {
	change := func(revision uint64, value string) *wirepb.Change {
		return &wirepb.Change{Revision: revision, Time: timestamppb.Now(), Puts: []*wirepb.Put{{Path: servicePath, Value: value}}}
	}
	const valid, invalid = `{"version": "v1"}`, `{"version": "v1", "colour": 1}`
	fresh := func() *Log { return New(Config{Logger: zap.NewNop(), Now: time.Now}) }
	t.Run("reports missing changes", func(t *testing.T) {
		l := fresh()
		require.True(t, l.ApplyChanges([]*wirepb.Change{change(2, valid)}, Origin{}))
		require.Zero(t, l.State().Revision)
		require.Equal(t, uint64(2), l.KnownRevision())
	})
	t.Run("skips changes already applied", func(t *testing.T) {
		l := fresh()
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(1, valid), change(2, valid)}, Origin{}))
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(1, valid)}, Origin{}))
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(2, valid), change(3, valid)}, Origin{}))
		require.Equal(t, uint64(3), l.State().Revision)
	})
	t.Run("applies no part of an invalid change", func(t *testing.T) {
		l := fresh()
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(1, valid)}, Origin{}))
		mixed := change(2, invalid)
		mixed.Puts = append(mixed.Puts, &wirepb.Put{Path: "/teams/shop/routes/r", Value: `{"path_prefix": "/r", "service": "shop"}`})
		require.False(t, l.ApplyChanges([]*wirepb.Change{mixed}, Origin{}))
		require.Equal(t, uint64(1), l.State().Revision)
		require.Nil(t, l.State().MatchRoute("", "/r"))
		require.Equal(t, uint64(2), l.InvalidRevision().Revision)
	})
	t.Run("applies the changes before an invalid one and names that one", func(t *testing.T) {
		l := fresh()
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(1, valid), change(2, valid), change(3, invalid), change(4, valid)}, Origin{}))
		require.Equal(t, uint64(2), l.State().Revision)
		require.Equal(t, uint64(3), l.InvalidRevision().Revision)
		require.Equal(t, uint64(4), l.InvalidRevision().Newest, "the newest one that cannot be applied because of it")
		changes, complete := l.ChangesSince(0)
		require.True(t, complete)
		require.Len(t, changes, 2)
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(3, invalid), change(4, valid), change(5, valid)}, Origin{}))
		require.Equal(t, uint64(3), l.InvalidRevision().Revision)
		require.Equal(t, uint64(5), l.InvalidRevision().Newest)
	})
	t.Run("ignores an older snapshot", func(t *testing.T) {
		l := fresh()
		require.False(t, l.ApplyChanges([]*wirepb.Change{change(1, valid), change(2, valid)}, Origin{}))
		l.ApplySnapshot(&wirepb.Snapshot{Revision: 1})
		require.Equal(t, uint64(2), l.State().Revision)
	})
}

// Concurrent writes and reads of one path are linearizable, also when responses of the platform are lost.
func TestSettingsAreLinearizable(t *testing.T) {
	platform, address := newPlatform(t)
	platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3, Delay: time.Millisecond})
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for id := range 4 {
		l := newLog(t, address)
		wait.Go(func() {
			for i := range 12 {
				input := registerInput{value: id*100 + i + 1, write: i%2 == 0}
				call := time.Since(begin)
				output := runOperation(t.Context(), l, input)
				end := time.Since(begin)
				if output.unknown {
					end = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: input, Output: output, Call: int64(call), Return: int64(end)})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	require.True(t, porcupine.CheckOperations(registerModel(), history))
}

type registerInput struct {
	value int
	write bool
}

type registerOutput struct {
	value   int
	unknown bool
}

func runOperation(ctx context.Context, l *Log, input registerInput) registerOutput {
	if input.write {
		_, err := l.Submit(ctx, fmt.Sprintf("w%d", input.value), setService(input.value))
		return registerOutput{unknown: err != nil}
	}
	if err := l.Sync(ctx); err != nil {
		return registerOutput{unknown: true}
	}
	value := strings.TrimSuffix(l.State().Entry(servicePath).GetValue(), `s"}`)
	number, _ := strconv.Atoi(value[strings.LastIndexByte(value, '"')+1:])
	return registerOutput{value: number}
}

func registerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(registerInput), output.(registerOutput)
			if in.write {
				return true, in.value
			}
			return out.unknown || out.value == state.(int), state
		},
	}
}
