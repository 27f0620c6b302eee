package local

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// registryFixture is a registry with a manual clock, whose upstreams announce an id, a start time and a sequence.
type registryFixture struct {
	*Registry
	now time.Time
}

func newRegistryFixture() *registryFixture {
	f := &registryFixture{now: time.Unix(1_700_000_000, 0)}
	f.Registry = New(Config{
		Logger: zap.NewNop(), Now: func() time.Time { return f.now }, QueueFactor: 1, MaxBodyBytes: maxBodyBytes,
		AnnounceInterval: time.Second, OnUpstreamsChange: func([]*wirepb.MemberUpstream) {},
	})
	return f
}

func (f *registryFixture) announce(t *testing.T, id string, started time.Duration, sequence uint64, leaving bool) {
	t.Helper()
	require.NoError(t, f.Announce(&wirepb.Announcement{
		Id: id, Service: "shop", Version: "v1", Address: "127.0.0.1:1", Slots: 2, Connections: 2,
		Started: timestamppb.New(time.Unix(1_700_000_000, 0).Add(started)), Sequence: sequence, Leaving: leaving,
	}))
}

// servingID returns the id of the upstream that accepts calls, or an empty string.
func (f *registryFixture) servingID() string {
	if u := f.leastLoaded(&wirepb.CallHead{Service: "shop"}); u != nil {
		return u.id
	}
	return ""
}

// Announcements may arrive late and in any order. One that was overtaken must neither bring back an upstream that left nor
// replace or deregister a newer one at its address.
func TestOutOfOrderAnnouncements(t *testing.T) {
	tests := []struct {
		name     string
		announce func(t *testing.T, f *registryFixture)
		want     string
	}{
		{"announcement older than the leave", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.announce(t, "i-1", 0, 3, true)
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announcement older than a leave that the node received first", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 3, true)
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announcement of an upstream that was deregistered", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 1, false)
			f.now = f.now.Add(time.Second)
			f.Deregister("i-1")
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announcement of an upstream that was deregistered before its first announcement", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.now = f.now.Add(time.Second)
			f.Deregister("i-1")
			f.announce(t, "i-1", 0, 2, false)
		}, ""},
		{"announcement of the previous upstream at the address", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-2", time.Second, 1, false)
			f.announce(t, "i-1", 0, 9, false)
		}, "i-2"},
		{"leave of the previous upstream at the address", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-2", time.Second, 1, false)
			f.announce(t, "i-1", 0, 9, true)
		}, "i-2"},
		{"same id restarted after it announced its leave", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 9, true)
			f.announce(t, "i-1", time.Second, 1, false)
		}, "i-1"},
		{"same id restarted after it was deregistered", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 9, false)
			f.now = f.now.Add(time.Second)
			f.Deregister("i-1")
			f.announce(t, "i-1", 2*time.Second, 1, false)
		}, "i-1"},
		{"another upstream at the same address", func(t *testing.T, f *registryFixture) {
			t.Helper()
			f.announce(t, "i-1", 0, 9, false)
			f.announce(t, "i-2", time.Second, 1, false)
		}, "i-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newRegistryFixture()
			tt.announce(t, f)
			require.Equal(t, tt.want, f.servingID())
		})
	}
}

// Guards against an upstream that its node refuses although the operator may declare its service and version.
func TestAnnouncedNames(t *testing.T) {
	tests := []struct {
		service, version string
		allowed          bool
	}{
		{"shop", "v1", true},
		{"x--" + strings.Repeat("5f", 78), "v1", true},
		{strings.Repeat("s", 161), "v1", false},
		{"shop", "1.4.2+build.7", true},
		{"shop", "1.4.2 build", false},
		{"shop", "+1", false},
		{"shop", "", false},
		{"", "v1", false},
	}
	for _, tt := range tests {
		t.Run(tt.service+" "+tt.version, func(t *testing.T) {
			err := newRegistryFixture().Announce(&wirepb.Announcement{
				Service: tt.service, Version: tt.version, Address: "127.0.0.1:1", Slots: 2, Connections: 2,
			})
			require.Equal(t, tt.allowed, err == nil, err)
		})
	}
}

func TestSilentUpstreamExpires(t *testing.T) {
	f := newRegistryFixture()
	f.announce(t, "i-1", 0, 1, false)
	f.now = f.now.Add(3 * time.Second)
	f.expireSilent()
	require.Equal(t, "i-1", f.servingID(), "announcements may be late by two intervals")
	f.now = f.now.Add(2 * time.Second)
	f.expireSilent()
	require.Empty(t, f.servingID())
	f.announce(t, "i-1", 0, 2, false)
	require.Equal(t, "i-1", f.servingID(), "an upstream that was only silent accepts calls again")
}
