package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The users' bound on repeats: in any window, a service gets at most this share of the calls that were sent to it, and a
// slack, beyond the first arrival of each call.
const (
	boundRatio  = 0.2
	boundWindow = 10 * time.Second
)

// meshLoad is the load of a simulated deployment: callers call the front service, whose upstreams call the back service.
// Between shedFrom and shedUntil, the upstreams of the back service shed a share of their calls.
type meshLoad struct {
	nodes         int
	callsPerNode  float64
	slack         float64
	shedShare     float64
	frontShed     float64
	callsPerFront int
}

const (
	simulatedDuration = 24 * time.Second
	shedFrom          = 6 * time.Second
	shedUntil         = 14 * time.Second
	binDuration       = 500 * time.Millisecond
	concurrentCalls   = 4
	maxMeshTries      = 4
	frontService      = "front"
	backService       = "back"
)

func (l meshLoad) shedShareAt(service string, now time.Duration) float64 {
	switch {
	case now < shedFrom || now >= shedUntil:
		return 0
	case service == backService:
		return l.shedShare
	default:
		return l.frontShed
	}
}

// meshCounts counts what the upstreams of one service see, by bin.
type meshCounts struct {
	calls   [simulatedDuration / binDuration]int
	repeats [simulatedDuration / binDuration]int
	served  int
}

// requireBound checks that no window has more repeats than the bound allows. The calls of a window are those in it or in the
// one before it, whichever are more.
func (m *meshCounts) requireBound(t *testing.T, slack float64) {
	t.Helper()
	const bins = int(boundWindow / binDuration)
	calls := func(from int) int { return sumOf(m.calls[max(from, 0):max(from+bins, 0)]) }
	worst := 0.0
	for from := 0; from+bins <= len(m.calls); from++ {
		repeats, counted := sumOf(m.repeats[from:from+bins]), max(calls(from), calls(from-bins), calls(from-bins/2))
		require.LessOrEqual(t, float64(repeats), boundRatio*float64(counted)+slack, "window at %s: %d calls", time.Duration(from)*binDuration, counted)
		worst = max(worst, float64(repeats)/(boundRatio*float64(counted)+slack))
	}
	t.Logf("calls %d, served %d, repeats %d, worst window %.2f of the bound", sumOf(m.calls[:]), m.served, sumOf(m.repeats[:]), worst)
}

func sumOf(list []int) int {
	sum := 0
	for _, n := range list {
		sum += n
	}
	return sum
}

// simulateMesh plays a load through the retry budgets of all nodes and returns what the upstreams of both services see.
func simulateMesh(load meshLoad) map[string]*meshCounts {
	random := rand.New(rand.NewPCG(uint64(load.nodes), 7))
	counts := map[string]*meshCounts{frontService: {}, backService: {}}
	now := time.Duration(0)
	budgets := make([]*retryBudget, load.nodes)
	for i := range budgets {
		budgets[i] = newRetryBudget(RetryBudgetConfig{
			Ratio: boundRatio, Reserve: 3, Slack: load.slack, CountNodes: func() int { return load.nodes },
			Now: func() time.Time { return time.Time{}.Add(now) },
		})
	}
	// running holds which of the calls that an upstream runs at the same time are repeats. Its node knows only their share.
	running := make([][concurrentCalls]bool, load.nodes)
	seemsRepeated := func(upstream int) bool { return running[upstream][random.IntN(concurrentCalls)] }
	var call func(node int, service string, repeated, seemsToBe bool) bool
	call = func(node int, service string, repeated, seemsToBe bool) bool {
		counted, bin := counts[service], int(now/binDuration)
		counted.calls[bin]++
		budgets[node].deposit(service)
		if seemsToBe {
			budgets[node].charge(service)
		}
		for try := range maxMeshTries {
			if try > 0 && !budgets[node].withdraw(service) {
				return false
			}
			if repeated = repeated || try > 0; repeated {
				counted.repeats[bin]++
			}
			if random.Float64() < load.shedShareAt(service, now) {
				continue
			}
			if service == frontService {
				upstream := random.IntN(load.nodes)
				running[upstream][random.IntN(concurrentCalls)] = seemsToBe || try > 0
				for range load.callsPerFront {
					if !call(upstream, backService, repeated, seemsRepeated(upstream)) {
						return false
					}
				}
			}
			counted.served++
			return true
		}
		return false
	}
	perBin := load.callsPerNode * float64(load.nodes) * binDuration.Seconds()
	for ; now < simulatedDuration; now += binDuration {
		for range int(perBin) {
			call(random.IntN(load.nodes), frontService, false, false)
		}
	}
	return counts
}

// A service whose upstreams all shed at the same moment must not get more repeats than the users allow, whatever the number of
// nodes, and neither must the services that its callers' upstreams call: a repeated call makes its own calls once more.
func TestRetryBudgetHoldsInSynchronizedShed(t *testing.T) {
	tests := []struct {
		nodes        int
		callsPerNode float64
		slack        float64
	}{
		{16, 30, 62},
		{68, 30, 178},
		{295, 10, 630},
		{23_000, 1, 2000},
	}
	sheds := []struct {
		name        string
		front, back float64
	}{
		{"a quarter of the back service", 0, 0.25},
		{"half of the back service", 0, 0.55},
		{"a quarter of both services", 0.25, 0.25},
		{"half of the front service", 0.5, 0},
	}
	for _, tt := range tests {
		for _, shed := range sheds {
			t.Run(fmt.Sprintf("%d nodes, %s", tt.nodes, shed.name), func(t *testing.T) {
				counts := simulateMesh(meshLoad{
					nodes: tt.nodes, callsPerNode: tt.callsPerNode, slack: tt.slack, shedShare: shed.back, frontShed: shed.front, callsPerFront: 2,
				})
				for _, service := range []string{frontService, backService} {
					counts[service].requireBound(t, tt.slack)
				}
			})
		}
	}
}
