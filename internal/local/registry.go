package local

import (
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// DefaultAnnounceInterval is the interval at which upstreams announce themselves unless the settings give another.
	DefaultAnnounceInterval = 600 * time.Millisecond
	// maxSilentIntervals is how many intervals an upstream may be silent before it gets no new calls; announcements may be
	// late by two intervals.
	maxSilentIntervals = 4
	// suspectAfterIntervals is how many intervals an upstream may be silent before calls without a response are attributed to
	// its process instead of its version.
	suspectAfterIntervals = 2.5
	// returnDelay is the time for which an upstream that left is not registered again unless it announces its start time, so
	// that a delayed announcement does not bring it back.
	returnDelay    = time.Second
	expireInterval = 250 * time.Millisecond
	maxUpstreams   = 64
	maxSlots       = 4096
)

var (
	// servicePattern allows all names of services that the settings tree allows, where names may be hex-encoded.
	servicePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,159}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.+_-]{0,63}$`)
)

// Result says how a call counts for the version that served it.
type Result int

// Results of calls.
const (
	ResultOK Result = iota
	ResultFailed
	// ResultShed means that the upstream shed the call because of overload.
	ResultShed
	// ResultAbandoned means that the caller gave up or the time of the call ran out; it counts only if the call was slow.
	ResultAbandoned
	// ResultInconclusive says nothing about the version.
	ResultInconclusive
)

// Observation is the result of one call, as evidence on a version.
type Observation struct {
	Service string
	Version string
	Route   string
	Result  Result
	Latency time.Duration
	// SinceFirstCall is the time since the upstream's first call.
	SinceFirstCall time.Duration
	// FirstCallSeen means that this node saw the upstream's first call.
	FirstCallSeen bool
	// ColdStartOver means that the call started after the time at which the upstream announced to be warm.
	ColdStartOver bool
	// Control means that the call belongs to the control group, which is assigned at random to the stable version.
	Control bool
}

// Exposure describes an upstream to which one more call would be sent.
type Exposure struct {
	Service string
	Version string
	// InFlight is the number of calls that the upstream is running.
	InFlight int
}

// Config configures a Registry.
type Config struct {
	Logger *zap.Logger
	Now    func() time.Time
	// QueueFactor is the size of an upstream's queue in multiples of its slots.
	QueueFactor int
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
	// Headers names the headers of requests to upstreams; nil means DefaultHeaders.
	Headers *wirepb.HeaderNames
	// AnnounceInterval is the time between two announcements of an upstream; zero means DefaultAnnounceInterval.
	AnnounceInterval time.Duration
	// AdmissionPolicy is a policy of package admit; empty means admit.PolicyArrival.
	AdmissionPolicy string
	// CheckExposure returns why an upstream may not get a further call now, or REFUSAL_UNSPECIFIED if it may.
	CheckExposure func(exposure Exposure) wirepb.Refusal
	// ColdLimit returns how many calls a second an upstream of a service may get while it is cold, or zero if they are not limited; nil
	// means that no service limits them.
	ColdLimit func(service string) float64
	// Evacuated reports whether the node's data centre is evacuated; nil means that it never is.
	Evacuated func() bool
	// WorkspacesDeclared reports whether workspaces are declared: only nodes may then name one to an upstream. Nil means that none are.
	WorkspacesDeclared func() bool
	// Observe is called when a call starts, with what is known of it by then; the function that it returns is called when the
	// call ends.
	Observe func(started Observation) (end func(ended Observation))
	// RecordDeparture records that an upstream left where it outlives this process, and returns when it is recorded or cannot be
	// soon; nil means that departures are remembered by this process only.
	RecordDeparture func(departure *wirepb.Departure)
	// LoadDepartures returns the departures recorded by this and by earlier processes of the node.
	LoadDepartures func() ([]*wirepb.Departure, error)
	// OnMalformedResponse is called for each response that is none of the protocol; nil ignores it.
	OnMalformedResponse func()
	// bodies is shared by all upstreams.
	bodies *bodyBudget
	// startedAt is when the registry was created.
	startedAt time.Time
	// OnUpstreamsChange is called with the upstreams that accept calls after they changed.
	OnUpstreamsChange func(upstreams []*wirepb.MemberUpstream)
}

// Registry holds the local upstreams of this node.
type Registry struct {
	cfg Config

	mu        sync.Mutex
	stopping  bool
	upstreams map[netip.AddrPort]*upstream
	// evacuated says that the node's data centre was evacuated when the registry last looked.
	evacuated bool
	// departures holds the upstreams that left, by id.
	departures map[string]departure
	// departuresLoaded means that departures includes those that earlier processes of this node recorded.
	departuresLoaded bool
	// unconfirmed holds the first announcement of each upstream that may have left before this process started, by address.
	unconfirmed map[netip.AddrPort]sighting
	// outboundFailures holds when a call from this VM last failed, by the service that was called.
	outboundFailures map[string]time.Time
	// running and runningRepeated are the numbers of calls that the upstreams run, and of those among them that are repeated.
	running         atomic.Int64
	runningRepeated atomic.Int64
	// ColdRefusals is the number of calls refused because of the limit of a cold upstream.
	ColdRefusals atomic.Int64
	// EvacuationRefusals is the number of calls refused because the node's data centre is evacuated.
	EvacuationRefusals atomic.Int64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Headers == nil {
		cfg.Headers = DefaultHeaders()
	}
	if cfg.WorkspacesDeclared == nil {
		cfg.WorkspacesDeclared = func() bool { return false }
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = DefaultAnnounceInterval
	}
	if cfg.Evacuated == nil {
		cfg.Evacuated = func() bool { return false }
	}
	if cfg.ColdLimit == nil {
		cfg.ColdLimit = func(string) float64 { return 0 }
	}
	cfg.bodies, cfg.startedAt = &bodyBudget{}, cfg.Now()
	if cfg.OnMalformedResponse == nil {
		cfg.OnMalformedResponse = func() {}
	}
	return &Registry{
		cfg: cfg, upstreams: map[netip.AddrPort]*upstream{}, outboundFailures: map[string]time.Time{},
		departures: map[string]departure{}, departuresLoaded: cfg.LoadDepartures == nil, unconfirmed: map[netip.AddrPort]sighting{},
	}
}

// Announce applies the announcement of an upstream; it returns *AnnouncementError if a field is invalid.
func (r *Registry) Announce(announcement *wirepb.Announcement) error {
	address, err := checkAnnouncement(announcement)
	if err != nil {
		return err
	}
	if r.isIncompleteLeave(address, announcement) {
		return &AnnouncementError{Field: "started", Allowed: "a start time, which earlier announcements of the upstream had"}
	}
	r.loadDepartures(announcement)
	changed, departed := r.applyAnnouncement(address, announcement)
	if changed {
		r.publish()
	}
	r.recordDeparture(departed)
	return nil
}

// isIncompleteLeave reports whether an announcement that an upstream is leaving has no start time although the upstream announced one. It
// cannot be told from one of an earlier process, and an upstream that left never returns.
func (r *Registry) isIncompleteLeave(address netip.AddrPort, a *wirepb.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.upstreams[address]
	return found && !known.leaving && !known.started.IsZero() && a.GetLeaving() && a.GetStarted() == nil
}

func checkAnnouncement(a *wirepb.Announcement) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(a.GetAddress())
	switch {
	case err != nil:
		return address, &AnnouncementError{Field: "address", Value: a.GetAddress(), Allowed: "an IP address and port"}
	case !servicePattern.MatchString(a.GetService()):
		return address, &AnnouncementError{Field: "service", Value: a.GetService(), Allowed: "1 to 160 letters, digits, dots, underscores and hyphens that begin with a letter or digit"}
	case !versionPattern.MatchString(a.GetVersion()):
		return address, &AnnouncementError{Field: "version", Value: a.GetVersion(), Allowed: "1 to 64 letters, digits, dots, plus signs, underscores and hyphens that begin with a letter or digit"}
	case a.GetSlots() == 0 || a.GetSlots() > maxSlots:
		return address, &AnnouncementError{Field: "slots", Value: strconv.FormatUint(uint64(a.GetSlots()), 10), Allowed: "1 to 4096"}
	case a.GetConnections() < a.GetSlots():
		return address, &AnnouncementError{Field: "connections", Value: strconv.FormatUint(uint64(a.GetConnections()), 10), Allowed: "at least the number of slots"}
	}
	return address, nil
}

// applyAnnouncement reports whether the upstreams that accept calls changed, and returns the departure to record, or nil.
func (r *Registry) applyAnnouncement(address netip.AddrPort, a *wirepb.Announcement) (changed bool, departed *wirepb.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.upstreams[address]
	if found && known.isStale(a) {
		return false, nil
	}
	departedBefore := r.hasDeparted(a)
	if found && known.describedBy(a) && !known.leaving {
		known.lastAnnounced, known.sequence = r.cfg.Now(), a.GetSequence()
		known.updateWarmAt(a, r.cfg.Now())
		known.coldness.report(a, r.cfg.Now())
		if a.GetLeaving() {
			return true, r.depart(known, "leaving")
		}
		return r.coldnessChanged(), nil
	}
	if a.GetLeaving() && !departedBefore && a.GetStarted() != nil {
		// An earlier announcement that arrives later must not make it accept calls.
		return false, r.addDeparture(departure{id: departureID(a), started: a.GetStarted().AsTime(), leftAt: r.cfg.Now()})
	}
	if a.GetLeaving() || departedBefore || found && !known.replacedBy(a) || !found && len(r.upstreams) >= maxUpstreams {
		return false, nil
	}
	if !found && !r.isConfirmed(address, a) {
		return false, nil
	}
	if found {
		// Calls in the queue of the replaced upstream must not run on the new one, which may be another version.
		known.limiter.Close()
		known.close()
	}
	u := newUpstream(address, a, r.cfg)
	if found {
		u.pacer.CountCallsOf(known.pacer)
	}
	r.upstreams[address] = u
	r.cfg.Logger.Info("upstream registered", zap.String("service", a.GetService()), zap.String("version", a.GetVersion()), zap.Stringer("address", address),
		zap.Duration("cold_left", a.GetColdLeft().AsDuration()))
	return true, nil
}

// Deregister takes the upstream with an id out of service, as if it had announced that it leaves.
func (r *Registry) Deregister(id string) {
	changed, departed := r.deregister(id)
	if changed {
		r.publish()
	}
	r.recordDeparture(departed)
}

func (r *Registry) deregister(id string) (changed bool, departed *wirepb.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := departure{id: id, leftAt: r.cfg.Now()}
	for _, u := range r.upstreams {
		if u.id != id {
			continue
		}
		if !u.leaving {
			r.markLeaving(u, "left")
			changed = true
		}
		if u.started.After(left.started) {
			left.started = u.started
		}
	}
	return changed, r.addDeparture(left)
}

// replacedBy reports whether an announcement of a process that has not departed may replace the upstream: it comes from another start or
// another upstream, or the upstream left only because it was silent.
func (u *upstream) replacedBy(a *wirepb.Announcement) bool {
	return a.GetStarted() == nil || u.silent || !u.isSameStart(a) || u.id != a.GetId()
}

func (r *Registry) markLeaving(u *upstream, reason string) {
	u.leaving, u.leftAt = true, r.cfg.Now()
	u.limiter.Close()
	r.cfg.Logger.Info("upstream deregistered", zap.String("service", u.service), zap.String("version", u.version), zap.Stringer("address", u.address), zap.String("reason", reason))
}

func (r *Registry) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wirepb.MemberUpstream
	for _, u := range r.upstreams {
		if !u.leaving && !r.stopping {
			r.publishColdness(u)
			list = append(list, &wirepb.MemberUpstream{Service: u.service, Version: u.version, Slots: u.slots, Cold: u.published})
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

// Stop refuses new calls and reports that no upstream accepts calls, while running calls continue.
func (r *Registry) Stop() {
	r.mu.Lock()
	r.stopping = true
	for _, u := range r.upstreams {
		u.limiter.Close()
	}
	r.mu.Unlock()
	r.publish()
}

// InFlight returns the number of calls that the upstreams are running.
func (r *Registry) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, u := range r.upstreams {
		total += u.limiter.Running()
	}
	return total
}

// RepeatedFraction returns the fraction of the running calls that are repeated, and so the likely one of the calls that the
// upstreams make: nothing on the wire tells which of its calls an upstream makes for which one that it runs.
func (r *Registry) RepeatedFraction() float64 {
	running := r.running.Load()
	if running == 0 {
		return 0
	}
	return float64(r.runningRepeated.Load()) / float64(running)
}

// startRun counts a call as running until the returned function is called.
func (r *Registry) startRun(repeated bool) func() {
	r.running.Add(1)
	if !repeated {
		return func() { r.running.Add(-1) }
	}
	r.runningRepeated.Add(1)
	return func() {
		r.running.Add(-1)
		r.runningRepeated.Add(-1)
	}
}

// Services returns the services with a local upstream that has not left.
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

// isVersionAllowed reports whether a call may go to a version.
func isVersionAllowed(head *wirepb.CallHead, version string) bool {
	if head.GetVersion() == "" {
		return version != head.GetExceptVersion() && !slices.Contains(head.GetWithdrawn(), version)
	}
	return version == head.GetVersion()
}

// leastLoaded returns the least loaded upstream that may run a call, or nil.
func (r *Registry) leastLoaded(head *wirepb.CallHead) *upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *upstream
	for _, u := range r.upstreams {
		if u.leaving || u.service != head.GetService() || !isVersionAllowed(head, u.version) {
			continue
		}
		if best == nil || u.limiter.LoadPermille() < best.limiter.LoadPermille() {
			best = u
		}
	}
	return best
}
