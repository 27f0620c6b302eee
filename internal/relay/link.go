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

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	beatInterval = time.Second
	silenceLimit = 2500 * time.Millisecond
	// The links between data centres are many, and each has another one beside it.
	farBeatInterval = 3 * time.Second
	farSilenceLimit = 7500 * time.Millisecond

	writeTimeout  = 2 * time.Second
	maxFrameBytes = 1 << 20
	batchMembers  = 256
	batchVerdicts = 256
	// gatherTime joins news that come in a burst.
	gatherTime = 5 * time.Millisecond
)

// The kinds of frames in the counters.
const (
	kindChanges = iota
	kindSnapshot
	kindMembers
	kindVerdicts
	kindBeat
	kindOther
	frameKinds
)

// FrameKindNames names the kinds of frames in the order of the counters.
var FrameKindNames = [frameKinds]string{"changes", "snapshot", "members", "verdicts", "beat", "other"}

// link is one link between two nodes; each side has one task that reads and one that writes.
type link struct {
	hub     *Hub
	conn    net.Conn
	reader  *bufio.Reader
	node    string
	address string
	dialled bool
	// relay says that the other side is a relay too, far that it is one of another data centre.
	relay bool
	far   bool
	// told holds the alternates that the other side knows.
	told []string
	// toldRevision is the revision that the other side was last told of apart from the regular beats.
	toldRevision uint64

	depth atomic.Uint32
	below atomic.Pointer[SubtreeSummary]
	wake  chan struct{}

	mu       sync.Mutex
	revision uint64
	// left is when changes were first left to the platform, or zero.
	left     time.Time
	received map[string]*wirepb.MemberRecord
	snapshot []byte
}

// cursor is how far a link has sent.
type cursor struct {
	members  uint64
	verdicts uint64
}

// cursors is taken before the digest that the other side gets, so that nothing falls between the two.
func (l *link) cursors(revision uint64) cursor {
	l.revision = revision
	l.received = map[string]*wirepb.MemberRecord{}
	l.wake = make(chan struct{}, 1)
	return cursor{members: l.hub.cfg.Members.Feed.Cursor()}
}

func (l *link) close() { _ = l.conn.Close() }

// run serves the link until it ends; buckets is the other side's digest.
func (l *link) run(ctx context.Context, from cursor, buckets []uint64) {
	l.hub.cfg.Logger.Info("link up", zap.String("node", l.node), zap.Bool("dialled", l.dialled))
	running, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(running, l.close)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() {
		defer cancel()
		l.send(running, from, buckets)
	})
	err := l.receive()
	cancel()
	wait.Wait()
	l.hub.cfg.Logger.Info("link down", zap.String("node", l.node), zap.Error(err))
}

func (l *link) send(ctx context.Context, from cursor, buckets []uint64) {
	if l.sendMembers(l.hub.cfg.Members.Differing(buckets)) != nil {
		return
	}
	beat, due := time.NewTicker(l.beatInterval()), true
	defer beat.Stop()
	for ctx.Err() == nil {
		changes := l.hub.cfg.Log.Changed()
		members := l.hub.cfg.Members.Feed.Changed()
		verdicts := l.hub.cfg.Verdicts.Feed.Changed()
		if l.sendVerdicts(&from) != nil || l.sendChanges(due) != nil || l.sendNews(&from) != nil {
			return
		}
		due = false
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			if l.sendBeat() != nil {
				return
			}
			due = true
		case <-changes:
		case <-verdicts:
		case <-l.wake:
		case <-l.leaves():
		case <-members:
			time.Sleep(gatherTime)
		}
	}
}

func (l *link) beatInterval() time.Duration {
	if l.far {
		return farBeatInterval
	}
	return beatInterval
}

func (l *link) silenceLimit() time.Duration {
	if l.far {
		return farSilenceLimit
	}
	return silenceLimit
}

// sendNews sends the member records that changed since the cursor, but not back to where they came from.
func (l *link) sendNews(from *cursor) error {
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
		part := records[:min(len(records), batchMembers)]
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
		part := verdicts[:min(len(verdicts), batchVerdicts)]
		if err := l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Verdicts{Verdicts: &wirepb.VerdictBatch{Verdicts: part}}}); err != nil {
			return err
		}
		verdicts = verdicts[len(part):]
	}
	return nil
}

func (l *link) sendBeat() error {
	beat := &wirepb.LinkBeat{
		Revision: l.hub.cfg.Log.State().Revision, Depth: uint32(l.hub.Depth()), Promoted: l.hub.promotion(),
	}
	if alternates := l.hub.alternates(l.node); !slices.Equal(alternates, l.told) {
		beat.Alternates, l.told = alternates, alternates
	}
	if l.hub.primary(l) {
		sum := l.hub.SubtreeSummary()
		beat.Nodes, beat.OldestRevision, beat.Refusals = sum.Nodes, sum.OldestRevision, sum.Refusals
	}
	return l.write(&wirepb.LinkFrame{Kind: &wirepb.LinkFrame_Beat{Beat: beat}})
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

// receive takes in frames until the link breaks or the other side is silent.
func (l *link) receive() error {
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(l.silenceLimit()))
		message := &wirepb.LinkFrame{}
		if err := frame.Read(l.reader, message, maxFrameBytes); err != nil {
			return err
		}
		l.hub.Counters.ReceivedBytes[kindOf(message)].Add(uint64(proto.Size(message)))
		if err := l.take(message); err != nil {
			return err
		}
	}
}

func (l *link) take(message *wirepb.LinkFrame) error {
	switch kind := message.GetKind().(type) {
	case *wirepb.LinkFrame_Changes:
		return l.takeChanges(kind.Changes)
	case *wirepb.LinkFrame_Snapshot:
		return l.takeSnapshot(kind.Snapshot)
	case *wirepb.LinkFrame_Members:
		l.takeMembers(kind.Members.GetMembers())
	case *wirepb.LinkFrame_Verdicts:
		for _, v := range kind.Verdicts.GetVerdicts() {
			l.hub.cfg.Verdicts.Merge(v)
		}
	case *wirepb.LinkFrame_Beat:
		return l.takeBeat(kind.Beat)
	case *wirepb.LinkFrame_Resume:
		l.mu.Lock()
		l.revision = kind.Resume.GetRevision()
		l.mu.Unlock()
		l.stir()
	default:
		return &ProtocolError{Expected: "a link frame"}
	}
	return nil
}

func (l *link) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) takeMembers(records []*wirepb.MemberRecord) {
	l.mu.Lock()
	for _, r := range records {
		if len(l.received) < batchMembers*batchMembers {
			l.received[r.GetNode()] = r
		}
	}
	l.mu.Unlock()
	l.hub.cfg.Members.Merge(records)
}

func (l *link) takeBeat(beat *wirepb.LinkBeat) error {
	l.depth.Store(beat.GetDepth())
	l.advance(beat.GetRevision())
	l.below.Store(&SubtreeSummary{Nodes: beat.GetNodes(), OldestRevision: beat.GetOldestRevision(), Refusals: beat.GetRefusals()})
	l.hub.hearBeat(l, beat)
	if l.dialled && !l.relay && int(beat.GetDepth()) > maxDepth {
		return &DetachedError{Node: l.node}
	}
	return nil
}
