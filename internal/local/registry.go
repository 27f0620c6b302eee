package local

import (
	"context"
	"maps"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// DefaultAnnounceInterval is the interval of the product's own upstreams.
	DefaultAnnounceInterval = 600 * time.Millisecond
	// silentIntervals is how many intervals an upstream may not announce itself before it gets no new work: announcements
	// may be late by two.
	silentIntervals = 4
	// suspectIntervals is how many intervals an upstream may be silent before its time-outs are blamed on its process.
	suspectIntervals = 2.5
	// returnTime is how long an upstream that left is not taken in again, lest an announcement that was overtaken does it.
	returnTime = time.Second
	// goneTime outlasts announcements that a cut link held up.
	goneTime       = time.Minute
	expireInterval = 250 * time.Millisecond
	maxUpstreams   = 64
	maxSlots       = 4096
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Result is what one call showed of an upstream.
type Result int

// The results of calls.
const (
	ResultOK Result = iota
	ResultFailed
	// ResultShed is an answer by which the upstream refuses for overload.
	ResultShed
	// ResultAbandoned is a call that the caller gave up; it counts only when it was slow.
	ResultAbandoned
	// ResultInconclusive says nothing of the version.
	ResultInconclusive
)

// Observation is what one call showed.
type Observation struct {
	Service string
	Version string
	Route   string
	Result  Result
	Latency time.Duration
	// SinceFirstCall is the time since the upstream's first call.
	SinceFirstCall time.Duration
	// FirstCallSeen says that the upstream's first call was seen.
	FirstCallSeen bool
	// Control says that the call went to the old version by lot.
	Control bool
}

// Exposure is what a call would add to.
type Exposure struct {
	Service string
	Version string
	// InFlight is the number of calls that the upstream runs.
	InFlight int
}

// Config configures a Registry.
type Config struct {
	Logger *zap.Logger
	Now    func() time.Time
	// QueueFactor is the number of waiting calls, in multiples of an upstream's slots.
	QueueFactor int
	// MaxBodyBytes bounds an answer.
	MaxBodyBytes int64
	// Headers names the headers of calls; nil means the product's own.
	Headers *wirepb.HeaderNames
	// AnnounceInterval is the time between two announcements of an upstream; zero means the default.
	AnnounceInterval time.Duration
	// CheckExposure returns why a version gets no call now, or unspecified.
	CheckExposure func(exposure Exposure) wirepb.Refusal
	// Observe takes what each call showed.
	Observe func(observation Observation)
	// OnUpstreamsChange is called with the upstreams that take calls after they changed.
	OnUpstreamsChange func(upstreams []*wirepb.MemberUpstream)
}

// Registry holds the upstreams beside this node.
type Registry struct {
	cfg Config

	mu        sync.Mutex
	stopping  bool
	upstreams map[netip.AddrPort]*upstream
	// gone holds when upstreams left that said so without an announcement, by id.
	gone map[string]time.Time
	// failures holds when a call that began at this VM last failed, by the service that it went to.
	failures map[string]time.Time
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Headers == nil {
		cfg.Headers = DefaultHeaders()
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = DefaultAnnounceInterval
	}
	return &Registry{cfg: cfg, upstreams: map[netip.AddrPort]*upstream{}, gone: map[string]time.Time{}, failures: map[string]time.Time{}}
}

// Announce takes in the announcement of an upstream; it returns *AnnouncementError.
func (r *Registry) Announce(announcement *wirepb.Announcement) error {
	address, err := checkAnnouncement(announcement)
	if err != nil {
		return err
	}
	if r.note(address, announcement) {
		r.publish()
	}
	return nil
}

func checkAnnouncement(a *wirepb.Announcement) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(a.GetAddress())
	switch {
	case err != nil:
		return address, &AnnouncementError{Field: "address", Value: a.GetAddress(), Allowed: "an IP address and port"}
	case !namePattern.MatchString(a.GetService()):
		return address, &AnnouncementError{Field: "service", Value: a.GetService(), Allowed: "the name of a service"}
	case !namePattern.MatchString(a.GetVersion()):
		return address, &AnnouncementError{Field: "version", Value: a.GetVersion(), Allowed: "the name of a version"}
	case a.GetSlots() == 0 || a.GetSlots() > maxSlots:
		return address, &AnnouncementError{Field: "slots", Value: strconv.FormatUint(uint64(a.GetSlots()), 10), Allowed: "1 to 4096"}
	case a.GetConnections() < a.GetSlots():
		return address, &AnnouncementError{Field: "connections", Value: strconv.FormatUint(uint64(a.GetConnections()), 10), Allowed: "at least the number of slots"}
	}
	return address, nil
}

// note reports whether the upstreams that take calls changed.
func (r *Registry) note(address netip.AddrPort, a *wirepb.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.upstreams[address]
	if found && known.stale(a) {
		return false
	}
	if found && known.same(a) && !known.leaving {
		known.heard, known.sequence = r.cfg.Now(), a.GetSequence()
		if a.GetLeaving() {
			r.leave(known, "leaving")
		}
		return a.GetLeaving()
	}
	if a.GetLeaving() && !found && a.GetStarted() != nil && len(r.upstreams) < maxUpstreams {
		// What it said before, and comes late, must not bring it in.
		r.upstreams[address] = newUpstream(address, a, r.cfg)
		r.leave(r.upstreams[address], "leaving")
		return false
	}
	if a.GetLeaving() || r.goneBefore(a) || found && !known.succeeded(a, r.cfg.Now()) || !found && len(r.upstreams) >= maxUpstreams {
		return false
	}
	if found {
		// Calls that wait for the version that was here before must not run on the one that took its place.
		known.gate.Close()
		known.close()
	}
	r.upstreams[address] = newUpstream(address, a, r.cfg)
	r.cfg.Logger.Info("upstream announced", zap.String("service", a.GetService()), zap.String("version", a.GetVersion()), zap.Stringer("address", address))
	return true
}

// Deregister takes the upstream with an identity out, as if it had announced that it leaves.
func (r *Registry) Deregister(id string) {
	if r.leaveByID(id) {
		r.publish()
	}
}

// goneBefore reports whether an announcement was made before its upstream left.
func (r *Registry) goneBefore(a *wirepb.Announcement) bool {
	left, found := r.gone[a.GetId()]
	return found && a.GetId() != "" && (a.GetStarted() == nil || a.GetStarted().AsTime().Before(left))
}

func (r *Registry) leaveByID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.gone, func(_ string, left time.Time) bool { return r.cfg.Now().Sub(left) > goneTime })
	if len(r.gone) < maxUpstreams {
		r.gone[id] = r.cfg.Now()
	}
	for _, u := range r.upstreams {
		if u.id == id && !u.leaving {
			r.leave(u, "left")
			return true
		}
	}
	return false
}

// succeeded reports whether an announcement is of another life of the upstream that left, or of another one in its place.
func (u *upstream) succeeded(a *wirepb.Announcement, now time.Time) bool {
	if a.GetStarted() != nil {
		return u.silent || !u.startedAt(a) || u.id != a.GetId()
	}
	return now.Sub(u.left) >= returnTime
}

func (r *Registry) leave(u *upstream, why string) {
	u.leaving, u.left = true, r.cfg.Now()
	u.gate.Close()
	r.cfg.Logger.Info("upstream left", zap.String("service", u.service), zap.String("version", u.version), zap.Stringer("address", u.address), zap.String("reason", why))
}

// RunExpiry takes work from upstreams that fell silent, until the context ends.
func (r *Registry) RunExpiry(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.expireSilent() {
				r.publish()
			}
		}
	}
}

func (r *Registry) expireSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for address, u := range r.upstreams {
		silence := r.cfg.Now().Sub(u.heard)
		if !u.leaving && silence > r.silenceLimit() {
			u.silent = true
			r.leave(u, "silent")
			changed = true
		}
		if u.leaving && u.gate.Running() == 0 && silence > 4*r.silenceLimit() {
			u.close()
			delete(r.upstreams, address)
		}
	}
	return changed
}

func (r *Registry) silenceLimit() time.Duration { return silentIntervals * r.cfg.AnnounceInterval }

func (r *Registry) silent(u *upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now().Sub(u.heard) > time.Duration(suspectIntervals*float64(r.cfg.AnnounceInterval))
}

func (r *Registry) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wirepb.MemberUpstream
	for _, u := range r.upstreams {
		if !u.leaving && !r.stopping {
			list = append(list, &wirepb.MemberUpstream{Service: u.service, Version: u.version, Slots: u.slots})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].GetService() != list[j].GetService() {
			return list[i].GetService() < list[j].GetService()
		}
		return list[i].GetVersion() < list[j].GetVersion()
	})
	r.cfg.OnUpstreamsChange(list)
}

// Stop refuses new calls and announces that no upstream takes calls; calls that run go on.
func (r *Registry) Stop() {
	r.mu.Lock()
	r.stopping = true
	for _, u := range r.upstreams {
		u.gate.Close()
	}
	r.mu.Unlock()
	r.publish()
}

// InFlight returns the number of calls that upstreams are serving.
func (r *Registry) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, u := range r.upstreams {
		total += u.gate.Running()
	}
	return total
}

// Services returns the services with an upstream beside this node.
func (r *Registry) Services() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]bool{}
	for _, u := range r.upstreams {
		if !u.leaving {
			services[u.service] = true
		}
	}
	return services
}

// Status describes all upstreams beside this node.
func (r *Registry) Status() []*wirepb.UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*wirepb.UpstreamStatus, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		list = append(list, &wirepb.UpstreamStatus{
			Service: u.service, Version: u.version, Address: u.address.String(),
			Slots: u.slots, InFlight: uint32(u.gate.Running()), Leaving: u.leaving,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// wanted reports whether a call may go to a version.
func wanted(head *wirepb.CallHead, version string) bool {
	if head.GetVersion() == "" {
		return head.GetExceptVersion() == "" || version != head.GetExceptVersion()
	}
	return version == head.GetVersion()
}

// find returns the least loaded upstream of a version that takes calls, or nil.
func (r *Registry) find(head *wirepb.CallHead) *upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *upstream
	for _, u := range r.upstreams {
		if u.leaving || u.service != head.GetService() || !wanted(head, u.version) {
			continue
		}
		if best == nil || u.gate.LoadPermille() < best.gate.LoadPermille() {
			best = u
		}
	}
	return best
}
