package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/conf"
)

const (
	// checkInterval is the pause between two checks of a condition that a start or a stop waits for.
	checkInterval = 10 * time.Millisecond
	// minLeaveDuration replaces a shorter leave_time; it suffices to accept the connections that wait at the listener.
	minLeaveDuration = 50 * time.Millisecond
	// minIdleDuration is how long the node must have run no call before connections are closed; requests in transit arrive within it.
	minIdleDuration = 150 * time.Millisecond
	// outboundCallsTimeout bounds how long after leave_time requests are still accepted for the outbound calls of the local
	// upstream. With a longer time, requests would be accepted that cannot finish before the stop.
	outboundCallsTimeout = 600 * time.Millisecond
	// cancelTimeout bounds the time to write the responses to cancelled requests and those queued behind them.
	cancelTimeout = 200 * time.Millisecond
	// finalDeliveryDelay lets the last replies, and the record that this node leaves, reach other nodes before the process ends.
	finalDeliveryDelay = 200 * time.Millisecond
	// closeTimeout bounds the time to answer requests that arrive while connections are closed.
	closeTimeout    = 100 * time.Millisecond
	shutdownTimeout = 300 * time.Millisecond
)

// StopTimeoutError reports the number of calls that were still running at the stop timeout.
type StopTimeoutError struct {
	RunningCalls int
	Timeout      time.Duration
}

func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stopped with %d calls still running after the stop timeout of %s", e.RunningCalls, e.Timeout)
}

// stopWaits returns how long after the begin of a stop the node serves as before, and how long at most it accepts requests of callers.
// The first leaves at least half of the stop timeout to running calls.
func stopWaits(settings *conf.Settings) (leave, refuse time.Duration) {
	leave = max(min(settings.LeaveTime, settings.StopTimeout/2), minLeaveDuration)
	return leave, min(leave+outboundCallsTimeout, settings.StopTimeout)
}

// drain takes this node out of service. At first it only reports that it is not ready and continues to serve for leave_time, so
// that callers can change to other nodes. Then it refuses calls from other nodes and reports to them that it leaves. When the
// local upstreams have finished their calls, or after a time that stopWaits bounds, it refuses the requests of callers too and waits
// until no call is running. It returns *StopTimeoutError if calls are still running at the stop timeout.
func (n *Node) drain() error {
	n.stopping.Store(true)
	n.logger.Info("node stopping", zap.Int("calls_running", n.runningCount()))
	started := n.now()
	leaveTime, refuseTime := stopWaits(n.settings)
	n.callerServer.DisableKeepAlives()
	n.quota.Leave()
	// Connections that are waiting for the first configuration must be accepted before the listener is closed.
	<-n.serving
	time.Sleep(leaveTime)
	n.localRegistry.Stop()
	n.quota.Close()
	var leave sync.WaitGroup
	defer leave.Wait()
	leave.Go(func() { n.hub.Leave(context.Background()) })
	// A local upstream makes outbound calls through this node while it finishes its running calls.
	for n.localRegistry.InFlight() > 0 && n.now().Sub(started) < refuseTime {
		time.Sleep(checkInterval)
	}
	n.callerServer.RefuseRequests()
	n.callerServer.StopAccepting(n.callerListener)
	idleSince := n.now()
	for n.now().Sub(started) < n.settings.StopTimeout {
		if n.runningCount() > 0 {
			idleSince = n.now()
		}
		if n.now().Sub(idleSince) >= minIdleDuration {
			return nil
		}
		time.Sleep(checkInterval)
	}
	running := n.runningCount()
	if running == 0 {
		return nil
	}
	n.callerServer.CancelRequests()
	for cancelled := n.now(); n.callerServer.ConnectionCount() > 0 && n.now().Sub(cancelled) < cancelTimeout; {
		time.Sleep(checkInterval)
	}
	return &StopTimeoutError{RunningCalls: running, Timeout: n.settings.StopTimeout}
}

func (n *Node) runningCount() int { return n.proxy.InFlight() + n.localRegistry.InFlight() }

func (n *Node) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = n.callerListener.Close()
	n.callerServer.CloseIdleConnections(closeTimeout)
	if cut := n.callerServer.CloseConnections(); cut > 0 {
		n.logger.Warn("connections closed with requests unanswered", zap.Int("connections", cut))
	}
	for _, s := range servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	time.Sleep(finalDeliveryDelay)
}
