package local

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// restartFixture is a registry whose process can be restarted; departures outlive it.
type restartFixture struct {
	*registryFixture
	recorded []*wirepb.Departure
	loads    int
	// down makes the recorded departures unreadable.
	down bool
}

func newRestartFixture() *restartFixture {
	f := &restartFixture{registryFixture: &registryFixture{now: time.Unix(1_700_000_000, 0)}}
	f.restart()
	return f
}

// restart replaces the registry, as a restart of the node's process does.
func (f *restartFixture) restart() {
	f.now = f.now.Add(time.Second)
	f.Registry = New(Config{
		Logger: zap.NewNop(), Now: func() time.Time { return f.now }, QueueFactor: 1, MaxBodyBytes: maxBodyBytes,
		AnnounceInterval: time.Second, OnUpstreamsChange: func([]*wirepb.MemberUpstream) {},
		RecordDeparture: func(d *wirepb.Departure) { f.recorded = append(f.recorded, d) },
		LoadDepartures: func() ([]*wirepb.Departure, error) {
			f.loads++
			if f.down {
				return nil, io.ErrUnexpectedEOF
			}
			return f.recorded, nil
		},
	})
}

// Guards against a server that left and gets requests again after its node restarted, from an announcement that was held up (DRAIN).
func TestDepartureOutlivesTheProcess(t *testing.T) {
	tests := []struct {
		name string
		act  func(t *testing.T, f *restartFixture)
		want string
	}{
		{"deregistered", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.Deregister("i-1")
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announced that it is leaving", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.announce(t, "i-1", 0, 3, true)
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"said so to a process that had not seen it before", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 3, true)
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"deregistered after a restart, before any announcement", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.restart()
			f.Deregister("i-1")
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"two restarts", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.Deregister("i-1")
			f.restart()
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"deregistered while silent", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.now = f.now.Add(time.Minute)
			f.expireSilent()
			f.Deregister("i-1")
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announced that it is leaving while silent", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.now = f.now.Add(5 * time.Second)
			f.expireSilent()
			f.announce(t, "i-1", 0, 3, true)
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"another one of the same id started after it left", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.Deregister("i-1")
			f.announce(t, "i-1", 2*time.Second, 1, false)
			f.restart()
			f.announce(t, "i-1", 2*time.Second, 2, false)
		}, "i-1"},
		{"the next one of the same id left too", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.Deregister("i-1")
			f.announce(t, "i-1", 500*time.Millisecond, 1, false)
			f.restart()
			f.Deregister("i-1")
			f.restart()
			f.announce(t, "i-1", 500*time.Millisecond, 2, false)
		}, ""},
		{"an upstream that did not leave", func(t *testing.T, f *restartFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.restart()
			f.announce(t, "i-1", 0, 2, false)
		}, "i-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newRestartFixture()
			tt.act(t, f)
			require.Equal(t, tt.want, f.servingID())
		})
	}
}

// Guards against a server that keeps getting requests after it was deregistered, because an earlier process of the same id left at another
// address (DRAIN).
func TestDeregisteringFindsTheProcessThatServes(t *testing.T) {
	for range 20 {
		f := newRestartFixture()
		announce := func(port string, started time.Duration, leaving bool) {
			require.NoError(t, f.Announce(&wirepb.Announcement{
				Id: "i-1", Service: "shop", Version: "v1", Address: "127.0.0.1:" + port, Slots: 2, Connections: 2, Leaving: leaving,
				Started: timestamppb.New(f.now.Add(started)), Sequence: 1,
			}))
		}
		announce("1", time.Second, true)
		announce("2", 2*time.Second, false)
		require.Equal(t, "i-1", f.servingID())
		f.Deregister("i-1")
		require.Empty(t, f.servingID())
		require.Len(t, f.recorded, 2)
	}
}

// Guards against an upstream without a start time that gets requests again after its node restarted (DRAIN).
func TestDepartureOfAnUpstreamWithoutStartTime(t *testing.T) {
	f := newRestartFixture()
	f.restart()
	born := f.now.Add(-time.Minute)
	announce := func(leaving bool) {
		require.NoError(t, f.Announce(&wirepb.Announcement{
			Service: "shop", Version: "v1", Address: "127.0.0.1:1", Slots: 2, Connections: 2, Leaving: leaving, Uptime: durationpb.New(f.now.Sub(born)),
		}))
	}
	announce(false)
	announce(true)
	f.restart()
	announce(false)
	require.Nil(t, f.leastLoaded(&wirepb.CallHead{Service: "shop"}))
	born = f.now
	announce(false)
	require.NotNil(t, f.leastLoaded(&wirepb.CallHead{Service: "shop"}), "a process that started since accepts calls")
}

// Guards against an upstream that gets no calls any more after an announcement without a start time, which may be an old one.
func TestLeaveWithoutStartTime(t *testing.T) {
	announce := func(f *registryFixture, leaving bool) error {
		return f.Announce(&wirepb.Announcement{
			Id: "i-1", Service: "shop", Version: "v1", Address: "127.0.0.1:1", Slots: 2, Connections: 2, Sequence: 2, Leaving: leaving,
		})
	}
	t.Run("of an upstream that announced one", func(t *testing.T) {
		f := newRegistryFixture()
		f.announce(t, "i-1", 0, 1, false)
		var invalid *AnnouncementError
		require.ErrorAs(t, announce(f, true), &invalid)
		require.Equal(t, "i-1", f.servingID())
		require.Empty(t, f.departures)
		f.announce(t, "i-1", 0, 3, true)
		require.Empty(t, f.servingID())
		require.NoError(t, announce(f, true), "it has left")
	})
	t.Run("of one that announces none", func(t *testing.T) {
		f := newRegistryFixture()
		require.NoError(t, announce(f, false))
		require.NoError(t, announce(f, true))
		require.Empty(t, f.servingID())
		for range int(departureTTL/time.Second) + 1 {
			require.Empty(t, f.servingID())
			f.now = f.now.Add(time.Second)
			f.expireSilent()
			require.NoError(t, announce(f, false))
		}
		require.Equal(t, "i-1", f.servingID(), "a process that announces itself for so long has started since")
	})
}

// While the record of departures cannot be read, one late announcement must not bring back an upstream that left, and an upstream
// that goes on announcing itself accepts calls.
func TestAnnouncementsAreConfirmedWithoutTheRecord(t *testing.T) {
	f := newRestartFixture()
	f.announce(t, "i-1", 0, 1, false)
	f.Deregister("i-1")
	f.restart()
	f.down = true
	f.announce(t, "i-1", 0, 2, false)
	f.announce(t, "i-1", 0, 2, false)
	require.Empty(t, f.servingID(), "the same announcement twice")
	f.now = f.now.Add(time.Second)
	f.announce(t, "i-1", 0, 3, false)
	require.Equal(t, "i-1", f.servingID(), "it goes on announcing itself")
}

func TestDeparturesAreReadOnlyIfNeeded(t *testing.T) {
	f := newRestartFixture()
	f.announce(t, "i-1", 2*time.Second, 1, false)
	require.Zero(t, f.loads, "the upstream started after the node")
	f.announce(t, "i-1", 2*time.Second, 2, true)
	f.announce(t, "i-1", 2*time.Second, 3, true)
	f.Deregister("i-1")
	require.Len(t, f.recorded, 1, "recorded once")
	for i := range uint64(3) {
		f.announce(t, "i-2", 0, 1+i, false)
	}
	require.Equal(t, 1, f.loads)
}

// An upstream that left and goes on announcing itself must not come back once its departure is old.
func TestDepartureIsRememberedWhileItsProcessIsHeard(t *testing.T) {
	f := newRestartFixture()
	f.announce(t, "i-1", 0, 1, false)
	f.announce(t, "i-1", 0, 2, true)
	for sequence := range uint64(2 * departureTTL / time.Second) {
		f.now = f.now.Add(time.Second)
		f.announce(t, "i-1", 0, 3+sequence, false)
		f.Deregister("i-other")
		f.expireSilent()
	}
	require.Empty(t, f.servingID())
}

func TestOldestDepartureIsForgottenFirst(t *testing.T) {
	f := newRestartFixture()
	for i := range maxDepartures + 1 {
		f.now = f.now.Add(time.Millisecond)
		f.Deregister("i-" + strconv.Itoa(i))
	}
	require.Len(t, f.departures, maxDepartures)
	require.NotContains(t, f.departures, "i-0")
	f.now = f.now.Add(departureTTL + time.Second)
	f.Deregister("i-x")
	require.Len(t, f.departures, 1)
	require.True(t, f.hasDeparted(&wirepb.Announcement{Id: "i-x", Started: timestamppb.New(f.now.Add(-time.Second))}))
}
