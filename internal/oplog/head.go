package oplog

import (
	"context"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headKey = "head"
	// eraSeparator separates the key of the head of era 0 from the number of a later era.
	eraSeparator = "@"
	// maxHeadRows is the number of rows that are read for the head in a later era. There is one, or two after a write that took effect late.
	maxHeadRows = 16
)

// headRow is the row of the head as read from the store.
type headRow struct {
	head *wirepb.Head
	// key is empty and version 0 if there is no head.
	key     string
	version uint64
	// era is the era of the store at that moment.
	era uint64
	// older holds the keys of the heads of earlier eras.
	older []string
}

// headKeyOf returns the key of the head of an era. The eras have different keys, so that a write of an earlier era that the store executes
// late cannot match a condition on the head of a later one.
func headKeyOf(era uint64) string {
	if era == 0 {
		return headKey
	}
	return headKey + eraSeparator + strconv.FormatUint(era, 10)
}

// readHead reads the head of the newest era that has one.
func (l *Log) readHead(ctx context.Context) (*headRow, error) {
	limit := 1
	if l.store.Era() > 0 {
		limit = maxHeadRows
	}
	rows, era, err := l.store.Part("").RangeEra(ctx, headKey, "", limit)
	if err == nil && era > 0 && limit == 1 {
		rows, era, err = l.store.Part("").RangeEra(ctx, headKey, "", maxHeadRows)
	}
	if err != nil {
		return nil, err
	}
	return newestHead(rows, era)
}

// newestHead returns the head of the newest era among rows; it returns *CorruptError.
func newestHead(rows []*wirepb.Row, era uint64) (*headRow, error) {
	newest := &headRow{head: &wirepb.Head{}, era: era}
	for _, r := range rows {
		if r.GetKey() != headKey && !strings.HasPrefix(r.GetKey(), headKey+eraSeparator) {
			continue
		}
		head := &wirepb.Head{}
		if err := proto.Unmarshal(r.GetValue(), head); err != nil {
			return nil, &CorruptError{Name: r.GetKey(), Cause: err}
		}
		if newest.key != "" && head.GetEra() < newest.head.GetEra() {
			newest.older = append(newest.older, r.GetKey())
			continue
		}
		if newest.key != "" {
			newest.older = append(newest.older, newest.key)
		}
		newest.head, newest.key, newest.version = head, r.GetKey(), r.GetVersion()
	}
	return newest, nil
}

// isOlder reports whether the head is older than the log that a node with a revision knows, which it has to be told before the head was
// read: the store came back from an older copy, and no node has established the log in its era.
func (r *headRow) isOlder(revision uint64) bool {
	switch {
	case r.era == 0:
		return false
	case r.head.GetEra() < r.era:
		// Without a head and without changes there is nothing to take over.
		return r.key != "" || revision > 0
	default:
		return revision > r.head.GetRevision()
	}
}

// next returns the head after a change of the log.
func (r *headRow) next(revision, snapshotRevision uint64) *wirepb.Head {
	return &wirepb.Head{Revision: revision, SnapshotRevision: snapshotRevision, Era: r.era, BaseRevision: r.head.GetBaseRevision()}
}

// condition returns the condition that the head has not changed. For the first head of the log it is that there is none.
func (r *headRow) condition() *wirepb.Condition {
	if r.key == "" {
		return &wirepb.Condition{Key: headKeyOf(r.era)}
	}
	return &wirepb.Condition{Key: r.key, Version: r.version}
}
