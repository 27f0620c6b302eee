package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// coldRate is the rate of calls that the service declares for cold upstreams, coldSlack how many calls more may arrive in a second.
	coldRate  = 13
	coldSlack = 8
	coldStart = 3 * time.Second
	// evacuationTimeout is the required limit for calls to an evacuated data centre to end.
	evacuationTimeout = 5 * time.Second
)

// Guards against upstreams that start during traffic getting more calls in a second than they survive, from all nodes together: all those
// of one data centre, so that there is no other near its callers.
func TestColdUpstreamGetsNoMoreCallsThanAllowedFromAllNodes(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.change("/teams/shop/services/shop", `{"version": "v1", "cold_start": "3s", "cold_rate": 13}`)
	wait := d.sendLoad(9*time.Second, emul.Load{Path: "/shop", Rate: 300})
	<-time.After(time.Second)
	var started []time.Time
	restarted := []emul.VM{d.vms[0], d.vms[2]}
	for _, v := range restarted {
		started = append(started, time.Now())
		d.replaceUpstream(v, emul.UpstreamConfig{AnnouncedColdStart: coldStart})
	}
	records := wait()
	d.requireConsistentHistory(records)
	requireAllOK(t, records)
	for i, v := range restarted {
		cold, warm := mostInSecond(d.upstreams[v.UpstreamAddress(0)].Arrivals(), started[i].Add(coldStart))
		t.Logf("most calls to %s in a second: %d while cold, %d afterwards", v.Node, cold, warm)
		require.LessOrEqual(t, cold, coldRate+coldSlack)
		require.Positive(t, cold, "cold upstreams of a cold data centre get calls")
		require.Greater(t, warm, coldRate+coldSlack, "the limit ends")
	}
}

// mostInSecond returns the greatest numbers of arrivals in one second that ends before a time, and in one that begins after it.
func mostInSecond(arrivals []time.Time, divide time.Time) (before, after int) {
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < time.Second && (at.Before(divide) || !first.Before(divide)) {
				count++
			}
		}
		if first.Before(divide) {
			before = max(before, count)
		} else {
			after = max(after, count)
		}
	}
	return before, after
}

// Guards against calls that reach an upstream of an evacuated data centre, and against an evacuation that fails callers or does not end.
func TestEvacuatedDataCentreGetsNoCalls(t *testing.T) {
	t.Parallel()
	const evacuated = "dc-a"
	d := startDeployment(t)
	wait := d.sendLoad(12*time.Second, emul.Load{Path: "/shop", Rate: 150})
	<-time.After(time.Second)
	path := tree.EvacuationPath(evacuated)
	d.change(path, `{}`)
	acknowledged := time.Now()
	for _, v := range d.vms {
		d.await(evacuationTimeout, "evacuation on "+v.Node, func() bool {
			status := d.status(v)
			return len(status.GetEvacuated()) == 1 && status.GetEvacuated()[0] == evacuated
		})
	}
	<-time.After(time.Until(acknowledged.Add(evacuationTimeout + 2*time.Second)))
	_, err := d.adminClient(d.vms[0]).Change(context.Background(), &wirepb.ChangeRequest{Edits: []*wirepb.Edit{{Path: path, Delete: true}}})
	require.NoError(t, err)
	ended := time.Now()
	records := wait()
	d.requireConsistentHistory(records)
	requireAllOK(t, records)
	for _, v := range d.vms {
		if v.DataCentre != evacuated || v.Service != "shop" {
			continue
		}
		var last time.Time
		resumed := false
		for _, at := range d.upstreams[v.UpstreamAddress(0)].Arrivals() {
			if at.Before(ended) {
				last = at
			}
			resumed = resumed || at.After(ended)
		}
		t.Logf("last call to %s %s after the evacuation was ordered", v.Node, last.Sub(acknowledged))
		require.LessOrEqual(t, last.Sub(acknowledged), evacuationTimeout)
		require.True(t, resumed, "%s gets calls again", v.Node)
	}
	for _, v := range d.vms {
		response, err := http.Get("http://" + v.CallerAddress().String() + "/shop")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}
