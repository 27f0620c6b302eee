package oplog

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	// eraGap is left above the highest known revision when the log is established in a new era, for changes that this node does not know.
	eraGap = 1024
	// eraSpread is the range of a random addition to the gap, so that nodes that establish the log at once store their snapshots under
	// different names. Two of 20 nodes choose the same one with a probability of 0.02%.
	eraSpread = 1 << 20
	// establishDelay is how long links get to bring the newest revision to this node. Large changes are sent between data centres 0.6 s
	// late.
	establishDelay = time.Second
	// bootstrapDelay is how long a node without changes waits for a link before it starts from the restored copy, which is older than what
	// the others have in force, and than what it had before a restart. Links form within a second.
	bootstrapDelay = 1500 * time.Millisecond
	// incompleteFactor multiplies it for a node whose state came only from the restored copy, or that knows of revisions that it lacks.
	incompleteFactor = 5
	// establishJitter spreads the nodes; one of them establishes the log, and the others find it done.
	establishJitter     = time.Second
	resubmitJitter      = 500 * time.Millisecond
	establishRetryDelay = 200 * time.Millisecond
	// maxRewrittenChanges and maxRewrittenStatuses bound the rows that are written along with the head, within the limits of a transaction:
	// 24 changes of maxRowBytes take 0.7 MB in text form.
	maxRewrittenChanges  = 24
	maxRewrittenStatuses = 48
	// maxReplacedChanges is the number of changes before a new era that are remembered; a drill loses those of some seconds.
	maxReplacedChanges = 256
	// keptDuration is how long changes of earlier eras are remembered for yet another era.
	keptDuration = time.Minute
	// ownCommitDuration is how long a node that committed a change checks that the log still has it when a snapshot of a new era arrives.
	ownCommitDuration = time.Minute
	// cleanUpDelay is the pause between two deletions of rows of earlier eras.
	cleanUpDelay = 50 * time.Millisecond
	// rowsKeptOfEarlierEras is the least number of rows before a new era that are kept, for the history of paths and for operations that are
	// repeated.
	rowsKeptOfEarlierEras = 100
)

// keptChange is a change of an earlier era, and when the log of a later one had it.
type keptChange struct {
	change *wirepb.Change
	at     time.Time
}

// eraState is what a log knows of the eras of the store.
type eraState struct {
	wake      chan struct{}
	following atomic.Bool
	// committedAt is when this node committed a change last, in nanoseconds of the monotonic clock since started.
	committedAt atomic.Int64
	started     time.Time

	mu sync.Mutex
	// head is the newest era of the heads that were read, establishedAt when its head was first read.
	head          uint64
	establishedAt time.Time
	// pending is the era of the store in which the log has to be established, or 0; since is when this node learned of it.
	pending uint64
	since   time.Time
	jitter  time.Duration
	// restoredOnly says that the state came only from the restored copy.
	restoredOnly bool
	// replaced holds the changes that a snapshot of a new era replaced and whose fate is not known yet, included the operations among them
	// that the log still has.
	replaced []*wirepb.Change
	// kept holds the changes that the log of an era had from earlier ones, oldest first: the store may come back from an older copy still.
	kept     []keptChange
	included map[string]uint64
	// lost holds the changes that the log no longer has.
	lost []*wirepb.Change
	// resubmitted holds the revisions that lost changes got when they were submitted again: later ones of them may replace what earlier ones put.
	resubmitted map[uint64]bool
	// operations is the newest era whose earlier operations were read.
	operations uint64
	// readDue says that a link brought a snapshot of a new era and that the head is to be read.
	readDue bool
}

// EstablishedEra returns the era in which the log was established, as far as this node has read, and when it read that first.
func (l *Log) EstablishedEra() (era uint64, at time.Time) {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	return l.era.head, l.era.establishedAt
}

// namesEra reports whether the store names its era. Without that, the log does nothing about eras.
func (l *Log) namesEra() bool { return l.store != nil && l.store.NamesEra() }

// awaitEra notes that the log has to be established in the era of a head that is older than the log. A node that has no changes starts
// from the restored copy after bootstrapDelay, so that it can serve meanwhile. It returns *ReestablishingError or what Sync returns.
func (l *Log) awaitEra(ctx context.Context, row *headRow) error {
	l.notePending(row)
	if l.State().Revision == 0 && l.startsFromCopy() {
		if err := l.catchUp(ctx, row.head); err != nil {
			return err
		}
	}
	l.wakeFollower()
	return &ReestablishingError{Era: row.era}
}

// startsFromCopy reports whether a node without changes has waited long enough for a link that brings newer ones than the copy has.
func (l *Log) startsFromCopy() bool {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	l.era.restoredOnly = true
	return l.now().Sub(l.era.since) >= bootstrapDelay
}

func (l *Log) notePending(row *headRow) {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	if l.era.pending >= row.era {
		return
	}
	l.era.pending, l.era.since = row.era, l.now()
	l.era.jitter = time.Duration(l.jitter() * float64(establishJitter))
	l.logger.Info("store came back from an older copy; the log is to be established again", zap.Uint64("era", row.era),
		zap.Uint64("head_era", row.head.GetEra()), zap.Uint64("head_revision", row.head.GetRevision()), zap.Uint64("revision", l.State().Revision))
}

func (l *Log) wakeFollower() {
	select {
	case l.era.wake <- struct{}{}:
	default:
	}
}

// establishAt returns when this node may establish the log, and false if it need not.
func (l *Log) establishAt() (time.Time, bool) {
	isIncomplete := l.KnownRevision() > l.State().Revision
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	delay := establishDelay
	if isIncomplete || l.era.restoredOnly {
		delay *= incompleteFactor
	}
	return l.era.since.Add(delay + l.era.jitter), l.era.pending > 0
}

// followEra establishes the log in a new era unless another node does, and submits the changes again that the log lost.
func (l *Log) followEra(ctx context.Context) {
	defer func() {
		l.era.following.Store(false)
		if l.hasEraWork() {
			l.wakeFollower()
		}
	}()
	for ctx.Err() == nil {
		at, pending := l.establishAt()
		wait := at.Sub(l.now())
		switch {
		case pending && wait > 0:
			// The wait becomes shorter when a link brings a newer state.
			sleep(ctx, min(wait, establishRetryDelay))
		case pending:
			if err := l.establish(ctx); err != nil {
				l.logger.Info("could not establish the log; will retry", zap.Error(err))
				sleep(ctx, l.withJitter(establishRetryDelay))
			}
		case l.takeReadDue():
			l.readEra(ctx)
		default:
			lost := l.lostChanges()
			if len(lost) == 0 {
				return
			}
			sleep(ctx, time.Duration(l.jitter()*float64(resubmitJitter)))
			l.submitLost(ctx, lost)
		}
	}
}

// establish writes this node's state as the first snapshot of the log in the store's era, unless another node has, or catches up with what
// that node wrote.
func (l *Log) establish(ctx context.Context) error {
	before := l.State().Revision
	row, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	if !row.isOlder(before) {
		if err := l.catchUp(ctx, row.head); err != nil {
			return err
		}
		l.enterEra(row.head)
		return nil
	}
	l.era.mu.Lock()
	isNewer := row.era > l.era.pending
	l.era.mu.Unlock()
	if isNewer {
		l.notePending(row)
		return nil
	}
	// The copy may hold changes that no link brought here.
	if err := l.catchUp(ctx, row.head); err != nil && l.State().Revision == 0 {
		return err
	}
	return l.writeEra(ctx, row)
}

// writeEra writes the snapshot and the head of an era under the condition that the restored head has not changed.
func (l *Log) writeEra(ctx context.Context, row *headRow) error {
	l.mu.Lock()
	state, recent := l.State(), l.recentChanges[max(0, len(l.recentChanges)-maxRewrittenChanges):]
	l.mu.Unlock()
	snapshot := l.eraSnapshot(state, row)
	data, err := EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	transaction, err := l.eraTransaction(row, state, snapshot.GetRevision(), recent)
	if err != nil {
		return err
	}
	if err := l.store.PutObject(ctx, snapshotName(snapshot.GetRevision()), data); err != nil {
		return err
	}
	committed, err := l.store.TransactIn(ctx, row.era, transaction)
	if err == nil && !committed {
		return l.deleteUnnamedSnapshot(ctx, snapshot.GetRevision())
	}
	if err != nil {
		return err
	}
	l.logger.Info("log established in a new era of the store", zap.Uint64("era", row.era), zap.Uint64("revision", snapshot.GetRevision()),
		zap.Uint64("base_revision", state.Revision), zap.Uint64("restored_revision", row.head.GetRevision()))
	l.applySnapshot(snapshot)
	// An earlier snapshot may have replaced changes that this state lacks, although their revisions are lower.
	l.enterEraFrom(&wirepb.Head{Era: row.era, Revision: snapshot.GetRevision(), BaseRevision: state.Revision}, 0)
	l.tasks.Go(func() { l.deleteEarlierEras(ctx, row.head.GetSnapshotRevision(), state.Revision) })
	return nil
}

// eraSnapshot returns the state as the first snapshot of an era. Operator rows up to the restored head's version were processed before the
// copy was taken: their positions are raised into the new era, so that an older order in the copy is not taken for a new one.
func (l *Log) eraSnapshot(state *tree.State, row *headRow) *wirepb.Snapshot {
	snapshot := state.Snapshot()
	known := max(l.KnownRevision(), state.Revision, row.head.GetRevision())
	snapshot.Revision = eraRevision(known, row.era-min(row.era, row.head.GetEra()), l.jitter())
	for _, o := range snapshot.GetOrders() {
		if platform.PositionEra(o.GetVersion()) < row.era {
			o.Version = platform.Position(row.era, min(platform.PositionVersion(o.GetVersion()), row.version))
		}
	}
	return snapshot
}

// eraRevision returns the first revision of an era. It leaves room for what a node wrote that established the log in an era between the
// two, before the store came back once more.
func eraRevision(known, eras uint64, jitter float64) uint64 {
	skipped := max(eras, 1) - 1
	return known + skipped*(eraGap+eraSpread) + eraGap + min(uint64(jitter*eraSpread), eraSpread-1)
}

// eraTransaction returns the transaction that establishes the log: the head, the newest changes, whose rows the copy may lack, and the
// rows that report the newest moves to the operator.
func (l *Log) eraTransaction(row *headRow, state *tree.State, revision uint64, recent []*wirepb.Change) (*wirepb.Transaction, error) {
	key := headKeyOf(row.era)
	transaction := &wirepb.Transaction{Conditions: []*wirepb.Condition{row.condition()}, Deletes: row.older}
	if row.key != "" && row.key != key {
		transaction.Conditions = append(transaction.Conditions, &wirepb.Condition{Key: key})
		transaction.Deletes = append(transaction.Deletes, row.key)
	}
	if err := addPut(transaction, key, &wirepb.Head{Revision: revision, SnapshotRevision: revision, Era: row.era, BaseRevision: state.Revision}); err != nil {
		return nil, err
	}
	for _, c := range recent {
		if proto.Size(c) > maxRowBytes {
			packed, err := packPuts(c)
			if err != nil {
				return nil, err
			}
			if c = packed; proto.Size(c) > maxRowBytes {
				continue
			}
		}
		if err := addPut(transaction, logKey(c.GetRevision()), c); err != nil {
			return nil, err
		}
	}
	var err error
	transaction.Puts, err = l.appendExportRows(transaction.GetPuts(), []*wirepb.Change{newestRecords(state)})
	return transaction, err
}

// newestRecords returns a change that puts the newest records of moves as they are.
func newestRecords(state *tree.State) *wirepb.Change {
	var records []*wirepb.Entry
	for _, s := range state.Services {
		if e := state.Entry(tree.MoveRecordPath(s.Name)); e != nil {
			records = append(records, e)
		}
	}
	slices.SortFunc(records, func(a, b *wirepb.Entry) int { return cmp.Compare(b.GetRevision(), a.GetRevision()) })
	change := &wirepb.Change{}
	for _, e := range records[:min(len(records), maxRewrittenStatuses)] {
		change.Puts = append(change.Puts, &wirepb.Put{Path: e.GetPath(), Value: e.GetValue()})
	}
	return change
}

// deleteUnnamedSnapshot deletes the snapshot of a node that another one preceded, unless the other one chose the same revision.
func (l *Log) deleteUnnamedSnapshot(ctx context.Context, revision uint64) error {
	row, err := l.readHead(ctx)
	if err != nil || row.head.GetSnapshotRevision() == revision {
		return err
	}
	return l.store.DeleteObject(ctx, snapshotName(revision))
}

// deleteEarlierEras deletes the snapshot and the rows that the first snapshot of an era replaces, except the newest rows, in the background.
func (l *Log) deleteEarlierEras(ctx context.Context, snapshotRevision, baseRevision uint64) {
	var previous []string
	for after := logPrefix; ctx.Err() == nil; {
		rows, err := l.store.Range(ctx, logPrefix, after, rowsKeptOfEarlierEras)
		if err != nil {
			return
		}
		var keys []string
		for _, r := range rows {
			if r.GetKey() <= logKey(baseRevision) {
				keys = append(keys, r.GetKey())
			}
		}
		if len(keys) < rowsKeptOfEarlierEras {
			break
		}
		if err := l.deleteRows(ctx, previous); err != nil {
			return
		}
		previous, after = keys, keys[len(keys)-1]
		sleep(ctx, cleanUpDelay)
	}
	if snapshotRevision > 0 {
		_ = l.store.DeleteObject(ctx, snapshotName(snapshotRevision))
	}
}

// loadEarlierOperations reads, once in an era, which operations the log has from earlier eras: their changes are not among the recent ones
// of a node that got a snapshot instead.
func (l *Log) loadEarlierOperations(ctx context.Context, head *wirepb.Head) error {
	l.era.mu.Lock()
	isLoaded := l.era.operations >= head.GetEra()
	l.era.mu.Unlock()
	if isLoaded {
		return nil
	}
	operations := map[string]uint64{}
	for after, base := logPrefix, logKey(head.GetBaseRevision()); after < base; {
		rows, err := l.store.Range(ctx, logPrefix, after, maxPageRows)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			break
		}
		for _, r := range rows {
			change := &wirepb.Change{}
			if r.GetKey() <= base && proto.Unmarshal(r.GetValue(), change) == nil {
				operations[change.GetOperationId()] = change.GetRevision()
			}
		}
		after = rows[len(rows)-1].GetKey()
	}
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	for id, revision := range l.era.included {
		operations[id] = revision
	}
	l.era.included, l.era.operations = operations, head.GetEra()
	return nil
}

// isBeforeEra reports whether a head belongs to a newer era than this node's changes, which a snapshot has to replace.
func (l *Log) isBeforeEra(head *wirepb.Head) bool {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	revision := l.State().Revision
	return head.GetEra() > l.era.head && revision > 0 && revision < head.GetSnapshotRevision()
}

// enterEra notes that the log is established in the era of a head, and finds the changes that it lost.
func (l *Log) enterEra(head *wirepb.Head) {
	l.era.mu.Lock()
	skipsEra := head.GetEra() > l.era.head+1
	l.era.mu.Unlock()
	base := head.GetBaseRevision()
	if skipsEra {
		// What the eras between took over is not known.
		base = 0
	}
	l.enterEraFrom(head, base)
}

// enterEraFrom is enterEra for a log that surely has the changes up to a base revision that this node had.
func (l *Log) enterEraFrom(head *wirepb.Head, base uint64) {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	if head.GetEra() >= l.era.pending {
		l.era.pending, l.era.restoredOnly = 0, false
	}
	if head.GetEra() <= l.era.head {
		return
	}
	l.era.head, l.era.establishedAt = head.GetEra(), l.now()
	l.era.included = map[string]uint64{}
	candidates, now := l.keptChanges(), l.now()
	kept := len(candidates)
	candidates = append(candidates, l.era.replaced...)
	l.era.replaced, l.era.kept = nil, l.era.kept[len(l.era.kept)-kept:]
	for i, c := range candidates {
		isSure := i >= kept && c.GetRevision() <= base
		if !isSure && isMissing(l.State(), c, candidates[i+1:]) {
			l.era.lost = append(l.era.lost, c)
			continue
		}
		l.era.included[c.GetOperationId()] = c.GetRevision()
		if i >= kept {
			l.era.kept = append(l.era.kept, keptChange{change: c, at: now})
		}
	}
	l.era.kept = l.era.kept[max(0, len(l.era.kept)-maxReplacedChanges):]
	if len(l.era.lost) > 0 {
		l.wakeFollower()
	}
}

// keptChanges returns the changes of earlier eras that a store which comes back from a still older copy may lose. l.era.mu must be held.
func (l *Log) keptChanges() []*wirepb.Change {
	var list []*wirepb.Change
	for _, k := range l.era.kept {
		if l.now().Sub(k.at) < keptDuration {
			list = append(list, k.change)
		}
	}
	return list
}

// isMissing reports whether a state does not hold what a change put and later changes did not replace: an entry keeps the revision of the
// change that set it.
func isMissing(state *tree.State, change *wirepb.Change, later []*wirepb.Change) bool {
	for _, p := range change.GetPuts() {
		if slices.ContainsFunc(later, func(c *wirepb.Change) bool { return writesPath(c, p.GetPath()) }) {
			continue
		}
		e := state.Entry(p.GetPath())
		if e == nil && !p.GetDelete() || e != nil && e.GetRevision() < change.GetRevision() {
			return true
		}
	}
	return false
}

func (l *Log) lostChanges() []*wirepb.Change {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	return slices.Clone(l.era.lost)
}

func (l *Log) forgetLost(change *wirepb.Change) {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	l.era.lost = slices.DeleteFunc(l.era.lost, func(c *wirepb.Change) bool { return c == change })
}

// submitLost submits changes again that were accepted in an earlier era and that the log no longer has.
func (l *Log) submitLost(ctx context.Context, lost []*wirepb.Change) {
	for _, c := range lost {
		operation, revision := zap.String("operation", c.GetOperationId()), zap.Uint64("revision", c.GetRevision())
		if c.GetSourceVersion() > 0 || c.GetOrder() != nil {
			l.forgetLost(c)
			l.logger.Info("lost change left to the importer", operation, revision)
			continue
		}
		next, err := l.Submit(ctx, c.GetOperationId(), func(state *tree.State) (*wirepb.Change, error) {
			if err := l.checkUnchanged(state, c); err != nil {
				return nil, err
			}
			return &wirepb.Change{Revision: state.Revision + 1, Author: c.GetAuthor(), Time: c.GetTime(), Puts: c.GetPuts()}, nil
		})
		switch {
		case err == nil:
			l.recordResubmitted(c, next)
			l.Counters.SubmittedAgain.Add(1)
			l.logger.Info("lost change submitted again", operation, revision, zap.Uint64("new_revision", next))
		case ctx.Err() != nil || isPassing(err):
			// Later changes may replace what this one put: they wait for it.
			l.logger.Info("could not submit lost change again; will retry", operation, revision, zap.Error(err))
			sleep(ctx, l.withJitter(establishRetryDelay))
			return
		default:
			l.forgetLost(c)
			l.Counters.Dropped.Add(1)
			l.logger.Warn("lost change dropped", operation, revision, zap.Error(err))
		}
	}
}

// isPassing reports whether a change that failed with an error may succeed later.
func isPassing(err error) bool {
	var unavailable *store.UnavailableError
	var storeUnknown *store.UnknownOutcomeError
	var unknown *UnknownOutcomeError
	var reestablishing *ReestablishingError
	var queueFull *QueueFullError
	var contention *ContentionError
	var stopped *StoppedError
	return errors.As(err, &unavailable) || errors.As(err, &storeUnknown) || errors.As(err, &unknown) || errors.As(err, &reestablishing) ||
		errors.As(err, &queueFull) || errors.As(err, &contention) || errors.As(err, &stopped)
}

func (l *Log) recordResubmitted(change *wirepb.Change, revision uint64) {
	l.forgetLost(change)
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	l.era.resubmitted[revision] = true
}

// checkUnchanged returns *SupersededError if a path of a lost change was changed since by another change than those that were submitted
// again.
func (l *Log) checkUnchanged(state *tree.State, change *wirepb.Change) error {
	l.era.mu.Lock()
	base, resubmitted := change.GetRevision(), maps.Clone(l.era.resubmitted)
	l.era.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range change.GetPuts() {
		if revision := state.Entry(p.GetPath()).GetRevision(); revision > base && !resubmitted[revision] {
			return &SupersededError{Path: p.GetPath()}
		}
		for _, c := range l.recentChanges {
			if c.GetRevision() > base && !resubmitted[c.GetRevision()] && writesPath(c, p.GetPath()) {
				return &SupersededError{Path: p.GetPath()}
			}
		}
	}
	return nil
}

// includedRevision returns the revision of an operation of an earlier era that the log still has.
func (l *Log) includedRevision(id string) (uint64, bool) {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	revision, found := l.era.included[id]
	return revision, found
}

// syncInEra is sync that waits, while the log is to be established, as long as a submission waits. It reports whether the log has the
// changes whose write met another era of the store; while that cannot be told, it returns *UnknownOutcomeError.
func (l *Log) syncInEra(ctx context.Context, first *submission, unresolved []*wirepb.Change) (*headRow, bool, error) {
	for {
		row, err := l.sync(ctx)
		included := false
		if err == nil && len(unresolved) > 0 && unresolved[0].GetRevision() <= row.head.GetBaseRevision() {
			included, _, err = l.findWritten(ctx, unresolved[0])
		}
		ended := first.ctx.Err() != nil || ctx.Err() != nil
		var reestablishing *ReestablishingError
		switch {
		case err == nil:
			return row, included, nil
		case ended && len(unresolved) > 0:
			// The cause is not the failure to read, which says that nothing was written.
			return nil, false, &UnknownOutcomeError{OperationID: first.operationID, Cause: &store.EraChangedError{Have: l.store.Era()}}
		case ended, !errors.As(err, &reestablishing) && len(unresolved) == 0:
			return nil, false, err
		}
		if l.era.following.CompareAndSwap(false, true) {
			l.tasks.Go(func() { l.followEra(ctx) })
		}
		sleep(first.ctx, l.withJitter(establishRetryDelay))
	}
}

func (l *Log) recordCommit() { l.era.committedAt.Store(int64(l.now().Sub(l.era.started))) }

// noteReplaced remembers the changes that a snapshot of a new era replaces. l.mu must be held.
func (l *Log) noteReplaced(previous *tree.State, snapshot *wirepb.Snapshot) {
	if !l.namesEra() || previous.Revision == 0 || snapshot.GetRevision() < previous.Revision+eraGap {
		return
	}
	l.era.mu.Lock()
	l.era.replaced = append(l.era.replaced, l.recentChanges[max(0, len(l.recentChanges)-maxReplacedChanges):]...)
	l.era.replaced = l.era.replaced[max(0, len(l.era.replaced)-maxReplacedChanges):]
	l.era.mu.Unlock()
	committedAt := time.Duration(l.era.committedAt.Load())
	if committedAt > 0 && l.now().Sub(l.era.started)-committedAt < ownCommitDuration || l.watchesEras() {
		l.era.mu.Lock()
		l.era.readDue = true
		l.era.mu.Unlock()
		l.wakeFollower()
	}
}

// readEra learns of the new era from the store, for a node to which a link brought a snapshot of it.
func (l *Log) readEra(ctx context.Context) {
	sleep(ctx, time.Duration(l.jitter()*float64(establishDelay)))
	if err := l.Sync(ctx); err != nil {
		l.logger.Info("could not read the head of the new era; will retry", zap.Error(err))
		l.era.mu.Lock()
		l.era.readDue = true
		l.era.mu.Unlock()
	}
}

func (l *Log) takeReadDue() bool {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	due := l.era.readDue
	l.era.readDue = false
	return due
}

// hasEraWork reports whether followEra has something to do.
func (l *Log) hasEraWork() bool {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	return l.era.pending > 0 || l.era.readDue || len(l.era.lost) > 0
}

// noteLinked notes that a link brought changes, so that the state did not come only from a restored copy.
func (l *Log) noteLinked() {
	l.era.mu.Lock()
	defer l.era.mu.Unlock()
	l.era.restoredOnly = false
}
