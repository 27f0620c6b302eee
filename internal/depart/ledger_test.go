package depart

import (
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

var noon = time.Date(2027, 1, 1, 12, 0, 0, 0, time.UTC)

type fixture struct {
	platform *emul.Platform
	store    *store.Client
	now      time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureFor(t, emul.PlatformConfig{Seed: 1})
}

func newFixtureFor(t *testing.T, cfg emul.PlatformConfig) *fixture {
	t.Helper()
	platform := emul.NewPlatform(cfg)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	client := store.New(store.Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	return &fixture{platform: platform, store: client, now: noon}
}

func (f *fixture) ledger(node string) *Ledger {
	return New(Config{Node: node, Logger: zap.NewNop(), Now: func() time.Time { return f.now }, Store: f.store})
}

func departure(id string, started, left time.Time) *wirepb.Departure {
	return &wirepb.Departure{Id: id, Started: timestamppb.New(started), Time: timestamppb.New(left)}
}

func requireLoaded(t *testing.T, l *Ledger, want ...*wirepb.Departure) {
	t.Helper()
	have, err := l.Load()
	require.NoError(t, err)
	require.Len(t, have, len(want))
	for _, w := range want {
		require.True(t, contains(have, w), "%v", w)
	}
}

func contains(list []*wirepb.Departure, wanted *wirepb.Departure) bool {
	for _, d := range list {
		if proto.Equal(d, wanted) {
			return true
		}
	}
	return false
}

func TestDeparturesAreThoseOfTheNode(t *testing.T) {
	f := newFixture(t)
	first, again := departure("i-1", noon, noon.Add(time.Second)), departure("i-1", noon.Add(time.Minute), noon.Add(time.Hour))
	long := departure(strings.Repeat("x", 300), noon, noon)
	for _, d := range []*wirepb.Departure{first, first, again, long} {
		f.ledger("a").Record(d)
	}
	f.ledger("ab").Record(departure("i-2", noon, noon))
	requireLoaded(t, f.ledger("a"), first, again, long)
	requireLoaded(t, f.ledger("c"))
}

// Guards against an acknowledged departure that is forgotten because the platform was down (DRAIN).
func TestDepartureIsRecordedOnceThePlatformIsBack(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(emul.PlatformFaults{Down: true})
	left := departure("i-1", noon, noon)
	started := time.Now()
	f.ledger("a").Record(left)
	require.Less(t, time.Since(started), time.Second, "the upstream's announcement must be acknowledged within a second")
	_, err := f.ledger("a").Load()
	var unavailable *store.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	f.platform.SetFaults(emul.PlatformFaults{})
	require.Eventually(t, func() bool {
		have, err := f.ledger("a").Load()
		return err == nil && len(have) == 1
	}, 5*time.Second, 50*time.Millisecond)
}

func TestExpiredDeparturesAreDeleted(t *testing.T) {
	f := newFixture(t)
	for i := range deletePageSize + 2 {
		f.ledger("a").Record(departure("i-"+strconv.Itoa(i), noon, noon))
	}
	kept := departure("new", noon, noon.Add(time.Minute))
	f.ledger("b").Record(kept)
	f.now = noon.Add(retention + time.Second)
	require.NoError(t, f.ledger("c").DeleteExpired(t.Context()))
	requireLoaded(t, f.ledger("a"))
	requireLoaded(t, f.ledger("b"), kept)
}
