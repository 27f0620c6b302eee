package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// soakSeeds names the variable with the first and the last seed, as in 1-50; CI runs the default ones.
	soakSeeds        = "TURMERICDALE_SOAK_SEEDS"
	defaultSoakSeeds = "1-2"
	soakTime         = 10 * time.Second
	// settleTime is how long nodes may take after the last fault until all routes answer: the users' bound after a loss
	// of power.
	settleTime = 15 * time.Second
	// answerSlack is how long after a route's timeout its final answer may come, by the users' bound.
	answerSlack = 500 * time.Millisecond
	// disturbedTime is how long the effects of a fault of a node last: three times a missed beat of a link.
	disturbedTime = 3 * time.Second
)

// soak injects random faults into a deployment, several at a time, and keeps what may excuse a failed request.
type soak struct {
	*deployment
	wires []*emul.FaultProxy
	wait  sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// busy holds the nodes whose process is being disturbed, lives how often each was started.
	busy  map[string]bool
	lives map[string]int
	// harmed holds the times in which callers of a node may see broken connections: its process was killed or stood still.
	harmed   map[netip.AddrPort][]span
	accepted uint64
}

type span struct {
	from, to time.Time
}

// regressions are seeds that failed once, each with a line on the cause.
var regressions = map[uint64]string{
	35: "a node that stopped before its first configuration reset the callers that waited for it",
	42: "connect reset at a stop",
}

func TestSoak(t *testing.T) {
	seeds := os.Getenv(soakSeeds)
	if seeds == "" {
		seeds = defaultSoakSeeds
	}
	first, last, found := strings.Cut(seeds, "-")
	require.True(t, found, "%s must be as in 1-50", soakSeeds)
	from, err := strconv.ParseUint(first, 10, 32)
	require.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 32)
	require.NoError(t, err)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("seed %d, %s", seed, cause), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	t.Parallel()
	s := &soak{
		deployment: newDeployment(t), random: rand.New(rand.NewPCG(seed, 0)),
		busy: map[string]bool{}, lives: map[string]int{}, harmed: map[netip.AddrPort][]span{},
	}
	inner := netip.AddrPortFrom(s.address.Addr(), s.address.Port()+1)
	s.serve(inner, s.platform.Handler())
	s.wireTo(s.address, inner)
	s.begin(func(v emul.VM) emul.UpstreamConfig {
		s.wireTo(v.UpstreamAddress(2), v.UpstreamAddress(0))
		return emul.UpstreamConfig{AnnouncedAddress: v.UpstreamAddress(2)}
	})
	watched := s.watch()
	wait := s.call(soakTime+settleTime/3, orderLoads...)
	s.disturbAll()
	s.wait.Wait()
	s.calm()
	s.requireSettled()
	events := wait()
	watched()
	t.Logf("callers: %+v", emul.NewReport(events))
	s.requireHistory(events)
	s.requireNothingCut(events)
}

// wireTo carries the connections of an address to a target.
func (s *soak) wireTo(address, target netip.AddrPort) {
	listener, err := net.Listen("tcp", address.String())
	require.NoError(s.t, err)
	w := emul.NewFaultProxy(target)
	s.wires = append(s.wires, w)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Serve(ctx, listener)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// disturbAll starts a fault every moment; each lasts a time of its own, so that they overlap.
func (s *soak) disturbAll() {
	faults := []func(){
		s.killNode, s.freezeNode, s.stopNode, s.stopNode, s.reload,
		s.disturbPlatform, s.disturbWire, s.disturbWire, s.changeSettings,
	}
	for end := time.Now().Add(soakTime); time.Now().Before(end); time.Sleep(s.draw(100, 600)) {
		s.wait.Go(faults[s.pick(len(faults))])
	}
}

func (s *soak) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// draw returns a time between two numbers of milliseconds.
func (s *soak) draw(least, most int) time.Duration {
	return time.Duration(least+s.pick(most-least)) * time.Millisecond
}

// withNode runs a fault on a node that no other fault has in its hands.
func (s *soak) withNode(fault func(v emul.VM, cmd *exec.Cmd)) {
	v := s.vms[s.pick(len(s.vms))]
	s.mu.Lock()
	taken, cmd := s.busy[v.Node], s.nodes[v.Node]
	s.busy[v.Node] = true
	s.mu.Unlock()
	if taken {
		return
	}
	fault(v, cmd)
	s.mu.Lock()
	s.busy[v.Node] = false
	s.mu.Unlock()
}

// restart starts a node whose process has ended.
func (s *soak) restart(v emul.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[v.Node]++
	s.startNode(v)
}

func (s *soak) harm(v emul.VM, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harmed[v.CallerAddress()] = append(s.harmed[v.CallerAddress()], span{from: from, to: time.Now()})
}

func (s *soak) killNode() {
	s.withNode(func(v emul.VM, cmd *exec.Cmd) {
		defer s.harm(v, time.Now())
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		time.Sleep(s.draw(50, 800))
		s.restart(v)
	})
}

func (s *soak) freezeNode() {
	s.withNode(func(v emul.VM, cmd *exec.Cmd) {
		defer s.harm(v, time.Now())
		_ = cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(s.draw(100, 2500))
		_ = cmd.Process.Signal(syscall.SIGCONT)
	})
}

func (s *soak) stopNode() {
	s.withNode(func(v emul.VM, cmd *exec.Cmd) {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		time.Sleep(s.draw(10, 300))
		s.restart(v)
	})
}

func (s *soak) reload() {
	s.withNode(func(_ emul.VM, cmd *exec.Cmd) { _ = cmd.Process.Signal(syscall.SIGHUP) })
}

func (s *soak) disturbPlatform() {
	s.platform.SetFaults([]emul.PlatformFaults{
		{Down: true}, {Delay: 150 * time.Millisecond}, {ResponseLossRate: 0.4}, {ResponseLossRate: 0.2, Delay: 40 * time.Millisecond},
	}[s.pick(4)])
	time.Sleep(s.draw(300, 2500))
	s.platform.SetFaults(emul.PlatformFaults{})
}

func (s *soak) disturbWire() {
	w := s.wires[s.pick(len(s.wires))]
	if s.pick(4) == 0 {
		w.ResetConnections(0.5)
		return
	}
	w.SetFaults([]emul.ConnectionFaults{{Delay: 30 * time.Millisecond}, {HoldToTarget: true}, {HoldFromTarget: true}, {StallProbability: 0.3}}[s.pick(4)])
	time.Sleep(s.draw(200, 1500))
	w.SetFaults(emul.ConnectionFaults{})
}

// changeSettings makes a change at some node, which may be unable to commit it.
func (s *soak) changeSettings() {
	v, timeout := s.vms[s.pick(len(s.vms))], 1000+s.pick(900)
	ctx, cancel := context.WithTimeout(context.Background(), inForceTime)
	defer cancel()
	reply, err := s.api(v).Change(ctx, &wirepb.ChangeRequest{Edits: []*wirepb.Edit{{
		Path:  "/teams/shop/routes/probe",
		Value: fmt.Sprintf(`{"path_prefix": "/probe", "service": "shop", "idempotent": true, "timeout": "%dms"}`, timeout),
	}}})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = max(s.accepted, reply.GetRevision())
}

func (s *soak) calm() {
	s.platform.SetFaults(emul.PlatformFaults{})
	for _, w := range s.wires {
		w.SetFaults(emul.ConnectionFaults{})
	}
}

// watch checks that no node goes back to an older revision in one life; the function that it returns ends that.
func (s *soak) watch() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for _, v := range s.vms {
		wait.Go(func() {
			newest, life := uint64(0), -1
			for ; ctx.Err() == nil; time.Sleep(5 * pollTime) {
				before := s.life(v)
				revision := s.status(v).GetAppliedRevision()
				if before != s.life(v) || revision == 0 {
					continue
				}
				if before != life {
					newest, life = 0, before
				}
				if revision < newest {
					s.t.Errorf("%s went back from revision %d to %d", v.Node, newest, revision)
				}
				newest = revision
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

func (s *soak) life(v emul.VM) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lives[v.Node]
}

// requireSettled checks that all is well again after the last fault, with every accepted change in force.
func (s *soak) requireSettled() {
	s.t.Helper()
	for _, v := range s.vms {
		s.awaitRoute(v, settleTime)
		s.await(inForceTime, "accepted changes on "+v.Node, func() bool { return s.status(v).GetAppliedRevision() >= s.accepted })
	}
}

// requireNothingCut checks that only nodes that were killed or stood still break connections or leave requests unanswered.
func (s *soak) requireNothingCut(events []emul.RequestRecord) {
	s.t.Helper()
	for _, e := range events {
		if e.Error == "" || isRefusedConnection(e.Error) || s.wasHarmed(e) {
			continue
		}
		s.t.Errorf("request cut: %+v", e)
	}
	const longest = 3*time.Second + answerSlack
	for _, e := range events {
		if e.Latency > longest && !s.wasHarmed(e) {
			s.t.Errorf("answered late: %+v", e)
		}
	}
}

func (s *soak) wasHarmed(e emul.RequestRecord) bool {
	for _, h := range s.harmed[e.Address] {
		if e.Sent.Before(h.to.Add(disturbedTime)) && e.Sent.Add(e.Latency).After(h.from) {
			return true
		}
	}
	return false
}
