package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

// watchRevisions polls all nodes until the returned function is called, which fails the test if the applied revision of a
// process went back.
func (d *deployment) watchRevisions() func() {
	stop, done := make(chan struct{}), make(chan string, 1)
	go func() {
		newest := map[int]uint64{}
		for {
			select {
			case <-stop:
				done <- ""
				return
			default:
			}
			for _, v := range d.vms {
				status := d.status(v)
				if status == nil {
					continue
				}
				process := int(v.BaseAddress.Port())<<32 + int(status.GetLife()&0xffffffff)
				if status.GetAppliedRevision() < newest[process] {
					done <- fmt.Sprintf("%s went back from revision %d to %d", v.Node, newest[process], status.GetAppliedRevision())
					return
				}
				newest[process] = status.GetAppliedRevision()
			}
		}
	}()
	return func() {
		close(stop)
		require.Empty(d.t, <-done)
	}
}

// requireInForce checks that all running nodes apply an accepted revision in time, and returns how long they took.
func (d *deployment) requireInForce(revision uint64, acceptedAt time.Time) time.Duration {
	d.t.Helper()
	for _, v := range d.vms {
		if d.nodes[v.Node] == nil {
			continue
		}
		d.await(inForceTimeout, "the revision on "+v.Node, func() bool { return d.status(v).GetAppliedRevision() >= revision })
	}
	took := time.Since(acceptedAt)
	require.Less(d.t, took, inForceTimeout)
	return took
}

// requireChangeInForce makes a change at the i-th node, or the next one that runs, and checks that it is in force in time.
func (d *deployment) requireChangeInForce(i int) {
	d.t.Helper()
	writer := d.vms[i%len(d.vms)]
	for d.nodes[writer.Node] == nil {
		i++
		writer = d.vms[i%len(d.vms)]
	}
	revision := d.changeAt(writer, "/teams/shop/routes/extra", fmt.Sprintf(`{"path_prefix": "/extra%d", "service": "shop"}`, i))
	d.t.Logf("revision %d in force on all nodes after %s", revision, d.requireInForce(revision, time.Now()))
}

func TestAcceptedChangeComesIntoForce(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	stop := d.watchRevisions()
	defer stop()

	t.Run("without faults", func(*testing.T) {
		for i := range 5 {
			d.requireChangeInForce(i)
		}
	})
	t.Run("with a relay killed", func(*testing.T) {
		killed := d.awaitRelays("a relay", 1, d.relays)[0]
		d.kill(killed.Node)
		d.requireChangeInForce(1)
		d.startNode(killed)
		d.await(startTimeout, "restart of "+killed.Node, func() bool { return d.status(killed).GetLinks() > 0 })
		d.requireChangeInForce(2)
	})
	t.Run("with a relay frozen past its lease", func(*testing.T) {
		frozen := d.awaitRelays("a relay", 1, d.relays)[0]
		d.signal(frozen.Node, syscall.SIGSTOP)
		cmd := d.nodes[frozen.Node]
		delete(d.nodes, frozen.Node)
		for i := range 3 {
			d.requireChangeInForce(i + 3)
		}
		d.await(startTimeout, "two relays in each data centre", func() bool { return len(d.relays()) == 4 })
		d.nodes[frozen.Node] = cmd
		d.signal(frozen.Node, syscall.SIGCONT)
		d.requireChangeInForce(6)
	})
	t.Run("with platform responses lost", func(*testing.T) {
		d.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.5})
		for i := range 5 {
			d.requireChangeInForce(i + 7)
		}
		d.platform.SetFaults(emul.PlatformFaults{})
	})
	t.Run("with the platform down after the change is accepted", func(*testing.T) {
		revision := d.change("/teams/shop/routes/extra", `{"path_prefix": "/down", "service": "shop"}`)
		d.platform.SetFaults(emul.PlatformFaults{Down: true})
		d.requireInForce(revision, time.Now())
		d.platform.SetFaults(emul.PlatformFaults{})
	})
}

// relaysIn returns the VMs of a data centre whose nodes are relays.
func (d *deployment) relaysIn(dataCentre string) []emul.VM {
	var list []emul.VM
	for _, v := range d.relays() {
		if v.DataCentre == dataCentre {
			list = append(list, v)
		}
	}
	return list
}

func TestLossOfBothRelaysOfADataCentre(t *testing.T) {
	tests := []struct {
		name string
		fail func(d *deployment, v emul.VM)
	}{
		{"killed", func(d *deployment, v emul.VM) { d.kill(v.Node) }},
		{"frozen", func(d *deployment, v emul.VM) {
			d.signal(v.Node, syscall.SIGSTOP)
			cmd := d.nodes[v.Node]
			d.t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
			delete(d.nodes, v.Node)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			inDataCentre := func() []emul.VM { return d.relaysIn("dc-a") }
			for _, v := range d.awaitRelays("two relays in the data centre", 2, inDataCentre) {
				tt.fail(d, v)
			}
			d.requireChangeInForce(1)
			d.await(startTimeout, "a new relay in the data centre", func() bool { return len(d.relaysIn("dc-a")) == 1 })
			d.requireChangeInForce(2)
			d.await(startTimeout, "the failed nodes to count as down", func() bool {
				relays := d.relays()
				return len(relays) > 0 && int(d.status(relays[0]).GetMembers()) == len(d.nodes)
			})
		})
	}
}
