package oplog

import (
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// minPackedBytes is the size from which a change is compressed for links.
	minPackedBytes = 4 << 10
	// maxPackedKept is the number of compressed changes that are kept for further links.
	maxPackedKept = 8
)

// Pack returns a change as links carry it: the puts of a large one are compressed, once for all links; it returns *CorruptError.
func (l *Log) Pack(change *wirepb.Change) (*wirepb.Change, error) {
	if proto.Size(change) < minPackedBytes {
		return change, nil
	}
	l.encodedMu.Lock()
	defer l.encodedMu.Unlock()
	for _, known := range l.packed {
		if known.GetRevision() == change.GetRevision() {
			return known, nil
		}
	}
	packed, err := packPuts(change)
	if err != nil {
		return nil, err
	}
	l.packed = append(l.packed, packed)
	if len(l.packed) > maxPackedKept {
		l.packed = l.packed[1:]
	}
	return packed, nil
}

// packPuts returns a copy of a change with its puts compressed.
func packPuts(change *wirepb.Change) (*wirepb.Change, error) {
	data, err := EncodeSnapshot(&wirepb.Snapshot{Puts: change.GetPuts()})
	if err != nil {
		return nil, err
	}
	return &wirepb.Change{
		Revision: change.GetRevision(), OperationId: change.GetOperationId(), Author: change.GetAuthor(), Time: change.GetTime(),
		SourceVersion: change.GetSourceVersion(), ConfigVersion: change.GetConfigVersion(), Order: change.GetOrder(), Packed: data,
	}, nil
}

// Unpack restores the puts of changes that came over a link; it returns *CorruptError.
func Unpack(changes []*wirepb.Change) error {
	for _, c := range changes {
		if len(c.GetPacked()) == 0 {
			continue
		}
		if err := unpack(c, c.GetPacked()); err != nil {
			return err
		}
	}
	return nil
}
