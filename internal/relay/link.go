package relay

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	beatInterval = time.Second
	readTimeout  = 2500 * time.Millisecond
	// Beats on WAN links are rarer: these links are numerous, and each has a parallel one between the relays of the
	// other slot.
	wanBeatInterval = 3 * time.Second
	wanReadTimeout  = 7500 * time.Millisecond
	// Beats to the children of a node that is not a relay follow those of its parents, or come a little later if these are late.
	relayedBeatInterval = 1250 * time.Millisecond

	writeTimeout     = 2 * time.Second
	maxFrameBytes    = 1 << 20
	maxBatchMembers  = 256
	maxBatchVerdicts = 256
	// batchDelay collects member updates of a burst into one batch.
	batchDelay = 5 * time.Millisecond
)

// Kinds of frames, as indexes of the counters.
const (
	kindChanges = iota
	kindSnapshot
	kindMembers
	kindVerdicts
	kindBeat
	kindOther
	frameKinds
)

// FrameKindNames holds the metric labels of the kinds of frames in the order of the counters.
var FrameKindNames = [frameKinds]string{"changes", "snapshot", "members", "verdicts", "beat", "other"}

// link is a stream between two nodes that carries changes, member records, verdicts and beats; a beat is the heartbeat
// of a link. Each side has one goroutine that reads and one that writes.
type link struct {
	hub     *Hub
	conn    net.Conn
	reader  *bufio.Reader
	node    string
	address string
	dialled bool
	// betweenRelays means that both nodes are relays, wan that their data centres differ as well.
	betweenRelays bool
	wan           bool
	// packedChanges means that the remote node accepts changes whose puts are packed.
	packedChanges bool
	// sentAlternates holds the alternates that were last sent.
	sentAlternates []string
	// sentDepth is the depth of the last beat, sentAt when it was sent, sentTouchAt when the sender was in touch by it.
	sentDepth   int
	sentAt      time.Time
	sentTouchAt time.Time
	// announcedRevision is the revision of the last beat that was sent outside the regular interval.
	announcedRevision uint64

	depth   atomic.Uint32
	subtree atomic.Pointer[SubtreeSummary]
	wake    chan struct{}

	mu       sync.Mutex
	revision uint64
	// deferredAt is when the remote relay was first left to read the pending changes from the platform, or zero.
	deferredAt time.Time
	// received holds the member records that came over this link and are not sent back.
	received map[string]*wirepb.MemberRecord
	// snapshot holds the parts of a snapshot that were received so far.
	snapshot []byte
}

// cursor is the position in the feeds up to which a link has sent.
type cursor struct {
	members  uint64
	verdicts uint64
}

// initCursor prepares the link for sending and returns its cursor. It is called before the digest for the remote node
// is taken, so that no update is missed between the two.
func (l *link) initCursor(revision uint64) cursor {
	l.revision = revision
	l.received = map[string]*wirepb.MemberRecord{}
	return cursor{members: l.hub.cfg.Members.Feed.Cursor()}
}

func (l *link) close() { _ = l.conn.Close() }

// run serves the link until it ends; buckets is the remote node's digest.
func (l *link) run(ctx context.Context, from cursor, buckets []uint64) {
	l.hub.cfg.Logger.Info("link to node opened", zap.String("node", l.node), zap.Bool("dialled", l.dialled))
	linkContext, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(linkContext, l.close)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() {
		defer cancel()
		l.sendLoop(linkContext, from, buckets)
	})
	err := l.receiveLoop()
	cancel()
	wait.Wait()
	l.hub.cfg.Logger.Info("link to node closed", zap.String("node", l.node), zap.Error(err))
}

func (l *link) sendLoop(ctx context.Context, from cursor, buckets []uint64) {
	if l.sendMembers(l.hub.cfg.Members.Differing(buckets)) != nil {
		return
	}
	beat, beatIsDue, includeDistributed := time.NewTimer(l.beatInterval()), !l.dialled && !l.betweenRelays, true
	defer beat.Stop()
	for ctx.Err() == nil {
		changes := l.hub.cfg.Log.Changed()
		members := l.hub.cfg.Members.Feed.Changed()
		verdicts := l.hub.cfg.Verdicts.Feed.Changed()
		if l.sendVerdicts(&from) != nil || l.sendChanges(includeDistributed) != nil || l.sendMemberUpdates(&from) != nil {
			return
		}
		includeDistributed = false
		// The beat comes after the changes, since it says how old they are.
		if beatIsDue || l.hasNews() {
			if l.sendBeat() != nil {
				return
			}
			beat.Reset(l.beatInterval())
		}
		beatIsDue = false
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			beatIsDue, includeDistributed = true, true
		case <-changes:
		case <-verdicts:
		case <-l.wake:
		case <-l.deferralTimer():
		case <-members:
			time.Sleep(batchDelay)
		}
	}
}

// hasNews reports whether a child is to be told of a new depth or age before the next regular beat.
func (l *link) hasNews() bool {
	if l.dialled {
		return false
	}
	if l.hub.Depth() != l.sentDepth {
		return true
	}
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	return !l.hub.relay && l.hub.lastTouch().After(l.sentTouchAt) && l.hub.cfg.Now().Sub(l.sentAt) >= passOnInterval
}

func (l *link) beatInterval() time.Duration {
	switch {
	case l.wan:
		return wanBeatInterval
	case !l.dialled && !l.hub.IsRelay():
		return relayedBeatInterval
	default:
		return beatInterval
	}
}

func (l *link) readTimeout() time.Duration {
	if l.wan {
		return wanReadTimeout
	}
	return readTimeout
}

// sendMemberUpdates sends the member records that changed since the cursor, except those that came over this link.
func (l *link) sendMemberUpdates(from *cursor) error {
	names, next, complete := l.hub.cfg.Members.Feed.Since(from.members)
	from.members = next
	if !complete {
		return l.sendMembers(l.hub.cfg.Members.Records())
	}
	if len(names) == 0 {
		return nil
	}
	var records []*wirepb.MemberRecord
	l.mu.Lock()
	for _, r := range l.hub.cfg.Members.Records(names...) {
		if l.received[r.GetNode()] != r {
			records = append(records, r)
		}
		delete(l.received, r.GetNode())
	}
	l.mu.Unlock()
	return l.sendMembers(records)
}

func (l *link) sendMembers(records []*wirepb.MemberRecord) error {
	for len(records) > 0 {
		part := records[:min(len(records), maxBatchMembers)]
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Members{Members: &wirepb.MemberBatch{Members: part}}}); err != nil {
			return err
		}
		records = records[len(part):]
	}
	return nil
}

func (l *link) sendVerdicts(from *cursor) error {
	names, next, complete := l.hub.cfg.Verdicts.Feed.Since(from.verdicts)
	if !complete {
		names = nil
	} else if len(names) == 0 {
		return nil
	}
	from.verdicts = next
	verdicts := l.hub.cfg.Verdicts.List(names...)
	for len(verdicts) > 0 {
		part := verdicts[:min(len(verdicts), maxBatchVerdicts)]
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Verdicts{Verdicts: &wirepb.VerdictBatch{Verdicts: part}}}); err != nil {
			return err
		}
		verdicts = verdicts[len(part):]
	}
	return nil
}

func (l *link) sendBeat() error {
	l.sentDepth = l.hub.Depth()
	// A revision that is read after the age has all changes that the age speaks of.
	age := l.nextAge()
	beat := &wirepb.LinkBeat{
		Revision: l.hub.cfg.Log.State().Revision, Depth: uint32(l.sentDepth), Promoted: l.hub.promotionCandidate(), Age: age,
	}
	if alternates := l.hub.alternates(l.node); !slices.Equal(alternates, l.sentAlternates) {
		beat.Alternates, l.sentAlternates = alternates, alternates
	}
	if l.hub.isSummaryLink(l) {
		sum := l.hub.SubtreeSummary()
		beat.Nodes, beat.OldestRevision, beat.Refusals = sum.Nodes, sum.OldestRevision, sum.Refusals
	}
	return l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Beat{Beat: beat}})
}

// nextAge returns the age for the next beat.
func (l *link) nextAge() *durationpb.Duration {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	l.sentAt, l.sentTouchAt = l.hub.cfg.Now(), l.hub.lastTouch()
	return durationpb.New(l.hub.beatAge())
}

func (l *link) write(message *wirepb.LinkFrame) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	kind := kindOf(message)
	l.hub.Counters.SentFrames[kind].Add(1)
	l.hub.Counters.SentBytes[kind].Add(uint64(proto.Size(message)))
	return frame.Write(l.conn, message)
}

func kindOf(message *wirepb.LinkFrame) int {
	switch message.GetKind().(type) {
	case *wirepb.LinkFrame_Changes:
		return kindChanges
	case *wirepb.LinkFrame_Snapshot:
		return kindSnapshot
	case *wirepb.LinkFrame_Members:
		return kindMembers
	case *wirepb.LinkFrame_Verdicts:
		return kindVerdicts
	case *wirepb.LinkFrame_Beat:
		return kindBeat
	default:
		return kindOther
	}
}

// receiveLoop handles frames until the link breaks or the remote node sends nothing for the read timeout.
func (l *link) receiveLoop() error {
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(l.readTimeout()))
		message := &wirepb.LinkFrame{}
		if err := frame.Read(l.reader, message, maxFrameBytes); err != nil {
			return err
		}
		l.hub.Counters.ReceivedBytes[kindOf(message)].Add(uint64(proto.Size(message)))
		if err := l.dispatch(message); err != nil {
			return err
		}
	}
}

func (l *link) dispatch(message *wirepb.LinkFrame) error {
	switch kind := message.GetKind().(type) {
	case *wirepb.LinkFrame_Changes:
		return l.handleChanges(kind.Changes)
	case *wirepb.LinkFrame_Snapshot:
		return l.handleSnapshot(kind.Snapshot)
	case *wirepb.LinkFrame_Members:
		l.handleMembers(kind.Members.GetMembers())
	case *wirepb.LinkFrame_Verdicts:
		for _, v := range kind.Verdicts.GetVerdicts() {
			l.hub.cfg.Verdicts.Merge(v)
		}
	case *wirepb.LinkFrame_Beat:
		return l.handleBeat(kind.Beat)
	case *wirepb.LinkFrame_Resume:
		l.mu.Lock()
		l.revision = kind.Resume.GetRevision()
		l.mu.Unlock()
		l.wakeSender()
	default:
		return &ProtocolError{Expected: "a link frame"}
	}
	return nil
}

func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) handleMembers(records []*wirepb.MemberRecord) {
	l.mu.Lock()
	for _, r := range records {
		if len(l.received) < maxBatchMembers*maxBatchMembers {
			l.received[r.GetNode()] = r
		}
	}
	l.mu.Unlock()
	l.hub.cfg.Members.Merge(records)
}

func (l *link) handleBeat(beat *wirepb.LinkBeat) error {
	l.depth.Store(beat.GetDepth())
	l.advanceRevision(beat.GetRevision())
	l.subtree.Store(&SubtreeSummary{Nodes: beat.GetNodes(), OldestRevision: beat.GetOldestRevision(), Refusals: beat.GetRefusals()})
	l.hub.applyBeat(l, beat)
	if l.dialled && !l.betweenRelays && l.hub.hasApplied(beat.GetRevision()) {
		l.hub.recordBeat(beat.GetAge().AsDuration())
	}
	l.hub.announceDepth()
	if l.dialled && !l.betweenRelays && int(beat.GetDepth()) > maxDepth {
		return &DetachedError{Node: l.node}
	}
	return nil
}
