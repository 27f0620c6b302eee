package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/conf"
)

// Guards against a stop whose first waits use up the stop timeout, so that running calls are cancelled at once, or last beyond it.
func TestStopWaitsWithinTheStopTimeout(t *testing.T) {
	tests := []struct {
		leaveTime, stopTimeout time.Duration
		leave, refuse          time.Duration
	}{
		{300 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond, 900 * time.Millisecond},
		{2300 * time.Millisecond, 10 * time.Minute, 2300 * time.Millisecond, 2900 * time.Millisecond},
		{0, 10 * time.Second, minLeaveDuration, 650 * time.Millisecond},
		{time.Minute, 10 * time.Second, 5 * time.Second, 5600 * time.Millisecond},
		{250 * time.Millisecond, 500 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond},
		{2300 * time.Millisecond, time.Second, 500 * time.Millisecond, time.Second},
		{300 * time.Millisecond, 0, minLeaveDuration, 0},
	}
	for _, tt := range tests {
		t.Run(tt.leaveTime.String()+" "+tt.stopTimeout.String(), func(t *testing.T) {
			leave, refuse := stopWaits(&conf.Settings{LeaveTime: tt.leaveTime, StopTimeout: tt.stopTimeout})
			require.Equal(t, tt.leave, leave)
			require.Equal(t, tt.refuse, refuse)
		})
	}
}
