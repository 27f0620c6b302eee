package local

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	connectTimeout = time.Second
	idleTimeout    = 5 * time.Minute
	warmTimeout    = 2 * time.Second
	probeTimeout   = 250 * time.Millisecond
	// freshTime is the uptime below which an upstream cannot have had calls through an earlier life of this node.
	freshTime = 10 * time.Second
)

// upstream is one upstream beside this node; leaving, left and heard are guarded by the registry.
type upstream struct {
	service     string
	version     string
	address     netip.AddrPort
	slots       uint32
	connections uint32
	leaving     bool
	left        time.Time
	heard       time.Time

	// fresh says that the upstream had no call before its first announcement here.
	fresh     bool
	gate      *admit.Gate
	transport *http.Transport
	// firstCall is the time of the first call in nanoseconds, or 0.
	firstCall atomic.Int64
	// lastCrash is the time of the newest counted crash in nanoseconds.
	lastCrash atomic.Int64
}

func newUpstream(address netip.AddrPort, a *wirepb.Announcement, cfg Config) *upstream {
	u := &upstream{
		service: a.GetService(), version: a.GetVersion(), address: address,
		slots: a.GetSlots(), connections: a.GetConnections(), heard: cfg.Now(),
		fresh: a.GetUptime() != nil && a.GetUptime().AsDuration() < freshTime,
		gate: admit.NewGate(admit.Config{
			Slots: int(a.GetSlots()), Waiting: int(a.GetSlots()) * cfg.QueueFactor, Now: cfg.Now,
		}),
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxConnsPerHost:     int(a.GetConnections()),
			MaxIdleConnsPerHost: int(a.GetSlots()),
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
	go u.warm()
	return u
}

func (u *upstream) same(a *wirepb.Announcement) bool {
	return u.service == a.GetService() && u.version == a.GetVersion() &&
		u.slots == a.GetSlots() && u.connections == a.GetConnections()
}

// warm opens a connection for each slot, so that no call waits for one.
func (u *upstream) warm() {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for range u.slots {
		wait.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.address.String()+"/health", nil)
			if err != nil {
				return
			}
			if response, err := u.transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	wait.Wait()
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

func (u *upstream) close() { u.transport.CloseIdleConnections() }
