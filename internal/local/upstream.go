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
	// maxFreshUptime is the uptime below which an upstream cannot have received calls from an earlier incarnation
	// of this node.
	maxFreshUptime = 10 * time.Second
)

// upstream is one local upstream. The mutex of the registry guards sequence, leaving, silent, leftAt, lastAnnounced,
// warmAt, coldness and published.
type upstream struct {
	// id is empty for an upstream that does not announce one.
	id string
	// started and sequence order the announcements of upstreams that send them.
	started     time.Time
	sequence    uint64
	service     string
	version     string
	address     netip.AddrPort
	slots       uint32
	connections uint32
	leaving     bool
	// silent means that the upstream counts as having left because it stopped announcing itself.
	silent        bool
	leftAt        time.Time
	lastAnnounced time.Time
	// warmAt is when the cold start ends as announced; it is zero while no announcement has said so.
	warmAt time.Time
	// coldness is whether the upstream is in a cold start now, and published what the callers' nodes were told of it.
	coldness  coldness
	published bool

	// firstCallSeen means that the upstream had run no call before its first announcement to this node.
	firstCallSeen bool
	limiter       *admit.Limiter
	pacer         *admit.Pacer
	pool          *connPool
	headers       *wirepb.HeaderNames
	// workspacesDeclared is that of the registry's configuration.
	workspacesDeclared func() bool
	onMalformed        func()
	// firstCallNanos is the Unix time of the first call in nanoseconds, or 0.
	firstCallNanos atomic.Int64
	// lastCrashNanos is the Unix time of the newest counted crash in nanoseconds.
	lastCrashNanos atomic.Int64
	// connectionRefused says that nothing listened at the upstream's address in a call that has not ended yet.
	connectionRefused atomic.Bool
}

func newUpstream(address netip.AddrPort, a *wirepb.Announcement, cfg Config) *upstream {
	unknown, uncountedUntil := a.GetStarted() == nil || a.GetStarted().AsTime().Before(cfg.startedAt), time.Time{}
	if unknown {
		uncountedUntil = cfg.startedAt
	}
	u := &upstream{
		id: a.GetId(), sequence: a.GetSequence(),
		service: a.GetService(), version: a.GetVersion(), address: address,
		slots: a.GetSlots(), connections: a.GetConnections(), lastAnnounced: cfg.Now(),
		firstCallSeen: a.GetUptime() != nil && a.GetUptime().AsDuration() < maxFreshUptime,
		limiter: admit.NewLimiter(admit.Config{
			Slots: int(a.GetSlots()), QueueSize: int(a.GetSlots()) * cfg.QueueFactor, Now: cfg.Now,
			Policy: cfg.AdmissionPolicy, HasWorkspaces: cfg.WorkspacesDeclared,
		}),
		pacer: admit.NewPacer(admit.PacerConfig{
			Now: cfg.Now, Unknown: unknown, UncountedUntil: uncountedUntil,
		}),
		pool: newConnPool(address, cfg.bodies, cfg.Now), headers: cfg.Headers, workspacesDeclared: cfg.WorkspacesDeclared,
		onMalformed: cfg.OnMalformedResponse,
	}
	if a.GetStarted() != nil {
		u.started = a.GetStarted().AsTime()
	}
	u.updateWarmAt(a, cfg.Now())
	u.coldness.report(a, cfg.Now())
	return u
}

// updateWarmAt applies the remaining cold start of an announcement; one that was delayed gives too late a time, so the earliest
// counts.
func (u *upstream) updateWarmAt(a *wirepb.Announcement, now time.Time) {
	if a.GetColdLeft() == nil {
		return
	}
	if warmAt := now.Add(a.GetColdLeft().AsDuration()); u.warmAt.IsZero() || warmAt.Before(u.warmAt) {
		u.warmAt = warmAt
	}
}

// describedBy reports whether an announcement repeats what the registry holds of the upstream.
func (u *upstream) describedBy(a *wirepb.Announcement) bool {
	return u.id == a.GetId() && u.isSameStart(a) && u.service == a.GetService() && u.version == a.GetVersion() &&
		u.slots == a.GetSlots() && u.connections == a.GetConnections()
}

// isSameStart reports whether an announcement has the start time of the upstream or none.
func (u *upstream) isSameStart(a *wirepb.Announcement) bool {
	return a.GetStarted() == nil || u.started.Equal(a.GetStarted().AsTime())
}

// isStale reports whether an announcement is older than one that was applied already, or the same.
func (u *upstream) isStale(a *wirepb.Announcement) bool {
	switch {
	case a.GetStarted() == nil || u.started.IsZero():
		return false
	case a.GetStarted().AsTime().Before(u.started):
		return true
	default:
		return u.isSameStart(a) && u.id == a.GetId() && a.GetSequence() <= u.sequence
	}
}

func (u *upstream) exposure() Exposure {
	return Exposure{Service: u.service, Version: u.version, InFlight: u.limiter.Running()}
}

// sinceFirstCall returns the time since the upstream's first call, which may begin now.
func (u *upstream) sinceFirstCall(now time.Time) time.Duration {
	u.firstCallNanos.CompareAndSwap(0, now.UnixNano())
	return time.Duration(now.UnixNano() - u.firstCallNanos.Load())
}

// isListening reports whether the upstream's address accepts connections.
func (u *upstream) isListening() bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(context.Background(), "tcp", u.address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (u *upstream) close() { u.pool.close() }
