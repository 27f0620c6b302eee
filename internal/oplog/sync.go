package oplog

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	logPrefix       = "log/"
	maxPageRows     = 500
	maxSyncAttempts = 3
	// maxParallelLoads is the number of objects that are read at the same time.
	maxParallelLoads = 8
	maxSnapshotBytes = 256 << 20
)

func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

func snapshotName(revision uint64) string { return fmt.Sprintf("snapshot-%020d", revision) }

// Sync catches up with the platform's table; it returns *store.UnavailableError, *CorruptError or *ReestablishingError.
func (l *Log) Sync(ctx context.Context) error {
	_, err := l.sync(ctx)
	return err
}

func (l *Log) sync(ctx context.Context) (*headRow, error) {
	for attempt := 1; ; attempt++ {
		before := l.State().Revision
		row, err := l.readHead(ctx)
		if err != nil {
			return nil, err
		}
		l.recordKnownRevision(row.head.GetRevision())
		if row.isOlder(before) {
			return nil, l.awaitEra(ctx, row)
		}
		err = l.catchUp(ctx, row.head)
		// A newer snapshot replaced this one since the head was read; the head now names the newer one.
		var missing *store.NotFoundError
		if errors.As(err, &missing) && attempt < maxSyncAttempts {
			continue
		}
		if err == nil {
			l.enterEra(row.head)
		}
		return row, err
	}
}

func (l *Log) catchUp(ctx context.Context, head *wirepb.Head) error {
	if l.isBeforeEra(head) {
		if err := l.loadSnapshot(ctx, head.GetSnapshotRevision()); err != nil {
			return err
		}
	}
	for l.State().Revision < head.GetRevision() {
		before := l.State().Revision
		// A node that has nothing yet starts from the snapshot. Others replay the changes, by whose operation ids they recognise
		// what they have committed themselves.
		if before == 0 && head.GetSnapshotRevision() > 0 {
			if err := l.loadSnapshot(ctx, head.GetSnapshotRevision()); err != nil {
				l.logger.Warn("could not load snapshot; replaying the changes", zap.Uint64("revision", head.GetSnapshotRevision()), zap.Error(err))
			}
		}
		if err := l.catchUpPage(ctx, head); err != nil {
			return err
		}
		if l.State().Revision == before {
			return nil
		}
	}
	return nil
}

func (l *Log) catchUpPage(ctx context.Context, head *wirepb.Head) error {
	rows, err := l.store.Range(ctx, logPrefix, logKey(l.State().Revision), maxPageRows)
	if err != nil {
		return err
	}
	received := l.now()
	changes, err := l.decodeChanges(ctx, rows)
	if err != nil {
		return err
	}
	// A new era of the store leaves a gap of revisions, which its first snapshot spans.
	consecutive := consecutiveChanges(changes)
	if l.ApplyChanges(consecutive, Origin{ReceivedAt: received}) || len(consecutive) < len(changes) {
		return l.loadSnapshot(ctx, head.GetSnapshotRevision())
	}
	return nil
}

// consecutiveChanges returns the changes before the first gap of revisions.
func consecutiveChanges(changes []*wirepb.Change) []*wirepb.Change {
	for i := 1; i < len(changes); i++ {
		if changes[i].GetRevision() != changes[i-1].GetRevision()+1 {
			return changes[:i]
		}
	}
	return changes
}

func (l *Log) decodeChanges(ctx context.Context, rows []*wirepb.Row) ([]*wirepb.Change, error) {
	changes := make([]*wirepb.Change, 0, len(rows))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for _, r := range rows {
		change := &wirepb.Change{}
		if err := proto.Unmarshal(r.GetValue(), change); err != nil {
			return nil, &CorruptError{Name: r.GetKey(), Cause: err}
		}
		changes = append(changes, change)
		group.Go(func() error { return l.loadPuts(ctx, change) })
	}
	return changes, group.Wait()
}

// loadPuts restores the puts of a change that are packed or stored as an object.
func (l *Log) loadPuts(ctx context.Context, change *wirepb.Change) error {
	data := change.GetPacked()
	if change.GetObject() != "" {
		var err error
		if data, err = l.store.Object(ctx, change.GetObject()); err != nil {
			return err
		}
	}
	if len(data) == 0 {
		return nil
	}
	return unpack(change, data)
}

func unpack(change *wirepb.Change, data []byte) error {
	stored, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	change.Puts, change.Object, change.Packed = stored.GetPuts(), "", nil
	return nil
}

func (l *Log) loadSnapshot(ctx context.Context, revision uint64) error {
	data, err := l.store.Object(ctx, snapshotName(revision))
	if err != nil {
		return err
	}
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	l.applySnapshot(snapshot)
	return nil
}

// History returns the changes of a path whose rows are not deleted yet, newest first; it returns *store.UnavailableError or *CorruptError.
func (l *Log) History(ctx context.Context, path string) ([]*wirepb.Change, error) {
	var found []*wirepb.Change
	for after := logPrefix; ; {
		rows, err := l.store.Range(ctx, logPrefix, after, maxPageRows)
		if err != nil {
			return nil, err
		}
		changes, err := l.decodeChanges(ctx, rows)
		if err != nil {
			return nil, err
		}
		for _, c := range changes {
			if writesPath(c, path) {
				found = append(found, c)
			}
		}
		if len(rows) < maxPageRows {
			slices.Reverse(found)
			return found, nil
		}
		after = rows[len(rows)-1].GetKey()
	}
}

func writesPath(change *wirepb.Change, path string) bool {
	for _, p := range change.GetPuts() {
		if p.GetPath() == path {
			return true
		}
	}
	return false
}

// withJitter returns a duration of half to one and a half times the base.
func (l *Log) withJitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(l.jitter()*float64(base))
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// EncodeSnapshot encodes and compresses a snapshot; it returns *CorruptError for text that cannot be encoded.
func EncodeSnapshot(snapshot *wirepb.Snapshot) ([]byte, error) {
	plain, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, &CorruptError{Name: "snapshot", Cause: err}
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, &CorruptError{Name: "snapshot", Cause: err}
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(plain, nil), nil
}

// DecodeSnapshot decompresses and decodes a snapshot of at most 256 MiB; it returns *CorruptError.
func DecodeSnapshot(data []byte) (*wirepb.Snapshot, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, &CorruptError{Name: "snapshot", Cause: err}
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, &CorruptError{Name: "snapshot", Cause: err}
	}
	snapshot := &wirepb.Snapshot{}
	if err := proto.Unmarshal(plain, snapshot); err != nil {
		return nil, &CorruptError{Name: "snapshot", Cause: err}
	}
	return snapshot, nil
}
