package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// voteInterval is the greatest time between two requests of a voter to an owner.
	voteInterval = time.Second
	// voteMargin covers clocks of different speed.
	voteMargin = 50 * time.Millisecond
	// maxFailures is the number of requests without a reply after which a node is not asked any more.
	maxFailures = 2
	// slowTimeout is how long a node that does not reply in time is still asked: one that compiles a configuration on a sixth of a core may
	// stand still for a second, and nodes that turn to another owner meanwhile find empty buckets there.
	slowTimeout   = 1500 * time.Millisecond
	probeInterval = time.Second
	// leftTimeout is how long a node that refuses votes because it stops is not probed.
	leftTimeout = 5 * time.Second
	// maxMoveDelay spreads the moves of nodes to an owner that ranks higher, whose buckets start empty.
	maxMoveDelay = 1500 * time.Millisecond
	// majorityShare is the share of the votes from which an owner's buckets are taken to be filled, so that nodes return to it at once.
	majorityShare = 0.5
	// joinDelay is how long a node must have been joined, and growthDelay how long it must have found few new nodes, before it votes
	// for the first time. Members that it does not know yet make its vote too heavy.
	joinDelay     = time.Second
	growthDelay   = 600 * time.Millisecond
	maxGrowth     = 0.02
	resizeTimeout = 30 * time.Second
)

// shard is what a node knows of one shard.
type shard struct {
	key    shardKey
	spaces map[string]*space
	// target is the node that is asked, stamp its last stamp, received at stampAt by the reply to request stampID.
	target    string
	stamp     uint32
	stampAt   time.Duration
	stampID   uint64
	repliedAt time.Duration
	// majority is the node that has last said that it holds most of the votes.
	majority string
	vote     heldVote
	// moveAt is when the node moves to an owner that ranks higher, or 0. Requests carry no vote while it is moving.
	moveAt           time.Duration
	moving           bool
	inFlight         int
	failures         int
	sentAt           time.Duration
	unavailableUntil time.Duration
	// suspects holds the nodes that did not reply or refuse to grant because they stop, probedAt the times of the last probes.
	suspects map[string]bool
	probedAt map[string]time.Duration
	// urgent means that calls are waiting, refill that the stock is short, voteNow that a vote can be cast.
	urgent, refill, voteNow bool
}

// heldVote is the owner that may hold this node's vote, and until when.
type heldVote struct {
	holder string
	until  time.Duration
	// castID is the last request that carried the vote.
	castID uint64
}

// votingState says whether this node may vote.
type votingState struct {
	allowed     bool
	leaving     bool
	joinedAt    time.Duration
	joined      bool
	grownAt     time.Duration
	counted     int
	resizedAt   time.Duration
	resizing    bool
	blockedTill time.Duration
}

// setShardCount divides the workspaces among a number of shards. Votes in the earlier shards must lapse before others are cast.
func (s *Stock) setShardCount(count uint32) {
	for _, d := range s.shards {
		if d.vote.holder != "" {
			s.voting.blockedTill = max(s.voting.blockedTill, d.vote.until)
		}
	}
	s.shardCount, s.shards = count, nil
	for name, p := range s.spaces {
		p.shard = s.shard(shardOf(name, count))
		p.shard.spaces[name] = p
	}
}

// shard returns a shard and adds it if this node did not use it before.
func (s *Stock) shard(key shardKey) *shard {
	i, found := slices.BinarySearchFunc(s.shards, key.index, func(d *shard, index uint32) int { return cmp.Compare(d.key.index, index) })
	if !found {
		s.shards = slices.Insert(s.shards, i, &shard{key: key, spaces: map[string]*space{}, suspects: map[string]bool{}, probedAt: map[string]time.Duration{}})
	}
	return s.shards[i]
}

// selectShards adds the shards in which this node votes and removes those that it has no use for.
func (s *Stock) selectShards(now Reading) {
	for i := range s.shardCount {
		if key := (shardKey{index: i, count: s.shardCount}); s.view.votes(s.hash, key) {
			s.shard(key)
		}
	}
	s.shards = slices.DeleteFunc(s.shards, func(d *shard) bool {
		return len(d.spaces) == 0 && d.inFlight == 0 && now.Slow >= d.vote.until && !s.view.votes(s.hash, d.key)
	})
}

// SetView replaces the nodes that this node knows. Joined says whether it is connected to them.
func (s *Stock) SetView(now Reading, view *View, joined bool) {
	s.view = view
	s.selectShards(now)
	v := &s.voting
	if float64(view.counted) > float64(v.counted)*(1+maxGrowth) {
		v.grownAt = now.Slow
	}
	v.counted = max(view.counted, 1)
	if joined && !v.joined {
		v.joinedAt = now.Slow
	}
	v.joined = joined
	if joined && now.Slow >= voteDuration && now.Slow-v.joinedAt >= joinDelay && now.Slow-v.grownAt >= growthDelay {
		v.allowed = true
	}
}

// Leave ends the votes of this node. Requests take them back.
func (s *Stock) Leave() {
	s.voting.leaving = true
	for _, d := range s.shards {
		d.voteNow = d.vote.holder != ""
	}
}

// updateShards adopts another number of shards if the number of nodes has called for it for resizeTimeout, or before the first vote.
func (s *Stock) updateShards(now Reading) {
	v := &s.voting
	if s.view.shardCount() == s.shardCount {
		v.resizing = false
		return
	}
	if !v.resizing {
		v.resizing, v.resizedAt = true, now.Slow
	}
	if !v.allowed || now.Slow-v.resizedAt >= resizeTimeout {
		s.setShardCount(s.view.shardCount())
		s.selectShards(now)
		v.resizing = false
	}
}

func (s *Stock) isVoter(d *shard) bool {
	return s.voting.allowed && !s.voting.leaving && s.view.votes(s.hash, d.key)
}

// mayVote reports whether this node may vote for the target of a shard: no other node can hold its vote.
func (s *Stock) mayVote(d *shard, now Reading) bool {
	if !s.isVoter(d) || d.moving || now.Slow < s.voting.blockedTill {
		return false
	}
	return d.vote.holder == "" || d.vote.holder == d.target || now.Slow >= d.vote.until || s.view.member(d.vote.holder).Left
}

// chooseTarget changes the node that is asked: at once if it is down or does not reply, and with a delay if another one ranks higher.
func (s *Stock) chooseTarget(d *shard, now Reading) {
	desired := ""
	for _, name := range s.view.candidates(d.key) {
		if !d.suspects[name] {
			desired = name
			break
		}
	}
	switch {
	case desired == "" || desired == d.target:
		d.moveAt, d.moving = 0, false
	case d.target == "" || d.vote.holder == desired || d.suspects[d.target] || !s.view.member(d.target).Live:
		d.setTarget(desired)
	case d.moveAt == 0:
		d.moveAt = now.Slow
		if d.majority != desired {
			d.moveAt += time.Duration(s.random() * float64(maxMoveDelay))
		}
	case now.Slow >= d.moveAt && !d.moving:
		d.moving, d.voteNow = true, true
	}
	if d.moving && d.vote.holder != d.target {
		d.setTarget(desired)
	}
	if d.target == desired && d.stamp != 0 && d.vote.holder != d.target && s.mayVote(d, now) {
		d.voteNow = true
	}
}

func (s *Stock) random() float64 {
	if s.cfg.Random == nil {
		return rand.Float64()
	}
	return s.cfg.Random.Float64()
}

func (d *shard) setTarget(name string) {
	d.target, d.stamp, d.stampAt, d.failures = name, 0, 0, 0
	d.moveAt, d.moving = 0, false
	d.unavailableUntil = 0
	d.voteNow = true
}

// applyStamp takes over the stamp of a reply, by which the next request can vote, and what the reply says about an earlier vote.
func (s *Stock) applyStamp(now Reading, r *Request, reply *wirepb.QuotaReply) {
	d := r.shard
	stamp := uint32(0)
	for _, g := range reply.GetGrants() {
		if g.GetWorkspace() == d.key.String() {
			stamp = g.GetTokens()
		}
	}
	if stamp == 0 {
		d.suspects[r.Target] = true
		d.probedAt[r.Target] = now.Slow + leftTimeout
	} else {
		delete(d.suspects, r.Target)
	}
	if reply.GetShare() > majorityShare {
		d.majority = r.Target
	}
	// A node that stops does not count the vote any more. A request without a vote takes back those that were sent before it.
	if d.vote.holder == r.Target && (stamp == 0 || !r.votes && d.vote.castID < r.id) {
		d.vote = heldVote{}
	}
	if r.probe || r.Target != d.target {
		return
	}
	d.failures, d.repliedAt = 0, now.Slow
	if stamp != 0 && r.id > d.stampID {
		d.stamp, d.stampAt, d.stampID = stamp, now.Slow, r.id
	}
}

// probes returns requests without needs: to nodes that did not reply earlier, to return to one of them when it does, and to the other
// candidates while the target does not reply, to know by then which of them do.
func (s *Stock) probes(d *shard, now Reading) []*Request {
	var due []*Request
	candidates := s.view.candidates(d.key)
	for name := range d.suspects {
		if !slices.Contains(candidates, name) {
			delete(d.suspects, name)
			delete(d.probedAt, name)
		}
	}
	failing := d.failures > 0 || d.suspects[d.target]
	for _, name := range candidates {
		probedAt, probed := d.probedAt[name]
		if name == d.target || !d.suspects[name] && !failing || probed && now.Slow-probedAt < probeInterval {
			continue
		}
		d.probedAt[name] = now.Slow
		r := s.newRequest(d, now, name)
		r.probe = true
		r.Message.Needs = []*wirepb.QuotaNeed{{Workspace: d.key.String()}}
		due = append(due, r)
	}
	return due
}
