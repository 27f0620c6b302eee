package local

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against calls of a new version being no evidence for seconds after its cold start, although its upstreams announce how
// long they are cold.
func TestColdStartEndsAsAnnounced(t *testing.T) {
	announced := func(seconds ...int) []*durationpb.Duration {
		list := make([]*durationpb.Duration, 0, len(seconds))
		for _, s := range seconds {
			list = append(list, durationpb.New(time.Duration(s)*time.Second))
		}
		return list
	}
	tests := []struct {
		name string
		// coldLeft holds what is announced, one second after the other.
		coldLeft []*durationpb.Duration
		// wantWarm is the time since the first announcement at which calls are warm; it is negative if that is not known.
		wantWarm time.Duration
	}{
		{"nothing announced", []*durationpb.Duration{nil, nil}, -1},
		{"warm from the start", announced(0), 0},
		{"cold at first", announced(3, 2), 3 * time.Second},
		{"a delayed announcement gives a later time", announced(3, 3, 3), 3 * time.Second},
		{"the first announcement was delayed", announced(3, 1), 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newRegistryFixture()
			first := f.now
			for i, left := range tt.coldLeft {
				f.now = first.Add(time.Duration(i) * time.Second)
				require.NoError(t, f.Announce(&wirepb.Announcement{
					Id: "i-1", Service: "shop", Version: "v2", Address: "127.0.0.1:1", Slots: 2, Connections: 2,
					Started: timestamppb.New(first), Sequence: uint64(i + 1), ColdLeft: left,
				}))
			}
			head := &wirepb.CallHead{Service: "shop"}
			u := f.leastLoaded(head)
			if tt.wantWarm < 0 {
				require.False(t, f.observation(u, head, first.Add(time.Hour)).ColdStartOver)
				return
			}
			require.False(t, f.observation(u, head, first.Add(tt.wantWarm-1)).ColdStartOver)
			require.True(t, f.observation(u, head, first.Add(tt.wantWarm)).ColdStartOver)
		})
	}
}
