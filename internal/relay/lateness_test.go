package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// configApply is the users' shortest bound from the acknowledgement of a configuration to its coming into force.
	configApply = 2 * time.Second
	// settleDuration is the time in which the links of a deployment that starts have formed.
	settleDuration = 15 * time.Second
	platformDelay  = 4 * time.Millisecond
	// inTouchDuration is how long a node must have run to be judged.
	inTouchDuration    = 3 * time.Second
	nodesPerDataCentre = 24
)

// virtualDeployment runs the nodes of two data centres on a network in memory and in virtual time.
type virtualDeployment struct {
	t       *testing.T
	network *emul.Network
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	nodes   []*virtualNode
}

type virtualNode struct {
	hub     *Hub
	address netip.AddrPort
	started time.Time
	stop    func()
	// gone means that the node is not to be judged any more.
	gone bool
}

// runVirtual runs a test on a deployment that has settled.
func runVirtual(t *testing.T, test func(d *virtualDeployment)) {
	t.Helper()
	dropTimers()
	defer dropTimers()
	synctest.Test(t, func(t *testing.T) {
		platform := emul.NewPlatform(emul.PlatformConfig{PartTransactionsPerSecond: 150})
		platform.SetFaults(emul.PlatformFaults{Delay: platformDelay})
		dial, stop := platform.ServeInMemory()
		d := &virtualDeployment{t: t, network: emul.NewNetwork(), dial: dial}
		defer func() {
			for _, n := range d.nodes {
				n.stop()
			}
			stop()
			// Requests that the platform is delaying end.
			time.Sleep(settleDuration)
		}()
		d.start("other", 2)
		d.start("dc", nodesPerDataCentre)
		time.Sleep(settleDuration)
		test(d)
	})
}

// dropTimers empties the pool from which yamux takes its timers: those of one bubble must not be used in another. Two collections empty a
// sync.Pool.
func dropTimers() {
	runtime.GC()
	runtime.GC()
}

// start starts the nodes of a data centre.
func (d *virtualDeployment) start(dataCentre string, count int) {
	for range count {
		number := len(d.nodes) + 1
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
		d.nodes = append(d.nodes, d.startNode(fmt.Sprintf("%s-%02d", dataCentre, number), dataCentre, address))
	}
}

func (d *virtualDeployment) startNode(name, dataCentre string, address netip.AddrPort) *virtualNode {
	client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: d.dial})
	pool := peer.NewPool(peer.PoolConfig{Now: time.Now, Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.network.Dial(ctx, address, to)
	}})
	self := &wirepb.MemberRecord{Node: name, Life: uint64(time.Now().UnixNano()), Sequence: 1, DataCentre: dataCentre, PeerAddress: address.String()}
	h := New(Config{
		Node: name, DataCentre: dataCentre, PeerAddress: address, MaxChildren: 4, PollInterval: 2 * time.Second,
		Logger: zap.NewNop(), Now: time.Now, Store: client, Log: oplog.New(oplog.Config{Store: client, Logger: zap.NewNop(), Now: time.Now}),
		Members: member.New(member.Config{Self: self, Now: time.Now}), Verdicts: move.NewVerdicts(), Pool: pool,
	})
	server := peer.NewServer(peer.ServerConfig{
		Listener: d.network.Listen(address), MaxHeadBytes: 1 << 20, ServeLink: h.ServeLink, HandleInvitation: h.HandleInvitation,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	run := func(task func(ctx context.Context)) {
		go func() {
			task(ctx)
			done <- struct{}{}
		}()
	}
	run(func(ctx context.Context) { _ = server.Serve(ctx) })
	run(h.Run)
	run(h.cfg.Log.RunCommitter)
	return &virtualNode{hub: h, address: address, started: time.Now(), stop: sync.OnceFunc(func() {
		cancel()
		for range cap(done) {
			<-done
		}
		pool.Close()
		client.Close()
	})}
}

// relays returns the relays of a data centre.
func (d *virtualDeployment) relays(dataCentre string) []*virtualNode {
	var list []*virtualNode
	for _, n := range d.nodes {
		if n.hub.cfg.DataCentre == dataCentre && n.hub.IsRelay() && !n.gone {
			list = append(list, n)
		}
	}
	return list
}

func (d *virtualDeployment) kill(n *virtualNode) {
	n.gone = true
	d.end(n)
}

func (d *virtualDeployment) end(n *virtualNode) {
	d.network.Kill(n.address)
	go n.stop()
}

func (d *virtualDeployment) silence(n *virtualNode) {
	n.gone = true
	d.network.Silence(n.address)
}

// commit commits a change at a relay of the other data centre and returns its revision.
func (d *virtualDeployment) commit() (uint64, error) {
	log := d.relays("other")[0].hub.cfg.Log
	return log.Submit(context.Background(), time.Now().String(), func(state *tree.State) (*wirepb.Change, error) {
		edit := &wirepb.Edit{Path: "/teams/shop/services/shop", Value: fmt.Sprintf(`{"version": "v1", "cold_start": "%ds"}`, state.Revision%60)}
		return state.NewChange("shop", []*wirepb.Edit{edit}, time.Now())
	})
}

// late returns the nodes on which a revision is not in force, except those that started within inTouchDuration.
func (d *virtualDeployment) late(revision uint64) []string {
	var names []string
	for _, n := range d.nodes {
		if !n.gone && n.hub.cfg.Log.State().Revision < revision && time.Since(n.started) >= inTouchDuration {
			names = append(names, fmt.Sprintf("%s at depth %d with %d links", n.hub.cfg.Node, n.hub.Depth(), n.hub.LinkCount()))
		}
	}
	return names
}

// Guards against a configuration that comes into force late on nodes whose relays are lost (CONFIG).
func TestChangeComesIntoForceAfterLossOfBothRelays(t *testing.T) {
	tests := []struct {
		name string
		lose func(d *virtualDeployment, n *virtualNode)
	}{
		{"no loss", func(*virtualDeployment, *virtualNode) {}},
		{"killed", (*virtualDeployment).kill},
		{"silent", (*virtualDeployment).silence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runVirtual(t, func(d *virtualDeployment) {
				relays := d.relays("dc")
				require.Len(t, relays, relaySlots)
				for _, n := range relays {
					tt.lose(d, n)
				}
				revision, err := d.commit()
				require.NoError(t, err)
				time.Sleep(configApply)
				require.Empty(t, d.late(revision))
			})
		})
	}
}

// Guards against a configuration that comes into force late on nodes that take each other for a way to a relay while nodes come, go and
// are lost (CONFIG).
func TestChangesComeIntoForceBesideLosses(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runVirtual(t, func(d *virtualDeployment) { d.requireChangesInForce(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// seeds returns the seeds of the variable TURMERICDALE_RELAY_SEEDS, a range such as 1-50, or a few.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	first, last := uint64(1), uint64(2)
	if text := os.Getenv("TURMERICDALE_RELAY_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	var list []uint64
	for seed := first; seed <= last; seed++ {
		list = append(list, seed)
	}
	return list
}

// requireChangesInForce commits changes while random events hit the data centre, and requires that each of them comes into force within
// the users' bound.
func (d *virtualDeployment) requireChangesInForce(r *rand.Rand) {
	const duration, check = 25 * time.Second, 10 * time.Millisecond
	type commit struct {
		revision uint64
		at       time.Time
	}
	commits := make(chan commit, 1)
	var pending []commit
	next := time.Now()
	for end := next.Add(duration); time.Now().Before(end); time.Sleep(check) {
		if now := time.Now(); now.After(next) {
			next = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
			d.injectEvent(r)
			go func() {
				if revision, err := d.commit(); err == nil {
					commits <- commit{revision: revision, at: time.Now()}
				}
			}()
		}
		select {
		case c := <-commits:
			pending = append(pending, c)
		default:
		}
		for len(pending) > 0 && time.Since(pending[0].at) >= configApply {
			require.Empty(d.t, d.late(pending[0].revision))
			pending = pending[1:]
		}
	}
	for time.Sleep(settleDuration); len(commits) > 0; {
		<-commits
	}
}

// injectEvent kills, silences, starts or stops nodes of the data centre.
func (d *virtualDeployment) injectEvent(r *rand.Rand) {
	const share, maxStarted, maxLeaveTime = 0.15, 4, 1500
	var live []*virtualNode
	for _, n := range d.nodes {
		if n.hub.cfg.DataCentre == "dc" && !n.gone {
			live = append(live, n)
		}
	}
	hit := func(event func(n *virtualNode)) {
		for _, n := range live[min(len(live), 2):] {
			if r.Float64() < share {
				event(n)
			}
		}
	}
	switch r.IntN(6) {
	case 0:
		hit(d.kill)
	case 1:
		hit(d.silence)
	case 2, 3:
		d.start("dc", 1+r.IntN(maxStarted))
	case 4:
		hit(func(n *virtualNode) {
			n.gone = true
			leaveTime := time.Duration(r.IntN(maxLeaveTime)) * time.Millisecond
			go func() {
				n.hub.Leave(context.Background())
				time.Sleep(leaveTime)
				d.end(n)
			}()
		})
	case 5:
		for _, n := range d.relays("dc") {
			d.kill(n)
		}
	}
}
