package node

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against a caller's node that waits until the deadline for an answer that cannot be encoded.
func TestAnswerThatCannotBeEncoded(t *testing.T) {
	for _, outcome := range []wirepb.Outcome{wirepb.Outcome_OUTCOME_ANSWERED, wirepb.Outcome_OUTCOME_UNKNOWN, wirepb.Outcome_OUTCOME_NOT_RUN} {
		t.Run(outcome.String(), func(t *testing.T) {
			sender, receiver := net.Pipe()
			t.Cleanup(func() { _ = receiver.Close() })
			go func() {
				(&Node{logger: zap.NewNop()}).writeAnswer(sender, &wirepb.AnswerHead{
					CallId: "1", Outcome: outcome, Status: 200, Detail: "\xff", Refusal: wirepb.Refusal_REFUSAL_OVERLOADED,
				})
				_ = sender.Close()
			}()
			answer := &wirepb.AnswerHead{}
			require.NoError(t, frame.Read(bufio.NewReader(receiver), answer, 1<<10))
			require.Equal(t, "1", answer.GetCallId())
			want := outcome
			if outcome == wirepb.Outcome_OUTCOME_ANSWERED {
				want = wirepb.Outcome_OUTCOME_UNKNOWN
			}
			require.Equal(t, want, answer.GetOutcome())
			require.Zero(t, answer.GetStatus())
		})
	}
}
