package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	snapshotPart = 64 << 10
	maxSnapshot  = 64 << 20
	batchChanges = 64
	// farBytes is the size up to which changes are sent between data centres: more cost less to read from the platform.
	farBytes = 2 << 10
	// leaveTime is how long the other side may take to read such changes: a read takes about 0.3 s, and the users' least
	// bound for a configuration is 2 s.
	leaveTime = 600 * time.Millisecond
)

// sendChanges sends what the other side lacks. What came from another relay goes to those of other data centres only
// when it is due, if they have not told by then that they have it.
func (l *link) sendChanges(due bool) error {
	if l.far && !due && l.hub.spreads() {
		return nil
	}
	if l.leavesToPlatform() {
		return l.tellRevision()
	}
	for {
		l.mu.Lock()
		revision := l.revision
		l.mu.Unlock()
		changes, complete := l.hub.cfg.Log.ChangesSince(revision)
		switch {
		case !complete:
			if err := l.sendSnapshot(); err != nil {
				return err
			}
			continue
		case len(changes) == 0:
			return nil
		}
		changes = changes[:min(len(changes), batchChanges)]
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Changes{Changes: &wirepb.ChangeBatch{Changes: changes, Spread: l.hub.spreads()}}}); err != nil {
			return err
		}
		l.advance(changes[len(changes)-1].GetRevision())
	}
}

// leavesToPlatform reports whether the other side, a relay of another data centre, is to read large changes from the
// platform itself; when it has not told after a while that it has them, they are sent, since the platform may turn it away.
func (l *link) leavesToPlatform() bool {
	if !l.far {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, complete := l.hub.cfg.Log.ChangesSince(l.revision)
	size := 0
	for _, c := range changes {
		size += proto.Size(c)
	}
	if complete && size <= farBytes {
		l.left = time.Time{}
		return false
	}
	if l.left.IsZero() {
		l.left = l.hub.cfg.Now()
	}
	return l.hub.cfg.Now().Sub(l.left) < leaveTime
}

// tellRevision tells the other side once what this one has, so that it need not send it.
func (l *link) tellRevision() error {
	if revision := l.hub.cfg.Log.State().Revision; revision > l.toldRevision {
		l.toldRevision = revision
		return l.sendBeat()
	}
	return nil
}

// leaves returns a channel that receives when changes were left to the platform for long enough, or nil.
func (l *link) leaves() <-chan time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left.IsZero() {
		return nil
	}
	return time.After(max(leaveTime-l.hub.cfg.Now().Sub(l.left), time.Millisecond))
}

func (l *link) advance(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
}

func (l *link) sendSnapshot() error {
	snapshot := l.hub.cfg.Log.State().Snapshot()
	data, err := oplog.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	for first := 0; first < len(data); first += snapshotPart {
		last := min(first+snapshotPart, len(data))
		part := &wirepb.SnapshotPart{Revision: snapshot.GetRevision(), Data: data[first:last], Last: last == len(data)}
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Snapshot{Snapshot: part}}); err != nil {
			return err
		}
	}
	l.advance(snapshot.GetRevision())
	return nil
}

func (l *link) takeChanges(batch *wirepb.ChangeBatch) error {
	changes := batch.GetChanges()
	if len(changes) == 0 {
		return nil
	}
	last := changes[len(changes)-1].GetRevision()
	l.advance(last)
	// The other relay of a data centre spreads what came from below it over links of its own.
	if l.far || l.relay && batch.GetSpread() {
		l.hub.noteSpread(last)
	}
	if !l.hub.cfg.Log.ApplyChanges(changes) {
		return nil
	}
	resume := &wirepb.ChangeRequestFrom{Revision: l.hub.cfg.Log.State().Revision}
	return l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Resume{Resume: resume}})
}

func (l *link) takeSnapshot(part *wirepb.SnapshotPart) error {
	l.snapshot = append(l.snapshot, part.GetData()...)
	if len(l.snapshot) > maxSnapshot {
		return &ProtocolError{Expected: "a snapshot of at most 64 MiB"}
	}
	if !part.GetLast() {
		return nil
	}
	data := l.snapshot
	l.snapshot = nil
	snapshot, err := oplog.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	l.advance(snapshot.GetRevision())
	if l.far {
		l.hub.noteSpread(snapshot.GetRevision())
	}
	l.hub.cfg.Log.ApplySnapshot(snapshot)
	return nil
}

// noteSpread notes that the changes up to a revision came from another relay.
func (h *Hub) noteSpread(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spread = max(h.spread, revision)
}

// spreads reports whether another relay spreads all that this node knows.
func (h *Hub) spreads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg.Log.State().Revision <= h.spread
}
