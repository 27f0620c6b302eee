package source

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	// configApply is the users' shortest bound from the acknowledgement of a configuration to its coming into force, stableWindow the one from
	// the end of a disturbance of the store to the time from which nodes are bound by it.
	configApply       = 2 * time.Second
	stableWindow      = 3 * time.Second
	relayPollInterval = 2 * time.Second
	// laterRank is the rank of an importer that only backs up others.
	laterRank = 5
)

// startVirtual starts a node on connections in memory, for tests in virtual time. If polls is set, it also reads the store at an interval, as
// relays do.
func startVirtual(t *testing.T, rank int, polls bool) (*fixture, *store.Client, *oplog.Log) {
	t.Helper()
	f := &fixture{t: t, platform: emul.NewPlatform(emul.PlatformConfig{Seed: 1})}
	dial, stop := f.platform.ServeInMemory()
	t.Cleanup(stop)
	client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: dial})
	if polls {
		pollUntilEnd(t, client)
	}
	return f, client, f.startWith(client, rank)
}

func pollUntilEnd(t *testing.T, client *store.Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		ticker := time.NewTicker(relayPollInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			_, _ = client.Range(ctx, "relay/", "", 1)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
}

// requireInForceAfterSilence requires that a configuration which is acknowledged as a silence of the store ends comes into force in time.
// The silence begins some time after the configuration before it.
func (f *fixture) requireInForceAfterSilence(log *oplog.Log, version int, begin, duration, limit time.Duration) {
	f.t.Helper()
	time.Sleep(begin)
	f.platform.SetFaults(emul.PlatformFaults{Silent: true})
	time.Sleep(duration)
	f.platform.PutRow("op", "config", encodeConfig(f.t, version, 1))
	f.platform.SetFaults(emul.PlatformFaults{})
	time.Sleep(limit)
	require.Equal(f.t, f.configRowVersion(), log.State().OperatorConfigVersion, "silence of %s that began %s after the last change", duration, begin)
}

// Guards against a configuration that comes into force long after the store is back from a silence, since importers wait for an answer that
// was lost in it (CONFIG).
func TestConfigurationComesIntoForceAfterSilence(t *testing.T) {
	const longestBegin, beginStep = 10 * time.Second, 37 * time.Millisecond
	tests := []struct {
		name     string
		rank     int
		polls    bool
		duration time.Duration
		limit    time.Duration
	}{
		{"short", 0, false, 500 * time.Millisecond, configApply},
		{"two seconds", 0, false, 2 * time.Second, stableWindow},
		{"a while", 0, false, 5 * time.Second, stableWindow},
		{"longer than any wait", 0, false, 20 * time.Second, stableWindow},
		{"an importer that backs up others", laterRank, true, 5 * time.Second, stableWindow},
		{"such an importer and longer than any wait", laterRank, true, 20 * time.Second, stableWindow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, log := startVirtual(t, tt.rank, tt.polls)
				version := 1
				f.platform.PutRow("op", "config", encodeConfig(t, version, 1))
				f.waitFor(log, "first configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
				for begin := time.Duration(0); begin < longestBegin; begin += beginStep {
					version++
					f.requireInForceAfterSilence(log, version, begin, tt.duration, tt.limit)
				}
			})
		})
	}
}

// Guards against a store that is slower than the first feeds are patient and whose changes are never read, or that counts as silent.
func TestSlowStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, client, log := startVirtual(t, 0, false)
		f.platform.PutRow("op", "config", encodeConfig(t, 1, 1))
		f.waitFor(log, "first configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		f.platform.SetFaults(emul.PlatformFaults{Delay: 3 * feedPatience})
		for version := 2; version < 5; version++ {
			f.platform.PutRow("op", "config", encodeConfig(t, version, 1))
			f.waitFor(log, "configuration of a slow store", func(s *tree.State) bool {
				require.True(t, client.IsReachable())
				return s.OperatorConfigVersion == f.configRowVersion()
			})
		}
	})
}
