package move

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/feed"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const maxVerdicts = 100_000

// Verdicts holds, for each service, the newest verdict that rejected a declared move; verdicts are never withdrawn.
type Verdicts struct {
	// Feed holds the names of the services whose verdicts changed.
	Feed *feed.Feed

	// random returns a random number below a limit.
	random func(limit uint32) uint32

	mu       sync.RWMutex
	services map[string]*wirepb.Verdict
}

// NewVerdicts returns an empty set.
func NewVerdicts() *Verdicts {
	return &Verdicts{Feed: feed.New(), random: rand.Uint32N, services: map[string]*wirepb.Verdict{}}
}

// Merge adds a verdict and reports whether it is newer than the one known.
func (v *Verdicts) Merge(verdict *wirepb.Verdict) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, found := v.services[verdict.GetService()]
	if found && known.GetDeclaredRevision() >= verdict.GetDeclaredRevision() || !found && len(v.services) >= maxVerdicts {
		return false
	}
	v.services[verdict.GetService()] = verdict
	v.Feed.Add(verdict.GetService())
	return true
}

// Get returns the newest verdict of a service, or nil.
func (v *Verdicts) Get(service string) *wirepb.Verdict {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[service]
}

// List returns all verdicts, or those of some services.
func (v *Verdicts) List(services ...string) []*wirepb.Verdict {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if len(services) == 0 {
		for name := range v.services {
			services = append(services, name)
		}
		sort.Strings(services)
	}
	list := make([]*wirepb.Verdict, 0, len(services))
	for _, s := range services {
		if verdict, found := v.services[s]; found {
			list = append(list, verdict)
		}
	}
	return list
}

// Rejected reports whether the new version of a record's move was rejected. A verdict that comes after the move was recorded as done has no
// effect: the operator may have stopped the servers of the version before.
func (v *Verdicts) Rejected(record *wirepb.MoveRecord) bool {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return false
	}
	verdict := v.Get(record.GetService())
	return verdict != nil && verdict.GetDeclaredRevision() == record.GetDeclaredRevision()
}

// SharePermille returns the thousandths of a service's calls that go to the new version.
func (v *Verdicts) SharePermille(service *tree.Service) uint32 {
	if !service.MoveActive() || v.Rejected(service.MoveRecord) {
		return 0
	}
	return service.MoveRecord.GetSharePermille()
}

// StableVersion returns the version that takes the calls outside the share.
func (v *Verdicts) StableVersion(service *tree.Service) string {
	if service.MoveRecord != nil && v.Rejected(service.MoveRecord) {
		return service.MoveRecord.GetFrom()
	}
	return service.StableVersion
}

// EffectiveRecord returns the record that applies: a rejected move is taken back even before the platform has recorded it.
func (v *Verdicts) EffectiveRecord(record *wirepb.MoveRecord, now time.Time) *wirepb.MoveRecord {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_TAKEN_BACK || !v.Rejected(record) {
		return record
	}
	return TakenBackRecord(record, v.Get(record.GetService()).GetReason()+", not recorded yet", now)
}
