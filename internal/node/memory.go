package node

import (
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/conf"
)

const (
	// descriptorReserveDivisor gives the part of the descriptors that callers cannot use: upstreams, other nodes, the platform and operators
	// need up to two for each other node of a small deployment and one for each running call.
	descriptorReserveDivisor = 4
	// shortagesLogged is the number of decisions for lack of memory that are logged per second.
	shortagesLogged = 2
)

// newBudget returns the memory for callers. It is not limited if neither memory_limit_bytes nor the memory of the machine is known: the node
// would have to refuse requests for a guess.
func newBudget(s *conf.Settings, logger *zap.Logger, now clock) *budget.Budget {
	if s.MemoryLimitBytes == 0 {
		return nil
	}
	size, reserve := budget.Sizes(s.SoftMemoryLimit(), s.MaxBodyBytes)
	logger.Info("memory for callers limited", zap.Int64("bytes", size), zap.Int64("reserve_bytes", reserve),
		zap.Int64("memory_limit_bytes", s.MemoryLimitBytes), zap.Int64("soft_limit_bytes", s.SoftMemoryLimit()))
	limiter := rate.NewLimiter(shortagesLogged, shortagesLogged)
	return budget.New(budget.Config{Bytes: size, ReserveBytes: reserve, Now: now, OnShortage: func(decision string, held int64) {
		if limiter.Allow() {
			logger.Info("memory for callers is short", zap.String("decision", decision), zap.Int64("held_bytes", held), zap.Int64("bytes", size))
		}
	}})
}

// maxCallerConnections returns how many connections callers may have, given the descriptors of the process; zero means those that the
// operating system allows.
func maxCallerConnections(descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, conf.MaxDescriptors))
	}
	return descriptors - descriptors/descriptorReserveDivisor
}

// newAcceptFailureLog returns a function that logs, within bounds, that the process has no descriptor for a connection of a caller.
func (n *Node) newAcceptFailureLog() func(err error) {
	limiter := rate.NewLimiter(shortagesLogged, shortagesLogged)
	return func(err error) {
		if limiter.Allow() {
			n.logger.Warn("could not accept connection of a caller", zap.Error(err))
		}
	}
}

// registerCallerMetrics registers the metrics of the memory and the connections of callers.
func (n *Node) registerCallerMetrics() {
	m, b, s := n.metrics, n.budget, n.callerServer
	m.RegisterGauge("caller_connections", "Open connections of callers.", func() float64 { return float64(s.ConnectionCount()) })
	m.RegisterCounter("caller_connections_closed_idle_total", "Idle connections of callers that were closed for new ones.", nil, func() float64 { return float64(s.ClosedIdle.Load()) })
	m.RegisterCounter("caller_connections_refused_total", "Connections of callers for which there was no descriptor or memory.", nil, func() float64 { return float64(s.RefusedConnections.Load()) })
	m.RegisterCounter("caller_accept_failures_total", "Times that the process had no descriptor for a connection of a caller.", nil, func() float64 { return float64(s.AcceptFailures.Load()) })
	m.RegisterCounter("peer_accept_failures_total", "Times that the process had no descriptor for a session of a node.", nil, func() float64 { return float64(n.peerServer.AcceptFailures.Load()) })
	if b == nil {
		return
	}
	m.RegisterGauge("caller_memory_bytes", "Memory that is charged to callers.", func() float64 { return float64(b.Held()) })
	m.RegisterCounter("caller_memory_refused_total", "Requests, calls and connections refused for lack of memory.", nil, func() float64 { return float64(b.Counters.Refused.Load()) })
	m.RegisterCounter("caller_memory_dropped_total", "Requests and connections dropped for others when memory was short.", nil, func() float64 { return float64(b.Counters.Dropped.Load()) })
	m.RegisterCounter("caller_memory_waits_total", "Responses that waited for memory.", nil, func() float64 { return float64(b.Counters.Waited.Load()) })
}
