package wait

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name  string
		state wirepb.MoveState
		moved bool
		ended bool
		code  int
	}{
		{"running", wirepb.MoveState_MOVE_STATE_RUNNING, false, false, factory.ExitOK},
		{"watching", wirepb.MoveState_MOVE_STATE_WATCHING, false, false, factory.ExitOK},
		{"watching, with --moved", wirepb.MoveState_MOVE_STATE_WATCHING, true, true, factory.ExitOK},
		{"done", wirepb.MoveState_MOVE_STATE_DONE, false, true, factory.ExitOK},
		{"taken back", wirepb.MoveState_MOVE_STATE_TAKEN_BACK, false, true, factory.ExitTakenBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			opts := &Options{Service: "shop", UntilMoved: tt.moved}
			ended, err := opts.ended(&wirepb.MoveRecord{State: tt.state})
			require.Equal(t, tt.ended, ended)
			require.Equal(t, tt.code, factory.ExitCode(err))
		})
	}
	require.Equal(t, factory.ExitWaitTimeout, factory.ExitCode(&factory.WaitTimeoutError{}))
}
