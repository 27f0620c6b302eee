package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	snapshotPartBytes = 64 << 10
	maxSnapshotBytes  = 64 << 20
	maxBatchChanges   = 64
	// maxInitialChanges is the number of changes above which a node that has none gets a snapshot instead: the changes replace
	// much of each other.
	maxInitialChanges = 8
	// maxWANChangeBytes is the size up to which changes are sent between data centres immediately: larger ones cost less to
	// read from the platform.
	maxWANChangeBytes = 2 << 10
	// platformReadTimeout is how long the remote relay may take to read larger changes from the platform before they
	// are sent: a read takes about 0.3 s, and the users' shortest time limit for the spread of a configuration is 2 s.
	platformReadTimeout = 600 * time.Millisecond
)

// sendChanges sends the changes that the remote node lacks. On a WAN link, changes that another relay distributes are
// sent only if includeDistributed is set, which leaves the remote relay time to report in a beat that it has them.
func (l *link) sendChanges(includeDistributed bool) error {
	if l.wan && !includeDistributed && l.hub.distributedByOthers() {
		l.endDeferral()
		return nil
	}
	if l.isDeferred() {
		return l.announceRevision()
	}
	for {
		l.mu.Lock()
		revision := l.revision
		l.mu.Unlock()
		changes, complete := l.hub.cfg.Log.ChangesSince(revision)
		switch {
		case !complete, revision == 0 && len(changes) > maxInitialChanges:
			if err := l.sendSnapshot(); err != nil {
				return err
			}
			continue
		case len(changes) == 0:
			return nil
		}
		changes = changes[:min(len(changes), maxBatchChanges)]
		sent, err := l.packChanges(changes)
		if err != nil {
			return err
		}
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Changes{Changes: &wirepb.ChangeBatch{Changes: sent, Spread: l.hub.distributedByOthers()}}}); err != nil {
			return err
		}
		l.advanceRevision(changes[len(changes)-1].GetRevision())
	}
}

// packChanges returns changes as the remote node accepts them. A configuration of hundreds of routes takes a narrow network link
// 0.2 s for each child otherwise.
func (l *link) packChanges(changes []*wirepb.Change) ([]*wirepb.Change, error) {
	if !l.packedChanges {
		return changes, nil
	}
	packed := make([]*wirepb.Change, 0, len(changes))
	for _, c := range changes {
		p, err := l.hub.cfg.Log.Pack(c)
		if err != nil {
			return nil, err
		}
		packed = append(packed, p)
	}
	return packed, nil
}

// isDeferred reports whether the remote relay of a WAN link is left to read large changes from the platform itself. If
// it has not reported them within platformReadTimeout they are sent, since the platform may be unreachable for it.
func (l *link) isDeferred() bool {
	if !l.wan {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, complete := l.hub.cfg.Log.ChangesSince(l.revision)
	size := 0
	for _, c := range changes {
		size += proto.Size(c)
	}
	if complete && size <= maxWANChangeBytes {
		l.deferredAt = time.Time{}
		return false
	}
	if l.deferredAt.IsZero() {
		l.deferredAt = l.hub.cfg.Now()
	}
	return l.hub.cfg.Now().Sub(l.deferredAt) < platformReadTimeout
}

// endDeferral stops the timer of a deferral that no longer matters; it would fire all the time otherwise.
func (l *link) endDeferral() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deferredAt = time.Time{}
}

// announceRevision sends a beat once for each new revision, so that the remote node need not send the changes up to it.
func (l *link) announceRevision() error {
	if revision := l.hub.cfg.Log.State().Revision; revision > l.announcedRevision {
		l.announcedRevision = revision
		return l.sendBeat()
	}
	return nil
}

// deferralTimer returns a channel that receives when platformReadTimeout has passed, or nil if no changes are deferred.
func (l *link) deferralTimer() <-chan time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deferredAt.IsZero() {
		return nil
	}
	return time.After(max(platformReadTimeout-l.hub.cfg.Now().Sub(l.deferredAt), time.Millisecond))
}

func (l *link) advanceRevision(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
}

func (l *link) sendSnapshot() error {
	snapshot, err := l.hub.cfg.Log.EncodedSnapshot()
	if err != nil {
		return err
	}
	data := snapshot.Data
	for first := 0; first < len(data); first += snapshotPartBytes {
		last := min(first+snapshotPartBytes, len(data))
		part := &wirepb.SnapshotPart{Revision: snapshot.Revision, Data: data[first:last], Last: last == len(data)}
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Snapshot{Snapshot: part}}); err != nil {
			return err
		}
	}
	l.advanceRevision(snapshot.Revision)
	return nil
}

func (l *link) handleChanges(batch *wirepb.ChangeBatch) error {
	changes := batch.GetChanges()
	if len(changes) == 0 {
		return nil
	}
	origin := oplog.Origin{Node: l.node, ReceivedAt: l.hub.cfg.Now()}
	if err := oplog.Unpack(changes); err != nil {
		return err
	}
	last := changes[len(changes)-1].GetRevision()
	l.advanceRevision(last)
	// Changes from the subtree of the other relay in this data centre are not marked: each of the two relays sends them
	// over its own WAN links.
	if l.wan || l.betweenRelays && batch.GetSpread() {
		l.hub.markDistributed(last)
	}
	if !l.hub.cfg.Log.ApplyChanges(changes, origin) {
		return nil
	}
	resume := &wirepb.ChangeRequestFrom{Revision: l.hub.cfg.Log.State().Revision}
	return l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Resume{Resume: resume}})
}

func (l *link) handleSnapshot(part *wirepb.SnapshotPart) error {
	l.snapshot = append(l.snapshot, part.GetData()...)
	if len(l.snapshot) > maxSnapshotBytes {
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
	l.advanceRevision(snapshot.GetRevision())
	if l.wan {
		l.hub.markDistributed(snapshot.GetRevision())
	}
	l.hub.cfg.Log.ApplySnapshot(snapshot)
	return nil
}

// markDistributed records that another relay distributes the changes up to a revision to all relays itself.
func (h *Hub) markDistributed(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.distributedRevision = max(h.distributedRevision, revision)
}

// distributedByOthers reports whether other relays distribute all changes up to this node's revision.
func (h *Hub) distributedByOthers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg.Log.State().Revision <= h.distributedRevision
}
