package local

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// departureTTL is how long departures are remembered after the last announcement of the process that left; it outlasts announcements
// that a broken link delayed.
const departureTTL = 10 * time.Minute

const maxDepartures = 512

// departure says that a process of an upstream left; unlike the upstream, it is remembered after the upstream has ended.
type departure struct {
	// id is the id of the upstream, or its address if it announces none.
	id string
	// started is the start time of the process, or zero if it is not known.
	started time.Time
	leftAt  time.Time
	// heardAt is when the process left or, later, last announced itself with its start time.
	heardAt time.Time
}

// depart takes an upstream that said so out of service and returns its departure to record, or nil.
func (r *Registry) depart(u *upstream, reason string) *wirepb.Departure {
	r.markLeaving(u, reason)
	left := departure{id: u.id, started: u.started, leftAt: u.leftAt}
	if left.id == "" {
		left.id = u.address.String()
	}
	return r.addDeparture(left)
}

// covers reports whether an announcement comes from the process that left, rather than from one that started since.
func (d departure) covers(a *wirepb.Announcement, now time.Time) bool {
	switch {
	case a.GetStarted() != nil:
		return d.coversStart(a.GetStarted().AsTime())
	case a.GetUptime() != nil:
		return a.GetUptime().AsDuration() >= now.Sub(d.leftAt)
	case a.GetId() == "":
		return now.Sub(d.leftAt) < returnDelay
	default:
		return true
	}
}

func (d departure) coversStart(started time.Time) bool {
	if d.started.IsZero() {
		return started.Before(d.leftAt)
	}
	return !started.After(d.started)
}

// includes reports whether the departure also covers all that another one of the same id covers.
func (d departure) includes(other departure) bool {
	if other.started.IsZero() {
		return !other.leftAt.After(d.leftAt) && d.started.IsZero()
	}
	return d.coversStart(other.started)
}

// addDeparture remembers a departure and returns it as it is to be recorded, or nil if an earlier one includes it.
func (r *Registry) addDeparture(d departure) *wirepb.Departure {
	if known, found := r.departures[d.id]; found && known.includes(d) {
		return nil
	}
	r.evictDepartures()
	d.heardAt = r.cfg.Now()
	r.departures[d.id] = d
	recorded := &wirepb.Departure{Id: d.id, Time: timestamppb.New(d.leftAt)}
	if !d.started.IsZero() {
		recorded.Started = timestamppb.New(d.started)
	}
	return recorded
}

// evictDepartures forgets the departures that are too old, and the oldest one if there are too many.
func (r *Registry) evictDepartures() {
	oldest := ""
	for id, d := range r.departures {
		if r.cfg.Now().Sub(d.heardAt) > departureTTL {
			delete(r.departures, id)
		} else if oldest == "" || d.heardAt.Before(r.departures[oldest].heardAt) {
			oldest = id
		}
	}
	if len(r.departures) >= maxDepartures {
		delete(r.departures, oldest)
	}
}

// departureID returns the id by which the departure of the process that an announcement comes from is remembered.
func departureID(a *wirepb.Announcement) string {
	if a.GetId() == "" {
		return a.GetAddress()
	}
	return a.GetId()
}

// hasDeparted reports whether an announcement comes from a process that left, and remembers that process for longer if so. An announcement
// without a start time may come from a later process, which must not count as having left without limit.
func (r *Registry) hasDeparted(a *wirepb.Announcement) bool {
	id := departureID(a)
	d, found := r.departures[id]
	if !found || !d.covers(a, r.cfg.Now()) {
		return false
	}
	now := r.cfg.Now()
	if a.GetStarted() != nil {
		d.heardAt = now
		r.departures[id] = d
	}
	return now.Sub(d.heardAt) <= departureTTL
}

func (r *Registry) recordDeparture(departed *wirepb.Departure) {
	if departed != nil && r.cfg.RecordDeparture != nil {
		r.cfg.RecordDeparture(departed)
	}
}

// loadDepartures loads the recorded departures before the first announcement of an upstream that may have left while an earlier
// process of this node ran.
func (r *Registry) loadDepartures(a *wirepb.Announcement) {
	if !r.needsDepartures(a) {
		return
	}
	recorded, err := r.cfg.LoadDepartures()
	if err != nil {
		r.cfg.Logger.Warn("could not load the departures of upstreams", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departuresLoaded = true
	for _, d := range recorded {
		loaded := departure{id: d.GetId(), leftAt: d.GetTime().AsTime()}
		if d.GetStarted() != nil {
			loaded.started = d.GetStarted().AsTime()
		}
		r.addDeparture(loaded)
	}
}

func (r *Registry) needsDepartures(a *wirepb.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.departuresLoaded && !a.GetLeaving() && r.predates(a)
}

// predates reports whether the process that an announcement comes from may have started before this one.
func (r *Registry) predates(a *wirepb.Announcement) bool {
	return a.GetStarted() == nil || a.GetStarted().AsTime().Before(r.cfg.startedAt)
}

// sighting is an announcement of an upstream that may have left before this process started.
type sighting struct {
	id       string
	sequence uint64
	at       time.Time
}

// isConfirmed reports whether an upstream may be registered by an announcement. While the recorded departures cannot be loaded, an
// upstream that may be among them has to announce itself twice: one that left does not go on announcing itself.
func (r *Registry) isConfirmed(address netip.AddrPort, a *wirepb.Announcement) bool {
	if r.departuresLoaded || !r.predates(a) {
		delete(r.unconfirmed, address)
		return true
	}
	first, found := r.unconfirmed[address]
	switch {
	case !found && len(r.unconfirmed) >= maxUpstreams:
		return false
	case !found || first.id != a.GetId():
		r.unconfirmed[address] = sighting{id: a.GetId(), sequence: a.GetSequence(), at: r.cfg.Now()}
		return false
	case a.GetStarted() != nil && a.GetSequence() <= first.sequence || r.cfg.Now().Sub(first.at) < r.cfg.AnnounceInterval/2:
		return false
	}
	delete(r.unconfirmed, address)
	return true
}
