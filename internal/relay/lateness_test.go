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
	"sync/atomic"
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
	// lossInterval is the time between the losses of two levels of nodes. It is too short for those below to notice the first one.
	lossInterval = 1100 * time.Millisecond
)

// virtualDeployment runs the nodes of two data centres on a network in memory and in virtual time.
type virtualDeployment struct {
	t        *testing.T
	network  *emul.Network
	platform *emul.Platform
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	nodes    []*virtualNode

	// mu guards the fields of the nodes that change.
	mu sync.Mutex
}

type virtualNode struct {
	hub     *Hub
	address netip.AddrPort
	// calmSince is when the node started or the last disruption of its own ended.
	calmSince time.Time
	stop      func()
	// gone means that the node is not to be judged any more, disrupted that it isn't for now.
	gone      bool
	goneAt    time.Time
	disrupted bool
	// platformCut means that the node cannot reach the platform.
	platformCut *atomic.Bool
}

// runVirtual runs a test on a deployment that has settled.
func runVirtual(t *testing.T, test func(d *virtualDeployment)) {
	t.Helper()
	runVirtualOn(t, emul.PlatformConfig{PartTransactionsPerSecond: 150}, nodesPerDataCentre, test)
}

// runVirtualOn is runVirtual for a platform and for a number of nodes in the larger data centre.
func runVirtualOn(t *testing.T, cfg emul.PlatformConfig, nodes int, test func(d *virtualDeployment)) {
	t.Helper()
	dropTimers()
	defer dropTimers()
	synctest.Test(t, func(t *testing.T) {
		platform := emul.NewPlatform(cfg)
		platform.SetFaults(emul.PlatformFaults{Delay: platformDelay})
		dial, stop := platform.ServeInMemory()
		d := &virtualDeployment{t: t, network: emul.NewNetwork(), platform: platform, dial: dial}
		defer func() {
			for _, n := range d.nodes {
				n.stop()
			}
			stop()
			// Requests that the platform is delaying end.
			time.Sleep(settleDuration)
		}()
		d.start("other", 2)
		d.start("dc", nodes)
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
	platformCut := &atomic.Bool{}
	client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.dial(ctx, network, address)
		return &cuttableConn{Conn: conn, cut: platformCut}, err
	}})
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
	return &virtualNode{hub: h, address: address, calmSince: time.Now(), platformCut: platformCut, stop: sync.OnceFunc(func() {
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
	d.setGone(n)
	d.end(n)
}

func (d *virtualDeployment) setGone(n *virtualNode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.gone = true
	n.goneAt = time.Now()
}

func (d *virtualDeployment) end(n *virtualNode) {
	d.network.Kill(n.address)
	go n.stop()
}

func (d *virtualDeployment) silence(n *virtualNode) {
	d.setGone(n)
	d.network.Silence(n.address)
}

// disrupt cuts a node off from the other nodes, from the platform or from both for a time.
func (d *virtualDeployment) disrupt(n *virtualNode, duration time.Duration, nodes, platform bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.disrupted {
		return
	}
	n.disrupted = true
	if nodes {
		d.network.Silence(n.address)
	}
	n.platformCut.Store(platform)
	time.AfterFunc(duration, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !n.gone {
			d.network.Restore(n.address)
		}
		n.platformCut.Store(false)
		n.calmSince, n.disrupted = time.Now(), false
	})
}

// cuttableConn is a connection to the platform on which requests are lost while its node is cut off from it.
type cuttableConn struct {
	net.Conn

	cut *atomic.Bool
}

// Write implements net.Conn.
func (c *cuttableConn) Write(data []byte) (int, error) {
	if c.cut.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
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
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, n := range d.nodes {
		if !n.gone && !n.disrupted && n.hub.cfg.Log.State().Revision < revision && time.Since(n.calmSince) >= inTouchDuration {
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

// Guards against a configuration that comes into force late on nodes whose ancestors fall silent one level after another, so that the
// times after which each level notices add up (CONFIG).
func TestChangeComesIntoForceAfterLossOfOneLevelAfterAnother(t *testing.T) {
	const rounds = 3
	for range rounds {
		runVirtual(t, requireChangeInForceAfterLosses)
	}
}

func requireChangeInForceAfterLosses(d *virtualDeployment) {
	var below []*virtualNode
	for _, n := range d.nodes {
		if n.hub.cfg.DataCentre == "dc" && n.hub.Depth() == 1 {
			below = append(below, n)
		}
	}
	for _, n := range d.relays("dc") {
		d.silence(n)
	}
	revision, err := d.commit()
	require.NoError(d.t, err)
	time.Sleep(lossInterval)
	for _, n := range below {
		d.silence(n)
	}
	time.Sleep(configApply - lossInterval)
	require.Empty(d.t, d.late(revision))
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

// injectEvent kills, silences, starts, stops or cuts off nodes of the data centre, some of them for a time.
func (d *virtualDeployment) injectEvent(r *rand.Rand) {
	const share, maxStarted, maxLeaveTime, minDisruption, maxDisruption = 0.15, 4, 1500, 300, 6000
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
	passing := func(nodes, platform bool) {
		duration := time.Duration(minDisruption+r.IntN(maxDisruption-minDisruption)) * time.Millisecond
		hit(func(n *virtualNode) { d.disrupt(n, duration, nodes, platform) })
	}
	switch r.IntN(9) {
	case 0:
		hit(d.kill)
	case 1:
		hit(d.silence)
	case 2, 3:
		d.start("dc", 1+r.IntN(maxStarted))
	case 4:
		hit(func(n *virtualNode) {
			d.setGone(n)
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
	case 6:
		passing(true, true)
	case 7:
		passing(false, true)
	case 8:
		passing(true, false)
	}
}
