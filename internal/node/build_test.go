package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/relay"
)

// Guards against a removed key that is accepted for longer than revoke, since a relay counts as current for a time after it last read.
func TestRevocationAgeLeavesTimeForTheRelay(t *testing.T) {
	require.Zero(t, revocationAge(&conf.Settings{PollInterval: time.Second, Revoke: 5 * time.Second}))
	for _, revoke := range []time.Duration{2 * time.Second, 5 * time.Second, time.Minute} {
		for _, poll := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			s := &conf.Settings{PollInterval: poll, Revoke: revoke, StrictRevocation: true}
			require.LessOrEqual(t, revocationAge(s)+relay.MaxUnread(pollInterval(s)), revoke, "%s, polled each %s", revoke, poll)
			require.GreaterOrEqual(t, revocationAge(s), revoke/3)
		}
	}
}
