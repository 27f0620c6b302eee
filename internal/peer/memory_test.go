package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against calls from other nodes that take memory which is used up, and against a refused one that runs, or that cannot be told from one
// whose outcome is unknown. The stream serves further calls.
func TestCallWithoutMemoryIsRefusedAndNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := budget.New(budget.Config{Bytes: 8 << 20, Now: time.Now})
	var ran atomic.Int32
	s := NewServer(ServerConfig{
		Listener: listener, MaxHeadBytes: 2 << 20, Budget: b,
		ServeCall: func(ctx context.Context, conn net.Conn, head *wirepb.CallHead) {
			ran.Add(1)
			if budget.FromContext(ctx) == nil {
				t.Error("the call has no account")
			}
			_ = frame.Write(conn, &wirepb.AnswerHead{CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_ANSWERED})
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		require.Zero(t, b.Held())
	})
	running := b.Open()
	defer running.Close()
	require.True(t, running.Take(7<<20))
	stream, err := newPool(t).OpenStream(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	tests := []struct {
		id      string
		body    int
		release bool
		outcome wirepb.Outcome
		refusal wirepb.Refusal
	}{
		{"first", 1 << 20, false, wirepb.Outcome_OUTCOME_NOT_RUN, wirepb.Refusal_REFUSAL_OVERLOADED},
		{"small", 1 << 10, false, wirepb.Outcome_OUTCOME_ANSWERED, wirepb.Refusal_REFUSAL_UNSPECIFIED},
		{"second", 1 << 20, false, wirepb.Outcome_OUTCOME_NOT_RUN, wirepb.Refusal_REFUSAL_OVERLOADED},
		{"third", 1 << 20, true, wirepb.Outcome_OUTCOME_ANSWERED, wirepb.Refusal_REFUSAL_UNSPECIFIED},
	}
	for _, tt := range tests {
		if tt.release {
			running.Close()
		}
		call := &wirepb.CallHead{CallId: tt.id, Service: "shop", Body: make([]byte, tt.body)}
		require.NoError(t, stream.Send(t.Context(), &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: call}}))
		answer := &wirepb.AnswerHead{}
		require.NoError(t, frame.Read(stream.Reader, answer, maxHeadBytes))
		require.Equal(t, tt.id, answer.GetCallId())
		require.Equal(t, tt.outcome, answer.GetOutcome(), tt.id)
		require.Equal(t, tt.refusal, answer.GetRefusal(), tt.id)
	}
	require.EqualValues(t, 2, ran.Load())
}
