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

// recentChangesKept is how many of the newest changes stay in memory when the list has grown to twice that length.
const recentChangesKept = 1024

// Config configures a Log.
type Config struct {
	Store  *store.Client
	Logger *zap.Logger
	Now    func() time.Time
	// Jitter returns a number from 0 to 1 that spreads retries; nil means a random one.
	Jitter func() float64
	// ExportRows returns the rows of other tables that are written along with a change; nil means none.
	ExportRows func(change *wirepb.Change) ([]*wirepb.Row, error)
	// OnApplied is called for each change that comes into force, with its age, but not for those with which a node starts; nil means that
	// nothing is.
	OnApplied func(age time.Duration)
	// WatchesEras reports whether this node holds rows that it may have to write again when the store came back from an older copy, so that
	// it has to learn of that even if links bring the log; nil means that it never does.
	WatchesEras func() bool
}

// Origin says from where and when a node received changes.
type Origin struct {
	// Node is the node that sent the changes, or empty if they were read from the platform or committed here.
	Node       string
	ReceivedAt time.Time
}

// InvalidRevision names a revision that was not applied because a check failed, and the reason.
type InvalidRevision struct {
	Revision uint64
	// Newest is the newest revision that was received and cannot be applied because of it.
	Newest uint64
	Reason string
}

// Counters counts what a Log did about changes that the store lost when it came back from an older copy.
type Counters struct {
	SubmittedAgain atomic.Uint64
	Dropped        atomic.Uint64
}

// Log is a node's copy of the ordered log of changes; its revision never decreases.
type Log struct {
	Counters Counters

	store      *store.Client
	logger     *zap.Logger
	now        func() time.Time
	jitter     func() float64
	exportRows func(change *wirepb.Change) ([]*wirepb.Row, error)
	onApplied  func(age time.Duration)
	// watchesEras is Config.WatchesEras.
	watchesEras func() bool
	era         eraState

	state         atomic.Pointer[tree.State]
	invalid       atomic.Pointer[InvalidRevision]
	knownRevision atomic.Uint64
	queue         chan *submission

	mu            sync.Mutex
	recentChanges []*wirepb.Change
	changed       chan struct{}

	// storingSnapshot is set while one of the tasks stores a snapshot.
	storingSnapshot atomic.Bool
	tasks           sync.WaitGroup

	encodedMu sync.Mutex
	// encoded is the newest snapshot that was encoded, packed the newest changes that were compressed for links.
	encoded EncodedSnapshot
	packed  []*wirepb.Change
}

// EncodedSnapshot is the compressed snapshot of one revision.
type EncodedSnapshot struct {
	Revision uint64
	Data     []byte
}

// EncodedSnapshot returns the snapshot of the current state, encoded once per revision, since all links of a node that starts
// beside others ask for it; it returns *CorruptError.
func (l *Log) EncodedSnapshot() (EncodedSnapshot, error) {
	l.encodedMu.Lock()
	defer l.encodedMu.Unlock()
	state := l.State()
	if l.encoded.Data != nil && l.encoded.Revision == state.Revision {
		return l.encoded, nil
	}
	data, err := EncodeSnapshot(state.Snapshot())
	if err != nil {
		return EncodedSnapshot{}, err
	}
	l.encoded = EncodedSnapshot{Revision: state.Revision, Data: data}
	return l.encoded, nil
}

// New returns a log at revision 0.
func New(cfg Config) *Log {
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	if cfg.OnApplied == nil {
		cfg.OnApplied = func(time.Duration) {}
	}
	if cfg.WatchesEras == nil {
		cfg.WatchesEras = func() bool { return false }
	}
	l := &Log{
		store: cfg.Store, logger: cfg.Logger, now: cfg.Now, jitter: cfg.Jitter, exportRows: cfg.ExportRows, onApplied: cfg.OnApplied,
		queue:       make(chan *submission, maxQueuedChanges),
		changed:     make(chan struct{}),
		watchesEras: cfg.WatchesEras,
	}
	l.era.wake, l.era.started, l.era.resubmitted = make(chan struct{}, 1), cfg.Now(), map[uint64]bool{}
	l.state.Store(tree.EmptyState())
	return l
}

// State returns the current state.
func (l *Log) State() *tree.State { return l.state.Load() }

// InvalidRevision returns the last revision that was not applied because a check failed, or nil if a revision was applied since.
func (l *Log) InvalidRevision() *InvalidRevision { return l.invalid.Load() }

// KnownRevision returns the newest revision that this node has received or read from the platform, applied or not.
func (l *Log) KnownRevision() uint64 { return max(l.knownRevision.Load(), l.State().Revision) }

// Changed returns a channel that is closed when the next revision is applied.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// ApplyChanges applies consecutive changes, without those already applied, up to the first invalid one, and reports whether changes before
// them are missing.
func (l *Log) ApplyChanges(changes []*wirepb.Change, origin Origin) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := l.now()
	state := l.State()
	for len(changes) > 0 && changes[0].GetRevision() <= state.Revision {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return false
	}
	l.recordKnownRevision(changes[len(changes)-1].GetRevision())
	if changes[0].GetRevision() != state.Revision+1 {
		return true
	}
	next, err := state.Apply(changes...)
	if err != nil {
		newest := changes[len(changes)-1].GetRevision()
		next, changes, err = applyEach(state, changes)
		if err != nil {
			defer l.markInvalid(next.Revision+1, newest, err)
		}
	}
	if len(changes) == 0 {
		return false
	}
	l.recentChanges = append(l.recentChanges, changes...)
	if len(l.recentChanges) > 2*recentChangesKept {
		l.recentChanges = append([]*wirepb.Change(nil), l.recentChanges[len(l.recentChanges)-recentChangesKept:]...)
	}
	l.setState(next)
	if origin.Node != "" {
		l.noteLinked()
	}
	if state.Revision > 0 {
		l.observeAges(changes)
	}
	l.logApplied(changes, origin, started)
	return false
}

// applyEach applies changes one by one and returns the state before the first invalid one, the changes that led to it and the error.
func applyEach(state *tree.State, changes []*wirepb.Change) (*tree.State, []*wirepb.Change, error) {
	for i, c := range changes {
		next, err := state.Apply(c)
		if err != nil {
			return state, changes[:i], err
		}
		state = next
	}
	return state, changes, nil
}

func (l *Log) observeAges(changes []*wirepb.Change) {
	now := l.now()
	for _, c := range changes {
		l.onApplied(now.Sub(c.GetTime().AsTime()))
	}
}

// logApplied logs changes that came into force, with the age of the oldest one and the times of the stages on this node. The age
// depends on the clock of the node that committed the change.
func (l *Log) logApplied(changes []*wirepb.Change, origin Origin, started time.Time) {
	now := l.now()
	l.logger.Info("changes applied", zap.Uint64("revision", changes[len(changes)-1].GetRevision()), zap.Int("changes", len(changes)),
		zap.String("from", origin.Node), zap.Duration("age", now.Sub(changes[0].GetTime().AsTime())),
		zap.Duration("waited", started.Sub(origin.ReceivedAt)), zap.Duration("compiled_in", now.Sub(started)))
}

// ApplySnapshot replaces the current state by a snapshot that a link brought if the snapshot is newer.
func (l *Log) ApplySnapshot(snapshot *wirepb.Snapshot) {
	if l.applySnapshot(snapshot) {
		l.noteLinked()
	}
}

// applySnapshot replaces the current state by a snapshot if the snapshot is newer, and reports whether it did.
func (l *Log) applySnapshot(snapshot *wirepb.Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordKnownRevision(snapshot.GetRevision())
	if snapshot.GetRevision() <= l.State().Revision {
		return false
	}
	next, err := tree.FromSnapshot(snapshot)
	if err != nil {
		l.markInvalid(snapshot.GetRevision(), snapshot.GetRevision(), err)
		return false
	}
	l.noteReplaced(l.State(), snapshot)
	l.recentChanges = nil
	l.setState(next)
	l.logger.Info("snapshot applied", zap.Uint64("revision", next.Revision))
	return true
}

func (l *Log) setState(next *tree.State) {
	l.state.Store(next)
	l.invalid.Store(nil)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) markInvalid(revision, newest uint64, cause error) {
	if previous := l.InvalidRevision(); previous == nil || previous.Revision != revision {
		l.logger.Warn("invalid revision not applied", zap.Uint64("revision", revision), zap.Error(cause))
	}
	l.invalid.Store(&InvalidRevision{Revision: revision, Newest: newest, Reason: cause.Error()})
}

func (l *Log) recordKnownRevision(revision uint64) {
	for {
		known := l.knownRevision.Load()
		if revision <= known || l.knownRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// ChangesSince returns the changes after a revision, or false if memory no longer holds them all and a snapshot is needed.
func (l *Log) ChangesSince(revision uint64) ([]*wirepb.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.State().Revision
	if revision >= newest {
		return nil, true
	}
	missing := newest - revision
	if missing > uint64(len(l.recentChanges)) {
		return nil, false
	}
	return l.recentChanges[uint64(len(l.recentChanges))-missing:], true
}

// revisionOfOperation returns the revision that an operation was committed as, if it is among the recent changes.
func (l *Log) revisionOfOperation(id string) (uint64, bool) {
	if revision, found := l.includedRevision(id); found {
		return revision, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.recentChanges) - 1; i >= 0; i-- {
		if l.recentChanges[i].GetOperationId() == id {
			return l.recentChanges[i].GetRevision(), true
		}
	}
	return 0, false
}
