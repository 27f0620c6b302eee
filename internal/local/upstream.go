package local

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	connectTimeout = time.Second
	probeTimeout   = 250 * time.Millisecond
	// freshTime is the uptime below which an upstream cannot have had calls through an earlier life of this node.
	freshTime = 10 * time.Second
)

// upstream is one upstream beside this node; leaving, left and heard are guarded by the registry.
type upstream struct {
	// id is empty for an upstream that does not tell it.
	id string
	// started and sequence order announcements, where upstreams tell them.
	started     time.Time
	sequence    uint64
	service     string
	version     string
	address     netip.AddrPort
	slots       uint32
	connections uint32
	leaving     bool
	// silent says that it left because nothing was heard of it.
	silent bool
	left   time.Time
	heard  time.Time

	// fresh says that the upstream had no call before its first announcement here.
	fresh   bool
	gate    *admit.Limiter
	conns   *conns
	headers *wirepb.HeaderNames
	// firstCall is the time of the first call in nanoseconds, or 0.
	firstCall atomic.Int64
	// lastCrash is the time of the newest counted crash in nanoseconds.
	lastCrash atomic.Int64
}

func newUpstream(address netip.AddrPort, a *wirepb.Announcement, cfg Config) *upstream {
	u := &upstream{
		id: a.GetId(), sequence: a.GetSequence(),
		service: a.GetService(), version: a.GetVersion(), address: address,
		slots: a.GetSlots(), connections: a.GetConnections(), heard: cfg.Now(),
		fresh: a.GetUptime() != nil && a.GetUptime().AsDuration() < freshTime,
		gate: admit.NewLimiter(admit.Config{
			Slots: int(a.GetSlots()), QueueSize: int(a.GetSlots()) * cfg.QueueFactor, Now: cfg.Now,
		}),
		conns: newConns(address, cfg.Now), headers: cfg.Headers,
	}
	if a.GetStarted() != nil {
		u.started = a.GetStarted().AsTime()
	}
	return u
}

func (u *upstream) same(a *wirepb.Announcement) bool {
	return u.id == a.GetId() && u.startedAt(a) && u.service == a.GetService() && u.version == a.GetVersion() &&
		u.slots == a.GetSlots() && u.connections == a.GetConnections()
}

// startedAt reports whether an announcement is of the same start of the upstream.
func (u *upstream) startedAt(a *wirepb.Announcement) bool {
	return a.GetStarted() == nil || u.started.Equal(a.GetStarted().AsTime())
}

// stale reports whether an announcement was overtaken by one that is known already.
func (u *upstream) stale(a *wirepb.Announcement) bool {
	switch {
	case a.GetStarted() == nil || u.started.IsZero():
		return false
	case a.GetStarted().AsTime().Before(u.started):
		return true
	default:
		return u.startedAt(a) && u.id == a.GetId() && a.GetSequence() <= u.sequence
	}
}

func (u *upstream) exposure() Exposure {
	return Exposure{Service: u.service, Version: u.version, InFlight: u.gate.Running()}
}

// age returns the time since the upstream's first call, which this may be.
func (u *upstream) age(now time.Time) time.Duration {
	u.firstCall.CompareAndSwap(0, now.UnixNano())
	return time.Duration(now.UnixNano() - u.firstCall.Load())
}

// accepts reports whether the upstream's address takes connections.
func (u *upstream) accepts() bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(context.Background(), "tcp", u.address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (u *upstream) close() { u.conns.close() }
