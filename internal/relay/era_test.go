package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// drillRecovery is within what time after the return of the store all nodes must have all changes, and changes are committed again.
const drillRecovery = 8 * time.Second

// rowsTimeout exceeds the time in which the row of a node that started is written: that of pollsPerRowRead polls.
const rowsTimeout = 30 * time.Second

func eraConfig() emul.PlatformConfig {
	return emul.PlatformConfig{PartTransactionsPerSecond: 150, NamesEra: true}
}

// commitAt commits a change that sets a service of its own and reports whether it was accepted.
func (d *virtualDeployment) commitAt(n *virtualNode, name string) bool {
	_, err := n.hub.cfg.Log.Submit(context.Background(), name, func(state *tree.State) (*wirepb.Change, error) {
		return state.NewChange("shop", []*wirepb.Edit{{Path: "/teams/shop/services/" + name, Value: `{"version": "v1"}`}}, time.Now())
	})
	return err == nil
}

// drill makes the store unavailable for a time and lets it come back from a copy that was taken some time before.
func (d *virtualDeployment) drill(copied *emul.StoreCopy, outage time.Duration) {
	d.platform.SetFaults(emul.PlatformFaults{Down: true})
	time.Sleep(outage)
	d.platform.Restore(copied)
	d.platform.SetFaults(emul.PlatformFaults{Delay: platformDelay})
}

// missing returns which of the accepted changes are not in force on which node.
func (d *virtualDeployment) missing(accepted []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, n := range d.nodes {
		for _, name := range accepted {
			if !n.gone && n.hub.cfg.Log.State().Entry("/teams/shop/services/"+name) == nil {
				list = append(list, fmt.Sprintf("%s on %s at %d", name, n.hub.cfg.Node, n.hub.cfg.Log.State().Revision))
			}
		}
	}
	return list
}

// Guards against accepted changes that are lost, against a log that stands still, and against relays and rows that are missing, after the
// store came back from an older copy, also twice in a row and beside the loss of the relays.
func TestStoreComesBackOlder(t *testing.T) {
	tests := []struct {
		name   string
		beside func(d *virtualDeployment, copied *emul.StoreCopy)
	}{
		{"one drill", func(d *virtualDeployment, _ *emul.StoreCopy) {
			// The rows are read in the next poll, which comes within 2.5 s, and not only in the next of pollsPerRowRead polls.
			time.Sleep(3 * time.Second)
			d.requireRowsComplete()
		}},
		{"a second drill 0.7 s later", func(d *virtualDeployment, copied *emul.StoreCopy) {
			time.Sleep(700 * time.Millisecond)
			d.drill(copied, 500*time.Millisecond)
		}},
		{"a second drill 2.5 s later", func(d *virtualDeployment, copied *emul.StoreCopy) {
			time.Sleep(2500 * time.Millisecond)
			d.drill(copied, 500*time.Millisecond)
		}},
		{"relays killed 0.5 s later", func(d *virtualDeployment, _ *emul.StoreCopy) {
			time.Sleep(500 * time.Millisecond)
			for _, n := range d.relays("dc") {
				d.kill(n)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runVirtualOn(t, eraConfig(), nodesPerDataCentre/2, func(d *virtualDeployment) {
				var accepted []string
				commit := func(n *virtualNode, name string) {
					require.True(t, d.commitAt(n, name))
					accepted = append(accepted, name)
				}
				commit(d.nodes[0], "first")
				time.Sleep(rowsTimeout)
				d.requireRowsComplete()
				copied := d.platform.Copy()
				d.start("dc", 1)
				time.Sleep(rowsTimeout)
				d.requireRowsComplete()
				for i := range 4 {
					commit(d.nodes[i%2], fmt.Sprintf("lost-%d", i))
				}
				time.Sleep(100 * time.Millisecond)
				// The last one is known to one node only when the store goes down.
				commit(d.nodes[len(d.nodes)-1], "last")
				d.drill(copied, time.Second)
				tt.beside(d, copied)
				returned := time.Now()
				commit(d.relays("other")[0], "after")
				require.Less(t, time.Since(returned), drillRecovery)
				time.Sleep(drillRecovery - time.Since(returned))
				require.Empty(t, d.missing(accepted))
				d.awaitRelays()
				d.requireRowsComplete()
			})
		})
	}
}

// requireRowsComplete checks that each data centre has its relays and that the rows of all live nodes are in the store.
func (d *virtualDeployment) requireRowsComplete() {
	require.Len(d.t, d.relays("dc"), relaySlots)
	require.Len(d.t, d.relays("other"), relaySlots)
	for _, n := range d.nodes {
		if part := nodeKeyPrefix + n.hub.cfg.DataCentre; !n.gone {
			require.NotNil(d.t, d.platform.SystemRow(part, part+"/"+n.hub.cfg.Node), n.hub.cfg.Node)
		}
	}
}

// awaitRelays waits until the data centre has its relays: the leases of those that were killed lapse, and the first new relay promotes the
// second one.
func (d *virtualDeployment) awaitRelays() {
	for end := time.Now().Add(dataCentreLostTimeout); len(d.relays("dc")) < relaySlots && time.Now().Before(end); {
		time.Sleep(leaseDuration / 4)
	}
}

// Guards against a data centre without relays for the time of a lease, since the copy gives their slots to relays before them.
func TestRelaysKeepTheirLeases(t *testing.T) {
	runVirtualOn(t, eraConfig(), nodesPerDataCentre/2, func(d *virtualDeployment) {
		copied := d.platform.Copy()
		for _, n := range d.relays("dc") {
			d.kill(n)
		}
		d.awaitRelays()
		relays := d.relays("dc")
		require.Len(t, relays, relaySlots)
		d.drill(copied, time.Second)
		for range 10 {
			time.Sleep(leaseDuration / 4)
			for _, n := range relays {
				require.True(t, n.hub.IsRelay(), n.hub.cfg.Node)
			}
		}
		for _, n := range relays {
			require.NotNil(t, n.hub.ownLease(), n.hub.cfg.Node)
		}
	})
}

// Guards against accepted changes that are lost in random drills beside commits at random nodes.
func TestRandomDrills(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runVirtualOn(t, eraConfig(), nodesPerDataCentre/2, func(d *virtualDeployment) { d.requireChangesSurvive(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func (d *virtualDeployment) requireChangesSurvive(r *rand.Rand) {
	const rounds, maxCopyAge, maxOutage, maxPause, maxCut, commitInterval = 3, 3000, 2500, 6000, 5000, 150 * time.Millisecond
	var mu sync.Mutex
	var accepted []string
	ctx, cancel := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	for i, n := range d.nodes[:4] {
		writers.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				name := fmt.Sprintf("c-%d-%d", i, k)
				if d.commitAt(n, name) {
					mu.Lock()
					accepted = append(accepted, name)
					mu.Unlock()
				}
				time.Sleep(commitInterval)
			}
		})
	}
	millis := func(limit int) time.Duration { return time.Duration(r.IntN(limit)) * time.Millisecond }
	for range rounds {
		time.Sleep(millis(maxPause))
		copied := d.platform.Copy()
		// What a node commits while it is cut off from the others is known to no other node when the store goes down.
		d.disrupt(d.nodes[r.IntN(4)], time.Second+millis(maxCut), true, false)
		time.Sleep(millis(maxCopyAge))
		d.drill(copied, millis(maxOutage))
	}
	time.Sleep(drillRecovery)
	cancel()
	writers.Wait()
	time.Sleep(drillRecovery)
	require.NotEmpty(d.t, accepted)
	d.t.Logf("%d changes accepted, %d submitted again, %d dropped", len(accepted), d.sum(true), d.sum(false))
	require.Empty(d.t, d.missing(accepted))
}

// sum returns how many lost changes the nodes submitted again or dropped.
func (d *virtualDeployment) sum(submitted bool) uint64 {
	total := uint64(0)
	for _, n := range d.nodes {
		counters := &n.hub.cfg.Log.Counters
		if submitted {
			total += counters.SubmittedAgain.Load()
		} else {
			total += counters.Dropped.Load()
		}
	}
	return total
}

// Guards against a drill whose cost at the store grows with the nodes instead of with the relays. It prints what docs/CAPACITY.md uses.
func TestCostOfADrill(t *testing.T) {
	const settled, observed, entries, maxPerRelay, maxFixed = 30 * time.Second, 20 * time.Second, 200, 40, 20
	tests := []struct {
		dataCentres, nodes int
	}{{0, 4}, {0, 12}, {0, 24}, {2, 4}, {6, 4}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes beside %d data centres of 2", tt.nodes, tt.dataCentres+1), func(t *testing.T) {
			runVirtualOn(t, eraConfig(), tt.nodes, func(d *virtualDeployment) {
				for i := range tt.dataCentres {
					d.start(fmt.Sprintf("dc%d", i), relaySlots)
				}
				for i := range entries {
					require.True(t, d.commitAt(d.nodes[0], fmt.Sprintf("service-%03d", i)))
				}
				time.Sleep(settled)
				reads, writes, _ := d.costs()
				time.Sleep(observed)
				idleReads, idleWrites, bytes := d.costs()
				copied := d.platform.Copy()
				revision := d.nodes[0].hub.cfg.Log.State().Revision
				d.platform.Restore(copied)
				returned := time.Now()
				established, inForce := time.Duration(0), time.Duration(0)
				for inForce == 0 && time.Since(returned) < observed {
					time.Sleep(10 * time.Millisecond)
					switch have := d.countAbove(revision); {
					case have == len(d.nodes):
						inForce = time.Since(returned)
					case have > 0 && established == 0:
						established = time.Since(returned)
					}
				}
				time.Sleep(observed - time.Since(returned))
				drillReads, drillWrites, drillBytes := d.costs()
				extraReads, extraWrites := drillReads-2*idleReads+reads, drillWrites-2*idleWrites+writes
				t.Logf("%d nodes, %d relays: %d reads and %d writes more than in the %s before, established after %s, on all nodes after %s, %d bytes of snapshots over links (one has %d)",
					len(d.nodes), 2*(tt.dataCentres+2), int64(extraReads), int64(extraWrites), observed, established, inForce, drillBytes-bytes, d.snapshotBytes())
				require.Positive(t, inForce)
				require.Less(t, inForce, drillRecovery)
				require.LessOrEqual(t, int64(extraReads+extraWrites), int64(maxFixed+maxPerRelay*2*(tt.dataCentres+2)))
			})
		})
	}
}

func (d *virtualDeployment) snapshotBytes() int {
	snapshot, err := d.nodes[0].hub.cfg.Log.EncodedSnapshot()
	require.NoError(d.t, err)
	return len(snapshot.Data)
}

// costs returns the operations of the store and the bytes of snapshots that were sent over links, so far.
func (d *virtualDeployment) costs() (reads, writes, snapshotBytes uint64) {
	reads, writes = d.platform.OperationCounts()
	for _, n := range d.nodes {
		snapshotBytes += n.hub.Counters.SentBytes[kindSnapshot].Load()
	}
	return reads, writes, snapshotBytes
}

// countAbove returns how many nodes have a newer revision.
func (d *virtualDeployment) countAbove(revision uint64) int {
	count := 0
	for _, n := range d.nodes {
		if n.hub.cfg.Log.State().Revision > revision {
			count++
		}
	}
	return count
}
