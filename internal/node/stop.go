package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	drainPoll = 10 * time.Millisecond
	// acceptTime suffices to accept the callers that wait at the listener when a node stops.
	acceptTime = 50 * time.Millisecond
	// quietTime is how long nothing may have run before the connections close: calls on their way arrive within it.
	quietTime = 150 * time.Millisecond
	// ownCallsTime is how long callers are still taken for the sake of the calls that the upstream makes itself: longer
	// would bring requests that cannot end before the stop.
	ownCallsTime = 600 * time.Millisecond
	// abortTime is how long the answers of calls that were broken off, and those behind them, may take to be written.
	abortTime = 200 * time.Millisecond
	// lingerTime lets answers and the news of the leave reach the other nodes.
	lingerTime   = 200 * time.Millisecond
	closeTimeout = 300 * time.Millisecond
)

// StopTimeoutError says how many calls were still running when the bounded wait of a planned stop ended.
type StopTimeoutError struct {
	RunningCalls int
	Timeout      time.Duration
}

func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stopped with %d calls running after waiting %s", e.RunningCalls, e.Timeout)
}

// drain takes this node out of service. First it only says that it takes no callers, and goes on serving callers and
// other nodes until the callers have been told; then it announces the leave and waits until nothing runs.
func (n *Node) drain() error {
	n.stopping.Store(true)
	n.logger.Info("node stops", zap.Int("running", n.running()))
	started := n.now()
	n.front.DisableKeepAlives()
	// Callers that have been waiting for the first configuration are answered, too.
	<-n.serving
	time.Sleep(max(n.settings.LeaveTime, acceptTime))
	n.registry.Stop()
	var leave sync.WaitGroup
	defer leave.Wait()
	leave.Go(func() { n.hub.Leave(context.Background()) })
	// The upstream beside this node makes calls of its own through it while it finishes what it runs.
	for n.registry.InFlight() > 0 && n.now().Sub(started) < n.settings.LeaveTime+ownCallsTime {
		time.Sleep(drainPoll)
	}
	_ = n.callers.Close()
	n.front.RefuseRequests()
	idleSince := n.now()
	for n.now().Sub(started) < n.settings.StopTimeout {
		if n.running() > 0 {
			idleSince = n.now()
		}
		if n.now().Sub(idleSince) >= quietTime {
			return nil
		}
		time.Sleep(drainPoll)
	}
	running := n.running()
	if running == 0 {
		return nil
	}
	n.front.CancelRequests()
	for aborted := n.now(); n.front.ConnectionCount() > 0 && n.now().Sub(aborted) < abortTime; {
		time.Sleep(drainPoll)
	}
	return &StopTimeoutError{RunningCalls: running, Timeout: n.settings.StopTimeout}
}

func (n *Node) running() int { return n.proxy.InFlight() + n.registry.InFlight() }

func (n *Node) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.callers.Close()
	n.front.CloseConnections()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	time.Sleep(lingerTime)
}
