package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

// relayNames returns the names of all relays.
func (d *virtualDeployment) relayNames() []string {
	var names []string
	for _, n := range d.nodes {
		if n.hub.IsRelay() {
			names = append(names, n.hub.cfg.Node)
		}
	}
	return names
}

// Guards against relays that lose their leases to other nodes after a silence of the platform in which nobody could renew them.
func TestRelaysKeepTheirLeasesInASilence(t *testing.T) {
	for _, silence := range []time.Duration{leaseDuration / 2, leaseDuration, 3 * leaseDuration} {
		t.Run(silence.String(), func(t *testing.T) {
			runVirtual(t, func(d *virtualDeployment) {
				before := d.relayNames()
				require.Len(t, before, 2*relaySlots)
				d.platform.SetFaults(emul.PlatformFaults{Silent: true})
				for range int(silence / beatInterval) {
					time.Sleep(beatInterval)
					for _, n := range d.nodes {
						require.Empty(t, n.hub.promotionCandidate(), n.hub.cfg.Node)
					}
				}
				d.platform.SetFaults(emul.PlatformFaults{Delay: platformDelay})
				for range int(leaseDuration / beatInterval) {
					time.Sleep(beatInterval)
					require.Equal(t, before, d.relayNames())
				}
			})
		})
	}
}
