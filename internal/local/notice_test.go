package local

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	limitHeader   = "Limit"
	leavingHeader = "Leaving"
)

// noticeFixture is a registry with a manual clock and one upstream that announces its start.
type noticeFixture struct {
	*Registry
	now      time.Time
	started  time.Time
	address  string
	sequence uint64
	// announcesUptime means that the upstream announces its uptime instead of its start time.
	announcesUptime bool
	published       [][]*wirepb.MemberUpstream
}

func newNoticeFixture(t *testing.T, handler http.HandlerFunc, announcesUptime bool) *noticeFixture {
	t.Helper()
	f := &noticeFixture{announcesUptime: announcesUptime, now: time.Unix(1_700_000_000, 0), started: time.Unix(1_700_000_000, 0), address: serve(t, handler)}
	f.Registry = New(Config{
		Logger: zap.NewNop(), Now: func() time.Time { return f.now }, QueueFactor: 1, MaxBodyBytes: maxBodyBytes,
		Headers: &wirepb.HeaderNames{
			RequestId: HeaderCallID, TimeLeft: HeaderTimeLeft, ExpectedUpstream: "Expected", NotRun: "Not-Run", Limit: limitHeader, Leaving: leavingHeader,
		},
		CheckExposure:     func(Exposure) wirepb.Refusal { return wirepb.Refusal_REFUSAL_UNSPECIFIED },
		Observe:           func(Observation) func(Observation) { return func(Observation) {} },
		OnUpstreamsChange: func(list []*wirepb.MemberUpstream) { f.published = append(f.published, list) },
	})
	f.announce(t)
	return f
}

func (f *noticeFixture) announce(t *testing.T) {
	t.Helper()
	f.sequence++
	announcement := &wirepb.Announcement{Id: "i-1", Service: "shop", Version: "v1", Address: f.address, Slots: 2, Connections: 4}
	if f.announcesUptime {
		announcement.Uptime = durationpb.New(f.now.Sub(f.started))
	} else {
		announcement.Started, announcement.Sequence = timestamppb.New(f.started), f.sequence
	}
	require.NoError(t, f.Announce(announcement))
}

// Guards against calls that reach an upstream after it said in a response that it is leaving (DRAIN), whatever it announces then.
func TestUpstreamThatSaysItLeavesGetsNoFurtherCalls(t *testing.T) {
	for _, announced := range []string{"start time", "uptime"} {
		t.Run("announces its "+announced, func(t *testing.T) { testUpstreamThatSaysItLeaves(t, announced == "uptime") })
	}
}

func testUpstreamThatSaysItLeaves(t *testing.T, announcesUptime bool) {
	t.Helper()
	tests := []struct {
		name        string
		respond     func(w http.ResponseWriter)
		wantsLeaves bool
	}{
		{"in the response to a call that ran", func(w http.ResponseWriter) { w.Header().Set(leavingHeader, "1") }, true},
		{"in a failure", func(w http.ResponseWriter) {
			w.Header().Set(leavingHeader, "1")
			w.WriteHeader(http.StatusInternalServerError)
		}, true},
		{"in the response to a call that it did not run", func(w http.ResponseWriter) {
			w.Header().Set(leavingHeader, "1")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"in a response of another upstream at its address", func(w http.ResponseWriter) {
			w.Header().Set(leavingHeader, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, false},
		{"not at all", func(http.ResponseWriter) {}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			f := newNoticeFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				tt.respond(w)
			}, announcesUptime)
			f.Call(t.Context(), newHead())
			require.Equal(t, tt.wantsLeaves, len(f.published[len(f.published)-1]) == 0, "published upstreams")
			for range 30 {
				f.now = f.now.Add(f.silenceTimeout() / 2)
				f.announce(t)
				f.expireSilent()
			}
			answer := f.Call(t.Context(), newHead())
			require.Equal(t, tt.wantsLeaves, answer.GetRefusal() == wirepb.Refusal_REFUSAL_NO_UPSTREAM)
			require.Equal(t, tt.wantsLeaves, calls.Load() == 1, "%d calls", calls.Load())
		})
	}
}

// Guards against an upstream that named a limit getting more calls than it allows from all nodes together (LIMIT): those of other
// nodes arrive here, too.
func TestLimitOfAnUpstreamBoundsItsCalls(t *testing.T) {
	const perSecond, offeredPerSecond, duration = 10, 50, 12
	var calls, limited atomic.Int64
	f := newNoticeFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if limited.Load() > 0 {
			w.Header().Set(limitHeader, "10.0")
		}
	}, false)
	offer := func() (refused int) {
		before := calls.Load()
		for range duration * offeredPerSecond {
			f.now = f.now.Add(time.Second / offeredPerSecond)
			answer := f.Call(t.Context(), newHead())
			if answer.GetRefusal() == wirepb.Refusal_REFUSAL_OVERLOADED {
				require.False(t, answer.GetArrived())
				require.Positive(t, answer.GetAvailableIn().AsDuration())
				refused++
			}
		}
		require.Equal(t, int64(duration*offeredPerSecond), calls.Load()-before+int64(refused), "a refused call does not reach the upstream")
		return refused
	}
	require.Zero(t, offer(), "no limit named")
	limited.Store(1)
	require.InDelta(t, duration*(offeredPerSecond-perSecond), offer(), perSecond)
	limit := f.Status()[0].Limit
	require.NotNil(t, limit)
	require.InDelta(t, perSecond, *limit, 0)
	limited.Store(0)
	require.InDelta(t, 0, offer(), offeredPerSecond/perSecond, "the limit ends with the first response that does not name it")
	require.Nil(t, f.Status()[0].Limit)
}

func TestParseLimit(t *testing.T) {
	tests := []struct {
		text  string
		want  float64
		named bool
		valid bool
	}{
		{"", 0, false, true}, {"12.5", 12.5, true, true}, {"0", 0, true, true}, {"-1", 0, false, false}, {"NaN", 0, false, false}, {"many", 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			header := http.Header{}
			if tt.text != "" {
				header.Set(limitHeader, tt.text)
			}
			perSecond, named, valid := parseLimit(header, limitHeader)
			require.Equal(t, tt.valid, valid)
			require.Equal(t, tt.named, named)
			require.InDelta(t, tt.want, perSecond, 0)
		})
	}
}
