package proof

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

const (
	// limitBindsAfter is the time that the nodes have to act on a limit, limitWindow the time over which calls are counted.
	limitBindsAfter = time.Second
	limitWindow     = 4 * time.Second
	// maxLimitFactor and maxLimitSlack bound the calls in limitWindow: so many times the limit, and so many more.
	maxLimitFactor = 1.5
	maxLimitSlack  = 5
)

// mostInWindow returns the greatest number of arrivals in a limitWindow that begins after a time.
func mostInWindow(arrivals []time.Time, after time.Time) int {
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if !first.Before(after) && at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against an upstream that named a limit getting more calls than it allows (LIMIT), from all nodes together and also after the
// node beside it was killed and started again.
func TestNamedLimitIsKeptByAllNodes(t *testing.T) {
	t.Parallel()
	const perSecond = 10
	d := startDeployment(t)
	killed := d.vms[0]
	var otherNodes []netip.AddrPort
	for _, v := range d.vms[1:] {
		otherNodes = append(otherNodes, v.CallerAddress())
	}
	wait := d.sendLoadTo(14*time.Second, otherNodes, emul.Load{Path: "/shop", Rate: 300})
	limited := []*runningUpstream{d.upstreams[d.vms[0].UpstreamAddress(0)], d.upstreams[d.vms[1].UpstreamAddress(0)]}
	for _, u := range limited {
		d.await(startTimeout, "calls to the upstream", func() bool { return len(u.Arrivals()) > 20 })
		u.SetNotices(emul.Notices{Limit: perSecond})
	}
	named := time.Now()
	<-time.After(limitWindow)
	d.kill(killed.Node)
	d.startNode(killed)
	records := wait()
	d.requireConsistentHistory(records)
	requireAllOK(t, records)
	bound := int(maxLimitFactor*perSecond*limitWindow.Seconds()) + maxLimitSlack
	for _, u := range limited {
		most := mostInWindow(u.Arrivals(), named.Add(limitBindsAfter))
		t.Logf("most calls in %s: %d of %d allowed", limitWindow, most, bound)
		require.LessOrEqual(t, most, bound)
		require.Greater(t, most, perSecond, "the upstream gets calls")
	}
}

// Guards against calls that reach an upstream for longer than it takes to stop after it said in a response that it is leaving (DRAIN),
// although it goes on announcing itself.
func TestUpstreamThatSaysItLeavesGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	leaving := d.upstreams[d.vms[0].UpstreamAddress(0)]
	wait := d.sendLoad(8*time.Second, emul.Load{Path: "/shop", Rate: 300})
	d.await(startTimeout, "calls to the upstream", func() bool { return len(leaving.Arrivals()) > 20 })
	said := time.Now()
	leaving.SetNotices(emul.Notices{Leaving: true})
	records := wait()
	last := leaving.Arrivals()[len(leaving.Arrivals())-1]
	t.Logf("last call %s after the upstream said that it leaves", last.Sub(said))
	require.LessOrEqual(t, last.Sub(said), stopNoticeTimeout)
	d.requireConsistentHistory(records)
	requireAllOK(t, records)
}
