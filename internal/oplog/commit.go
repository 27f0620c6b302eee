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
	maxWaiting        = 256
	maxBatch          = 32
	maxAttempts       = 64
	retryPause        = 20 * time.Millisecond
	commitTimeout     = 8 * time.Second
	snapshotDistance  = 256
	keptBeforeTrim    = recentChanges
	maxTrimmedAtOnce  = 400
	unresolvedTimeout = 4 * time.Second
	// maxRowBytes leaves room for a whole batch in one transaction of the platform, 1 MB in its text form.
	maxRowBytes  = 20 << 10
	changePrefix = "change-"
)

// BuildFunc makes a change on a state; it is called again when another writer was faster.
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
		return 0, &QueueFullError{Waiting: maxWaiting}
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
	for {
		select {
		case <-ctx.Done():
			l.refuseWaiting()
			return
		case first := <-l.queue:
			l.commitBatch(ctx, l.gather(first))
		}
	}
}

// refuseWaiting answers the changes that the process no longer commits.
func (l *Log) refuseWaiting() {
	for {
		select {
		case s := <-l.queue:
			answer([]*submission{s}, 0, &StoppedError{})
		default:
			return
		}
	}
}

func (l *Log) gather(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatch {
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
	for range maxAttempts {
		head, version, err := l.sync(ctx)
		if err != nil {
			answer(batch, 0, err)
			return
		}
		var changes []*wirepb.Change
		batch, changes = l.prepare(batch)
		if len(batch) == 0 {
			return
		}
		committed, err := l.write(ctx, head, version, changes)
		if err != nil {
			answer(batch, 0, err)
			return
		}
		if committed {
			l.accept(ctx, head, batch, changes)
			return
		}
		pause(ctx, time.Duration(l.jitter()*float64(retryPause)))
	}
	answer(batch, 0, &ContentionError{Attempts: maxAttempts})
}

// prepare builds the changes one after the other and answers those that fail or were committed before.
func (l *Log) prepare(batch []*submission) ([]*submission, []*wirepb.Change) {
	state := l.State()
	var kept []*submission
	var changes []*wirepb.Change
	for _, s := range batch {
		if s.ctx.Err() != nil {
			answer([]*submission{s}, 0, s.ctx.Err())
			continue
		}
		if revision, found := l.operation(s.operationID); found {
			answer([]*submission{s}, revision, nil)
			continue
		}
		change, next, err := buildOn(state, s)
		if err != nil {
			answer([]*submission{s}, 0, err)
			continue
		}
		state = next
		kept, changes = append(kept, s), append(changes, change)
	}
	return kept, changes
}

func buildOn(state *tree.State, s *submission) (*wirepb.Change, *tree.State, error) {
	change, err := s.build(state)
	if err != nil {
		return nil, nil, err
	}
	change.OperationId = s.operationID
	next, err := state.Apply(change)
	return change, next, err
}

// write reports whether the changes took their places; a lost answer is resolved by the operation id in the row.
func (l *Log) write(ctx context.Context, head *wirepb.Head, version uint64, changes []*wirepb.Change) (bool, error) {
	rows, err := l.packLarge(ctx, changes)
	if err != nil {
		return false, err
	}
	transaction, err := newTransaction(head, version, rows)
	if err != nil {
		return false, err
	}
	if transaction.Puts, err = l.withExports(transaction.GetPuts(), changes); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, unresolvedTimeout)
	defer cancel()
	var unknown *store.UnknownOutcomeError
	unresolved := false
	for {
		committed, err := l.store.Transact(ctx, transaction)
		switch {
		case err == nil && (committed || !unresolved):
			return committed, nil
		case err != nil && !unresolved && !errors.As(err, &unknown):
			return false, err
		}
		// A refused condition means that the lost write cannot take effect any more.
		overtaken := err == nil
		unresolved = true
		written, found, err := l.written(ctx, changes[0])
		if err == nil && (found || overtaken) {
			return written, nil
		}
		if ctx.Err() != nil {
			return false, &UnknownOutcomeError{OperationID: changes[0].GetOperationId(), Cause: unknown}
		}
		pause(ctx, l.spread(retryPause))
	}
}

// written reports whether the place of a change is taken, and if so whether by this change.
func (l *Log) written(ctx context.Context, change *wirepb.Change) (mine, found bool, err error) {
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

// packLarge compresses the puts of large changes, most of which repeat each other, and moves those into objects that are
// too large for a row even so.
func (l *Log) packLarge(ctx context.Context, changes []*wirepb.Change) ([]*wirepb.Change, error) {
	rows := slices.Clone(changes)
	for i, c := range changes {
		if proto.Size(c) <= maxRowBytes {
			continue
		}
		data, err := EncodeSnapshot(&wirepb.Snapshot{Puts: c.GetPuts()})
		if err != nil {
			return nil, err
		}
		rows[i] = proto.CloneOf(c)
		rows[i].Puts = nil
		if len(data) <= maxRowBytes {
			rows[i].Packed = data
			continue
		}
		rows[i].Object = changePrefix + uuid.NewString()
		if err := l.store.PutObject(ctx, rows[i].GetObject(), data); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// withExports adds the rows that tell others of the changes.
func (l *Log) withExports(puts []*wirepb.Row, changes []*wirepb.Change) ([]*wirepb.Row, error) {
	if l.export == nil {
		return puts, nil
	}
	for _, c := range changes {
		rows, err := l.export(c)
		if err != nil {
			return nil, err
		}
		puts = append(puts, rows...)
	}
	return puts, nil
}

func newTransaction(head *wirepb.Head, version uint64, changes []*wirepb.Change) (*wirepb.Transaction, error) {
	next := &wirepb.Head{
		Revision:         changes[len(changes)-1].GetRevision(),
		SnapshotRevision: head.GetSnapshotRevision(),
	}
	transaction := &wirepb.Transaction{Conditions: []*wirepb.Condition{{Key: headKey, Version: version}}}
	if err := addRow(transaction, headKey, next); err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := addRow(transaction, logKey(c.GetRevision()), c); err != nil {
			return nil, err
		}
	}
	return transaction, nil
}

func addRow(transaction *wirepb.Transaction, key string, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return &CorruptError{Name: key, Cause: err}
	}
	transaction.Puts = append(transaction.Puts, &wirepb.Row{Key: key, Value: value})
	return nil
}

func (l *Log) accept(ctx context.Context, head *wirepb.Head, batch []*submission, changes []*wirepb.Change) {
	l.ApplyChanges(changes)
	for i, s := range batch {
		s.reply <- submissionResult{revision: changes[i].GetRevision()}
	}
	newest := changes[len(changes)-1].GetRevision()
	if newest-head.GetSnapshotRevision() < snapshotDistance {
		return
	}
	if err := l.storeSnapshot(ctx); err != nil {
		l.logger.Warn("snapshot not stored", zap.Uint64("revision", newest), zap.Error(err))
	}
}

// storeSnapshot stores the state in force as an object, then points the head to it and trims rows that it replaces.
func (l *Log) storeSnapshot(ctx context.Context) error {
	snapshot := l.State().Snapshot()
	data, err := EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := l.store.PutObject(ctx, snapshotName(snapshot.GetRevision()), data); err != nil {
		return err
	}
	head, version, err := l.head(ctx)
	if err != nil || head.GetSnapshotRevision() >= snapshot.GetRevision() {
		return err
	}
	previous := head.GetSnapshotRevision()
	head.SnapshotRevision = snapshot.GetRevision()
	transaction := &wirepb.Transaction{Conditions: []*wirepb.Condition{{Key: headKey, Version: version}}}
	if err := addRow(transaction, headKey, head); err != nil {
		return err
	}
	committed, err := l.store.Transact(ctx, transaction)
	if err != nil || !committed {
		return err
	}
	if err := l.trim(ctx, trimmedKeys(snapshot.GetRevision())); err != nil || previous == 0 {
		return err
	}
	return l.store.DeleteObject(ctx, snapshotName(previous))
}

// trim removes rows that the snapshot replaces; one that is left is removed after the next snapshot.
func (l *Log) trim(ctx context.Context, keys []string) error {
	for part := range slices.Chunk(keys, platform.MaxTransactionEntries) {
		if _, err := l.store.Transact(ctx, &wirepb.Transaction{Deletes: part}); err != nil {
			return err
		}
	}
	return nil
}

func trimmedKeys(snapshotRevision uint64) []string {
	if snapshotRevision <= keptBeforeTrim {
		return nil
	}
	newest := snapshotRevision - keptBeforeTrim
	oldest := uint64(1)
	if newest > maxTrimmedAtOnce {
		oldest = newest - maxTrimmedAtOnce
	}
	keys := make([]string, 0, newest-oldest+1)
	for i := oldest; i <= newest; i++ {
		keys = append(keys, logKey(i))
	}
	return keys
}

func answer(batch []*submission, revision uint64, err error) {
	for _, s := range batch {
		s.reply <- submissionResult{revision: revision, err: err}
	}
}
