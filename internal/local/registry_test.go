package local

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// announcements are those of upstreams that tell their identity, start and sequence.
type announcements struct {
	*Registry
	now time.Time
}

func newAnnouncements() *announcements {
	a := &announcements{now: time.Unix(1_700_000_000, 0)}
	a.Registry = New(Config{
		Logger: zap.NewNop(), Now: func() time.Time { return a.now }, QueueFactor: 1, MaxBodyBytes: maxBody,
		AnnounceInterval: time.Second, OnUpstreamsChange: func([]*wirepb.MemberUpstream) {},
	})
	return a
}

func (a *announcements) tell(t *testing.T, id string, started time.Duration, sequence uint64, leaving bool) {
	t.Helper()
	require.NoError(t, a.Announce(&wirepb.Announcement{
		Id: id, Service: "shop", Version: "v1", Address: "127.0.0.1:1", Slots: 2, Connections: 2,
		Started: timestamppb.New(time.Unix(1_700_000_000, 0).Add(started)), Sequence: sequence, Leaving: leaving,
	}))
}

// serving returns the id of the upstream that takes calls, or nothing.
func (a *announcements) serving() string {
	if u := a.find(&wirepb.CallHead{Service: "shop"}); u != nil {
		return u.id
	}
	return ""
}

func TestAnnouncementsInOrder(t *testing.T) {
	tests := []struct {
		name string
		tell func(t *testing.T, a *announcements)
		want string
	}{
		{"one that was overtaken by the leave", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 1, false)
			a.tell(t, "i-1", 0, 3, true)
			a.tell(t, "i-1", 0, 2, false)
		}, ""},
		{"one that was overtaken by a leave that this life of the node heard first", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 3, true)
			a.tell(t, "i-1", 0, 2, false)
		}, ""},
		{"one that comes after its upstream left without an announcement", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 1, false)
			a.now = a.now.Add(time.Second)
			a.Deregister("i-1")
			a.tell(t, "i-1", 0, 2, false)
		}, ""},
		{"one of an upstream that left before this life of the node heard of it", func(t *testing.T, a *announcements) {
			t.Helper()
			a.now = a.now.Add(time.Second)
			a.Deregister("i-1")
			a.tell(t, "i-1", 0, 2, false)
		}, ""},
		{"one of the life before", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-2", time.Second, 1, false)
			a.tell(t, "i-1", 0, 9, false)
		}, "i-2"},
		{"the leave of the life before", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-2", time.Second, 1, false)
			a.tell(t, "i-1", 0, 9, true)
		}, "i-2"},
		{"the same id, started again", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 9, true)
			a.tell(t, "i-1", time.Second, 1, false)
		}, "i-1"},
		{"the same id, started again after it left", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 9, false)
			a.now = a.now.Add(time.Second)
			a.Deregister("i-1")
			a.tell(t, "i-1", 2*time.Second, 1, false)
		}, "i-1"},
		{"another one in its place", func(t *testing.T, a *announcements) {
			t.Helper()
			a.tell(t, "i-1", 0, 9, false)
			a.tell(t, "i-2", time.Second, 1, false)
		}, "i-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAnnouncements()
			tt.tell(t, a)
			require.Equal(t, tt.want, a.serving())
		})
	}
}

func TestSilence(t *testing.T) {
	a := newAnnouncements()
	a.tell(t, "i-1", 0, 1, false)
	a.now = a.now.Add(3 * time.Second)
	a.expireSilent()
	require.Equal(t, "i-1", a.serving(), "announcements may be two intervals late")
	a.now = a.now.Add(2 * time.Second)
	a.expireSilent()
	require.Empty(t, a.serving())
	a.tell(t, "i-1", 0, 2, false)
	require.Equal(t, "i-1", a.serving(), "an upstream that was only silent takes calls again")
}
