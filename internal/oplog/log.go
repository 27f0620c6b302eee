package oplog

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const recentChanges = 1024

// Config configures a Log.
type Config struct {
	Store  *store.Client
	Logger *zap.Logger
	Now    func() time.Time
	// Jitter draws from 0 to 1 to spread retries; nil means random.
	Jitter func() float64
	// ExportRows returns the rows of other tables that are written along with a change; nil means none.
	ExportRows func(change *wirepb.Change) ([]*wirepb.Row, error)
}

// InvalidRevision says which revision a node does not apply, and why.
type InvalidRevision struct {
	Revision uint64
	Reason   string
}

// Log is a node's copy of the accepted changes; it only moves forward.
type Log struct {
	store  *store.Client
	logger *zap.Logger
	now    func() time.Time
	jitter func() float64
	export func(change *wirepb.Change) ([]*wirepb.Row, error)

	state   atomic.Pointer[tree.State]
	refused atomic.Pointer[InvalidRevision]
	known   atomic.Uint64
	queue   chan *submission

	mu      sync.Mutex
	recent  []*wirepb.Change
	changed chan struct{}
}

// New returns a log at revision 0.
func New(cfg Config) *Log {
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	l := &Log{
		store: cfg.Store, logger: cfg.Logger, now: cfg.Now, jitter: cfg.Jitter, export: cfg.ExportRows,
		queue:   make(chan *submission, maxWaiting),
		changed: make(chan struct{}),
	}
	l.state.Store(tree.EmptyState())
	return l
}

// State returns the state in force.
func (l *Log) State() *tree.State { return l.state.Load() }

// InvalidRevision returns the refusal in force, or nil.
func (l *Log) InvalidRevision() *InvalidRevision { return l.refused.Load() }

// KnownRevision returns the newest revision this node has heard of.
func (l *Log) KnownRevision() uint64 { return max(l.known.Load(), l.State().Revision) }

// Changed returns a channel that is closed at the next new revision.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// ApplyChanges applies consecutive changes that are news and reports whether earlier ones are missing.
func (l *Log) ApplyChanges(changes []*wirepb.Change) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.State()
	for len(changes) > 0 && changes[0].GetRevision() <= state.Revision {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return false
	}
	l.hear(changes[len(changes)-1].GetRevision())
	if changes[0].GetRevision() != state.Revision+1 {
		return true
	}
	next, err := state.Apply(changes...)
	if err != nil {
		l.refuse(changes[len(changes)-1].GetRevision(), err)
		return false
	}
	l.recent = append(l.recent, changes...)
	if len(l.recent) > 2*recentChanges {
		l.recent = append([]*wirepb.Change(nil), l.recent[len(l.recent)-recentChanges:]...)
	}
	l.adopt(next)
	return false
}

// ApplySnapshot adopts a whole snapshot if it is newer than the state in force.
func (l *Log) ApplySnapshot(snapshot *wirepb.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hear(snapshot.GetRevision())
	if snapshot.GetRevision() <= l.State().Revision {
		return
	}
	next, err := tree.FromSnapshot(snapshot)
	if err != nil {
		l.refuse(snapshot.GetRevision(), err)
		return
	}
	l.recent = nil
	l.adopt(next)
}

func (l *Log) adopt(next *tree.State) {
	l.state.Store(next)
	l.refused.Store(nil)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) refuse(revision uint64, cause error) {
	if previous := l.InvalidRevision(); previous == nil || previous.Revision != revision {
		l.logger.Warn("revision refused", zap.Uint64("revision", revision), zap.Error(cause))
	}
	l.refused.Store(&InvalidRevision{Revision: revision, Reason: cause.Error()})
}

func (l *Log) hear(revision uint64) {
	for {
		known := l.known.Load()
		if revision <= known || l.known.CompareAndSwap(known, revision) {
			return
		}
	}
}

// ChangesSince returns the changes after a revision; false says that only a snapshot leads on from there.
func (l *Log) ChangesSince(revision uint64) ([]*wirepb.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.State().Revision
	if revision >= newest {
		return nil, true
	}
	missing := newest - revision
	if missing > uint64(len(l.recent)) {
		return nil, false
	}
	return l.recent[uint64(len(l.recent))-missing:], true
}

// operation returns the revision that an operation made, among the changes this node knows.
func (l *Log) operation(id string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.recent) - 1; i >= 0; i-- {
		if l.recent[i].GetOperationId() == id {
			return l.recent[i].GetRevision(), true
		}
	}
	return 0, false
}
