package quota

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minShards is the number of shards of deployments of up to minDeployment nodes, and usualShards that of up to usualDeployment nodes. It
	// changes rarely when these grow: nodes that divide the workspaces differently find no votes at their owners.
	minShards       = 2
	minDeployment   = 24
	usualShards     = 8
	usualDeployment = 512
	maxShards       = 2048
	// nodesPerShard is the number of nodes for each shard in larger deployments.
	nodesPerShard = 8
	// maxVoters is the number of nodes that vote on the owner of a shard in large deployments. It bounds the requests that an owner
	// gets for votes alone. With fewer, the share of voters that a part of the deployment has would differ much from its share of nodes.
	maxVoters = 32
	// drawMargin is the part by which fewer nodes vote, and more are counted as voters, than maxVoters. Without it, nodes that know different
	// numbers of nodes would take themselves for voters that others do not count.
	drawMargin = 0.015
	// candidateCount is the number of nodes of a shard that are tried as its owner.
	candidateCount = 5
	// shardPrefix starts the entry of a message that carries the vote in a shard; it is no part of a workspace's name.
	shardPrefix = "#"
)

// Member is a node as far as quotas are concerned.
type Member struct {
	Name string
	// Live means that the node is not known to be down.
	Live bool
	// Left means that the node has announced that it stops.
	Left bool
	// Started is the start of the node's process by its own clock, or zero if it is not known.
	Started time.Time
	// New means that the node joined so recently that it does not count as a voter, Unproven that its votes are not accepted, and Young that
	// others are preferred as owners because its process has just started.
	New, Unproven, Young bool
}

// View holds the nodes that a node knows: those that are live, have left, or fell silent recently.
type View struct {
	members []Member
	hashes  []uint64
	// counted is the number of nodes that have not left.
	counted int
	ranked  map[shardKey][]string
	voters  map[shardKey]int
}

// shardKey identifies a shard: one of count equal parts of the workspaces.
type shardKey struct {
	index uint32
	count uint32
}

func (k shardKey) String() string {
	return shardPrefix + strconv.FormatUint(uint64(k.index), 10) + "/" + strconv.FormatUint(uint64(k.count), 10)
}

// parseShard decodes the name of a shard and reports whether it is one.
func parseShard(text string) (shardKey, bool) {
	index, count, found := strings.Cut(strings.TrimPrefix(text, shardPrefix), "/")
	i, err := strconv.ParseUint(index, 10, 32)
	if !found || err != nil {
		return shardKey{}, false
	}
	n, err := strconv.ParseUint(count, 10, 32)
	return shardKey{index: uint32(i), count: uint32(n)}, err == nil && n <= maxShards && i < n
}

func shardOf(workspace string, count uint32) shardKey {
	return shardKey{index: uint32(xxhash.Sum64String(workspace) % uint64(count)), count: count}
}

// NewView returns a view of nodes, which must be ordered by name.
func NewView(members []Member) *View {
	v := &View{members: members, hashes: make([]uint64, len(members)), ranked: map[shardKey][]string{}, voters: map[shardKey]int{}}
	for i, m := range members {
		v.hashes[i] = xxhash.Sum64String(m.Name)
		if !m.Left && !m.New {
			v.counted++
		}
	}
	return v
}

// member returns the member with a name, or the zero value.
func (v *View) member(name string) Member {
	i, found := slices.BinarySearchFunc(v.members, name, func(m Member, wanted string) int { return cmp.Compare(m.Name, wanted) })
	if !found {
		return Member{}
	}
	return v.members[i]
}

// shardCount returns the number of shards, a power of two.
func (v *View) shardCount() uint32 {
	switch {
	case v.counted <= minDeployment:
		return minShards
	case v.counted <= usualDeployment:
		return usualShards
	}
	wanted := v.counted / nodesPerShard
	return min(uint32(1)<<(bits.Len(uint(wanted))-1), maxShards)
}

// mix returns a hash of a node and a shard.
func mix(node uint64, key shardKey) uint64 {
	x := node ^ (uint64(key.index)<<32|uint64(key.count))*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// candidates returns the live nodes that rank first as owner of a shard. Processes that have just started have empty buckets, so that others
// are preferred.
func (v *View) candidates(key shardKey) []string {
	if names, found := v.ranked[key]; found {
		return names
	}
	type candidate struct {
		name string
		hash uint64
	}
	var best []candidate
	for i, m := range v.members {
		if !m.Live || m.Left || m.Young {
			continue
		}
		c := candidate{name: m.Name, hash: mix(v.hashes[i], key)}
		if len(best) == candidateCount && c.hash >= best[candidateCount-1].hash {
			continue
		}
		position, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
		})
		best = slices.Insert(best, position, c)
		best = best[:min(len(best), candidateCount)]
	}
	names := make([]string, 0, len(best))
	for _, c := range best {
		names = append(names, c.name)
	}
	v.ranked[key] = names
	return names
}

// votes reports whether a node is one of the voters of a shard: all nodes up to maxVoters, else a part chosen by hash.
func (v *View) votes(nodeHash uint64, key shardKey) bool {
	if v.counted <= maxVoters {
		return true
	}
	return v.isDrawn(nodeHash, key, 1-drawMargin)
}

// isDrawn reports whether a node is one of the voters of a shard if their number is multiplied by a factor.
func (v *View) isDrawn(nodeHash uint64, key shardKey, factor float64) bool {
	threshold := uint64(float64(maxVoters) * factor / float64(v.counted) * math.MaxUint64)
	return mix(bits.RotateLeft64(nodeHash, 17), key) < threshold
}

// voterCount returns the number of voters of a shard, those that fell silent recently included.
func (v *View) voterCount(key shardKey) int {
	if v.counted <= maxVoters {
		return v.counted
	}
	if count, found := v.voters[key]; found {
		return count
	}
	count := 0
	for i, m := range v.members {
		if !m.Left && !m.New && v.isDrawn(v.hashes[i], key, 1+drawMargin) {
			count++
		}
	}
	v.voters[key] = count
	return count
}
