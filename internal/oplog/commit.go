package oplog

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	maxQueuedChanges  = 256
	maxBatchChanges   = 32
	maxCommitAttempts = 64
	retryDelay        = 20 * time.Millisecond
	commitTimeout     = 8 * time.Second
	// changesPerSnapshot is small, since a node that starts replays the changes after the newest snapshot, which takes longer
	// than reading the snapshot.
	changesPerSnapshot = 8
	// rowsKeptBeforeSnapshot lets nodes that are up to so many revisions behind a snapshot catch up without it.
	rowsKeptBeforeSnapshot = recentChangesKept
	// maxTrimmedRows is the number of rows deleted after one snapshot, in one transaction. It exceeds changesPerSnapshot several
	// times, so that a deletion repeats the ones before it, which may have failed.
	maxTrimmedRows = platform.MaxTransactionEntries
	writeTimeout   = 4 * time.Second
	// maxRowBytes lets a full batch fit into one transaction, which the platform limits to 1 MB in text form.
	maxRowBytes        = 20 << 10
	changeObjectPrefix = "change-"
)

// BuildFunc builds a change for a state; it is called again if a concurrent writer commits first.
type BuildFunc func(state *tree.State) (*wirepb.Change, error)

type submission struct {
	ctx         context.Context
	operationID string
	build       BuildFunc
	reply       chan submissionResult
}

type submissionResult struct {
	revision uint64
	err      error
}

// Submit commits a change and returns its revision; besides the errors of build it returns
// *QueueFullError, *StoppedError, *ContentionError, *UnknownOutcomeError or *store.UnavailableError.
func (l *Log) Submit(ctx context.Context, operationID string, build BuildFunc) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	s := &submission{ctx: ctx, operationID: operationID, build: build, reply: make(chan submissionResult, 1)}
	select {
	case l.queue <- s:
	default:
		return 0, &QueueFullError{Waiting: maxQueuedChanges}
	}
	select {
	case result := <-s.reply:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, &UnknownOutcomeError{OperationID: operationID, Cause: ctx.Err()}
	}
}

// RunCommitter commits submitted changes in batches until the context ends.
func (l *Log) RunCommitter(ctx context.Context) {
	defer l.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			l.failQueued()
			return
		case first := <-l.queue:
			l.commitBatch(ctx, l.gatherBatch(first))
		case <-l.era.wake:
			if l.era.following.CompareAndSwap(false, true) {
				l.tasks.Go(func() { l.followEra(ctx) })
			}
		}
	}
}

// failQueued replies *StoppedError to all queued changes.
func (l *Log) failQueued() {
	for {
		select {
		case s := <-l.queue:
			replyAll([]*submission{s}, 0, &StoppedError{})
		default:
			return
		}
	}
}

func (l *Log) gatherBatch(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatchChanges {
		select {
		case next := <-l.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (l *Log) commitBatch(ctx context.Context, batch []*submission) {
	started := l.now()
	// unresolved holds the changes of the batch that may have been committed in an earlier era of the store.
	var unresolved []*wirepb.Change
	for attempt := 1; attempt <= maxCommitAttempts; attempt++ {
		row, included, err := l.syncInEra(ctx, batch[0], unresolved)
		if err != nil {
			replyAll(batch, 0, err)
			return
		}
		if included {
			replyCommitted(batch, unresolved)
			return
		}
		if err := l.loadEarlierOperations(ctx, row.head); err != nil {
			replyAll(batch, 0, err)
			return
		}
		var changes []*wirepb.Change
		batch, changes = l.buildChanges(batch)
		if len(batch) == 0 {
			return
		}
		writing := l.now()
		committed, err := l.writeChanges(ctx, row, changes)
		unresolved = nil
		switch {
		case store.IsOtherEra(err):
			unresolved = changes
			continue
		case err != nil:
			replyAll(batch, 0, err)
			return
		case committed:
			l.logger.Info("changes committed", zap.Uint64("revision", changes[len(changes)-1].GetRevision()), zap.Int("changes", len(changes)),
				zap.Int("attempts", attempt), zap.Duration("took", l.now().Sub(started)), zap.Duration("written_in", l.now().Sub(writing)))
			l.applyCommitted(ctx, row, batch, changes)
			return
		}
		sleep(ctx, time.Duration(l.jitter()*float64(retryDelay)))
	}
	replyAll(batch, 0, &ContentionError{Attempts: maxCommitAttempts})
}

// buildChanges builds each change on the state after the previous one. It replies to submissions that fail or are already
// committed, and returns the others with their changes.
func (l *Log) buildChanges(batch []*submission) ([]*submission, []*wirepb.Change) {
	state := l.State()
	var remaining []*submission
	var changes []*wirepb.Change
	for _, s := range batch {
		if s.ctx.Err() != nil {
			replyAll([]*submission{s}, 0, s.ctx.Err())
			continue
		}
		if revision, found := l.revisionOfOperation(s.operationID); found {
			replyAll([]*submission{s}, revision, nil)
			continue
		}
		change, next, err := buildChange(state, s)
		if err != nil {
			replyAll([]*submission{s}, 0, err)
			continue
		}
		state = next
		remaining, changes = append(remaining, s), append(changes, change)
	}
	return remaining, changes
}

func buildChange(state *tree.State, s *submission) (*wirepb.Change, *tree.State, error) {
	change, err := s.build(state)
	if err != nil {
		return nil, nil, err
	}
	change.OperationId = s.operationID
	next, err := state.Apply(change)
	return change, next, err
}

// writeChanges reports whether the changes were committed at their revisions. If the platform's response is lost, it looks
// for the operation id of the first change in the row of that revision.
func (l *Log) writeChanges(ctx context.Context, head *headRow, changes []*wirepb.Change) (bool, error) {
	rows, err := l.packLargeChanges(ctx, changes)
	if err != nil {
		return false, err
	}
	transaction, err := newTransaction(head, rows)
	if err != nil {
		return false, err
	}
	if transaction.Puts, err = l.appendExportRows(transaction.GetPuts(), changes); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var unknown *store.UnknownOutcomeError
	unresolved := false
	for {
		committed, err := l.store.TransactIn(ctx, head.era, transaction)
		switch {
		case err == nil && (committed || !unresolved):
			return committed, nil
		case store.IsOtherEra(err):
			return false, err
		case err != nil && !unresolved && !errors.As(err, &unknown):
			return false, err
		}
		// The condition on the head no longer holds, so the write with the lost response cannot be committed any more.
		headMoved := err == nil
		unresolved = true
		written, found, err := l.findWritten(ctx, changes[0])
		if have := l.store.Era(); have != head.era {
			return false, &store.EraChangedError{Want: head.era, Have: have}
		}
		if err == nil && (found || headMoved) {
			return written, nil
		}
		if ctx.Err() != nil {
			return false, &UnknownOutcomeError{OperationID: changes[0].GetOperationId(), Cause: unknown}
		}
		sleep(ctx, l.withJitter(retryDelay))
	}
}

// findWritten reports whether the row of a change's revision exists, and if so whether it holds this change.
func (l *Log) findWritten(ctx context.Context, change *wirepb.Change) (matches, found bool, err error) {
	row, err := l.store.Row(ctx, logKey(change.GetRevision()))
	if err != nil || row == nil {
		return false, false, err
	}
	stored := &wirepb.Change{}
	if err := proto.Unmarshal(row.GetValue(), stored); err != nil {
		return false, false, &CorruptError{Name: row.GetKey(), Cause: err}
	}
	return stored.GetOperationId() == change.GetOperationId(), true, nil
}

// packLargeChanges compresses the puts of large changes, most of which repeat each other, and stores them as an object if
// they are still too large for a row.
func (l *Log) packLargeChanges(ctx context.Context, changes []*wirepb.Change) ([]*wirepb.Change, error) {
	rows := slices.Clone(changes)
	for i, c := range changes {
		if proto.Size(c) <= maxRowBytes {
			continue
		}
		packed, err := packPuts(c)
		if err != nil {
			return nil, err
		}
		rows[i] = packed
		if len(packed.GetPacked()) <= maxRowBytes {
			continue
		}
		data := packed.GetPacked()
		packed.Object, packed.Packed = changeObjectPrefix+uuid.NewString(), nil
		if err := l.store.PutObject(ctx, packed.GetObject(), data); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// appendExportRows adds the rows of other tables that are written along with the changes.
func (l *Log) appendExportRows(puts []*wirepb.Row, changes []*wirepb.Change) ([]*wirepb.Row, error) {
	if l.exportRows == nil {
		return puts, nil
	}
	for _, c := range changes {
		rows, err := l.exportRows(c)
		if err != nil {
			return nil, err
		}
		puts = append(puts, rows...)
	}
	return puts, nil
}

func newTransaction(head *headRow, changes []*wirepb.Change) (*wirepb.Transaction, error) {
	next := head.next(changes[len(changes)-1].GetRevision(), head.head.GetSnapshotRevision())
	transaction := &wirepb.Transaction{Conditions: []*wirepb.Condition{head.condition()}}
	if err := addPut(transaction, headKeyOf(head.era), next); err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := addPut(transaction, logKey(c.GetRevision()), c); err != nil {
			return nil, err
		}
	}
	return transaction, nil
}

func addPut(transaction *wirepb.Transaction, key string, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return &CorruptError{Name: key, Cause: err}
	}
	transaction.Puts = append(transaction.Puts, &wirepb.Row{Key: key, Value: value})
	return nil
}

func (l *Log) applyCommitted(ctx context.Context, head *headRow, batch []*submission, changes []*wirepb.Change) {
	l.ApplyChanges(changes, Origin{ReceivedAt: l.now()})
	l.recordCommit()
	replyCommitted(batch, changes)
	newest := changes[len(changes)-1].GetRevision()
	// The first head of the log in an era is not read before it is written.
	l.enterEra(head.next(newest, head.head.GetSnapshotRevision()))
	if newest-head.head.GetSnapshotRevision() < changesPerSnapshot || !l.storingSnapshot.CompareAndSwap(false, true) {
		return
	}
	l.tasks.Go(func() { l.storeSnapshots(ctx) })
}

// storeSnapshots stores snapshots until none is due: changes may be committed while one is stored.
func (l *Log) storeSnapshots(ctx context.Context) {
	for due := true; due; {
		revision := l.State().Revision
		err := l.storeSnapshot(ctx)
		if err != nil {
			l.logger.Warn("could not store snapshot", zap.Uint64("revision", revision), zap.Error(err))
		}
		l.storingSnapshot.Store(false)
		due = err == nil && l.State().Revision-revision >= changesPerSnapshot && l.storingSnapshot.CompareAndSwap(false, true)
	}
}

// storeSnapshot stores the current state as an object and names it in the head, then deletes rows and the snapshot that it
// replaces.
func (l *Log) storeSnapshot(ctx context.Context) error {
	snapshot, err := l.EncodedSnapshot()
	if err != nil {
		return err
	}
	if err := l.store.PutObject(ctx, snapshotName(snapshot.Revision), snapshot.Data); err != nil {
		return err
	}
	previous, named, err := l.nameSnapshot(ctx, snapshot.Revision)
	if err != nil || !named {
		return err
	}
	if err := l.deleteRows(ctx, trimmableKeys(snapshot.Revision)); err != nil || previous == 0 {
		return err
	}
	return l.store.DeleteObject(ctx, snapshotName(previous))
}

// nameSnapshot names a snapshot in the head, which commits beside it may change several times, and returns the revision of the
// snapshot that was named before. It reports false if the head names a newer one, or if commits came first every time.
func (l *Log) nameSnapshot(ctx context.Context, revision uint64) (uint64, bool, error) {
	for range maxCommitAttempts {
		before := l.State().Revision
		row, err := l.readHead(ctx)
		// A snapshot of an earlier era is no part of the log any more.
		if err != nil || row.isOlder(before) || row.head.GetSnapshotRevision() >= revision {
			return 0, false, err
		}
		transaction := &wirepb.Transaction{Conditions: []*wirepb.Condition{row.condition()}}
		if err := addPut(transaction, headKeyOf(row.era), row.next(row.head.GetRevision(), revision)); err != nil {
			return 0, false, err
		}
		if committed, err := l.store.TransactIn(ctx, row.era, transaction); err != nil || committed {
			return row.head.GetSnapshotRevision(), committed, err
		}
	}
	return 0, false, nil
}

// deleteRows deletes rows that a snapshot replaces; those left by a failure are deleted after the next snapshot if they
// are still among its trimmableKeys.
func (l *Log) deleteRows(ctx context.Context, keys []string) error {
	for part := range slices.Chunk(keys, platform.MaxTransactionEntries) {
		if _, err := l.store.Transact(ctx, &wirepb.Transaction{Deletes: part}); err != nil {
			return err
		}
	}
	return nil
}

func trimmableKeys(snapshotRevision uint64) []string {
	if snapshotRevision <= rowsKeptBeforeSnapshot {
		return nil
	}
	newest := snapshotRevision - rowsKeptBeforeSnapshot
	oldest := uint64(1)
	if newest > maxTrimmedRows {
		oldest = newest - maxTrimmedRows + 1
	}
	keys := make([]string, 0, newest-oldest+1)
	for i := oldest; i <= newest; i++ {
		keys = append(keys, logKey(i))
	}
	return keys
}

// replyCommitted replies to each submission the revision of its change.
func replyCommitted(batch []*submission, changes []*wirepb.Change) {
	for i, s := range batch {
		s.reply <- submissionResult{revision: changes[i].GetRevision()}
	}
}

func replyAll(batch []*submission, revision uint64, err error) {
	for _, s := range batch {
		s.reply <- submissionResult{revision: revision, err: err}
	}
}
