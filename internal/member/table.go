package member

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/feed"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// DigestBuckets is the number of hashes in a digest, which nodes exchange to find the records that differ.
	DigestBuckets = 256
	// tombstoneTTL is how long the record of a node that is down is kept; it outlasts the longest separation of two
	// regions.
	tombstoneTTL = 24 * time.Hour
	maxRecords   = 200_000
)

// Upstream is an upstream of a service, with the node that it is local to.
type Upstream struct {
	Node string
	// Life identifies the incarnation of the node, one run of its process.
	Life        uint64
	Region      string
	DataCentre  string
	PeerAddress netip.AddrPort
	Version     string
	Slots       uint32
	// Cold says that the upstream is in a cold start in which its service limits its calls.
	Cold bool
}

// Config configures a Table.
type Config struct {
	// Self is the record of this node; its life, the incarnation, is the start time of the process.
	Self *wirepb.MemberRecord
	Now  func() time.Time
}

// Table is a node's copy of all member records; it is safe for concurrent use.
type Table struct {
	// Feed holds the names of the nodes whose records changed.
	Feed *feed.Feed

	now func() time.Time

	mu      sync.RWMutex
	self    *wirepb.MemberRecord
	records map[string]*entry
	// byService holds the upstreams of the services that this node has requested; other services need no index.
	byService map[string][]*Upstream
	interned  *internPool
	buckets   [DigestBuckets]uint64
}

type entry struct {
	record    *wirepb.MemberRecord
	hash      uint64
	changedAt time.Time
}

// New returns a table that holds this node's record.
func New(cfg Config) *Table {
	t := &Table{
		Feed: feed.New(), now: cfg.Now, self: cfg.Self,
		records: map[string]*entry{}, byService: map[string][]*Upstream{}, interned: newInternPool(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(t.self)
	return t
}

// UpdateSelf changes this node's record and publishes it with the next sequence number.
func (t *Table) UpdateSelf(change func(record *wirepb.MemberRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := proto.CloneOf(t.self)
	change(next)
	next.Sequence++
	t.self = next
	t.store(next)
}

// Merge merges records and keeps the newer of each pair; a false report that this node is down is refuted.
func (t *Table) Merge(records []*wirepb.MemberRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.merge(r)
	}
}

func (t *Table) merge(record *wirepb.MemberRecord) {
	if record.GetNode() == t.self.GetNode() && record.GetLife() <= t.self.GetLife() {
		t.refute(record)
		return
	}
	known, found := t.records[record.GetNode()]
	if found && !supersedes(record, known.record) || !found && len(t.records) >= maxRecords {
		return
	}
	t.store(record)
}

// refute publishes this node's record with a higher sequence number than that of a record received from elsewhere.
func (t *Table) refute(record *wirepb.MemberRecord) {
	if record.GetLife() != t.self.GetLife() || !supersedes(record, t.self) {
		return
	}
	next := proto.CloneOf(t.self)
	next.Sequence = record.GetSequence() + 1
	t.self = next
	t.store(next)
}

func supersedes(a, b *wirepb.MemberRecord) bool {
	if a.GetLife() != b.GetLife() {
		return a.GetLife() > b.GetLife()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetDown() && !b.GetDown()
}

func (t *Table) store(record *wirepb.MemberRecord) {
	t.interned.internRecord(record)
	name := record.GetNode()
	bucket := xxhash.Sum64String(name) % DigestBuckets
	previous := t.records[name]
	if previous != nil {
		t.buckets[bucket] ^= previous.hash
	}
	next := &entry{record: record, hash: recordHash(record), changedAt: t.now()}
	t.records[name] = next
	t.buckets[bucket] ^= next.hash
	t.reindex(previous, record)
	t.Feed.Add(name)
}

func recordHash(record *wirepb.MemberRecord) uint64 {
	data := []byte(record.GetNode())
	data = binary.LittleEndian.AppendUint64(data, record.GetLife())
	data = binary.LittleEndian.AppendUint64(data, record.GetSequence())
	if record.GetDown() {
		data = append(data, 1)
	}
	return xxhash.Sum64(data)
}

// reindex rebuilds the lists of the indexed services that a record had or has. Lists are replaced, not changed, since
// readers may still hold them.
func (t *Table) reindex(previous *entry, record *wirepb.MemberRecord) {
	services := map[string]bool{}
	if previous != nil {
		for _, u := range previous.record.GetUpstreams() {
			services[u.GetService()] = true
		}
	}
	for _, u := range record.GetUpstreams() {
		services[u.GetService()] = true
	}
	for service := range services {
		if known, indexed := t.byService[service]; indexed {
			list := withoutNode(known, record.GetNode())
			t.byService[service] = sortUpstreams(append(list, upstreamsOf(record, service)...))
		}
	}
}

func sortUpstreams(list []*Upstream) []*Upstream {
	sort.Slice(list, func(i, j int) bool {
		if list[i].Node != list[j].Node {
			return list[i].Node < list[j].Node
		}
		return list[i].Version < list[j].Version
	})
	return list
}

func withoutNode(list []*Upstream, node string) []*Upstream {
	kept := make([]*Upstream, 0, len(list)+1)
	for _, u := range list {
		if u.Node != node {
			kept = append(kept, u)
		}
	}
	return kept
}

func upstreamsOf(record *wirepb.MemberRecord, service string) []*Upstream {
	if record.GetDown() {
		return nil
	}
	var list []*Upstream
	for _, u := range record.GetUpstreams() {
		if u.GetService() != service {
			continue
		}
		if address, err := netip.ParseAddrPort(record.GetPeerAddress()); err == nil {
			list = append(list, &Upstream{
				Node: record.GetNode(), Life: record.GetLife(), Region: record.GetRegion(), DataCentre: record.GetDataCentre(),
				PeerAddress: address, Version: u.GetVersion(), Slots: u.GetSlots(), Cold: u.GetCold(),
			})
		}
	}
	return list
}

// Upstreams returns the upstreams of a service, ordered by node and version; the list must not be changed.
func (t *Table) Upstreams(service string) []*Upstream {
	t.mu.RLock()
	list, indexed := t.byService[service]
	t.mu.RUnlock()
	if indexed {
		return list
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if list, indexed = t.byService[service]; indexed {
		return list
	}
	for _, e := range t.records {
		list = append(list, upstreamsOf(e.record, service)...)
	}
	t.byService[service] = sortUpstreams(list)
	return list
}

// Record returns the record of a node, or nil.
func (t *Table) Record(node string) *wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e, found := t.records[node]; found {
		return e.record
	}
	return nil
}

// RecordAge returns the time since this node received the newest record of a node, or zero if it has none.
func (t *Table) RecordAge(node string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e, found := t.records[node]; found {
		return t.now().Sub(e.changedAt)
	}
	return 0
}

// Records returns all records, or those of some nodes.
func (t *Table) Records(nodes ...string) []*wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(nodes) == 0 {
		return t.collect(func(string) bool { return true })
	}
	records := make([]*wirepb.MemberRecord, 0, len(nodes))
	for _, n := range nodes {
		if e, found := t.records[n]; found {
			records = append(records, e.record)
		}
	}
	return records
}

// Select returns the records for which wanted returns true, in no particular order.
func (t *Table) Select(wanted func(record *wirepb.MemberRecord) bool) []*wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var records []*wirepb.MemberRecord
	for _, e := range t.records {
		if wanted(e.record) {
			records = append(records, e.record)
		}
	}
	return records
}

// LiveCount returns the number of nodes that are not down.
func (t *Table) LiveCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	live := 0
	for _, e := range t.records {
		if !e.record.GetDown() {
			live++
		}
	}
	return live
}

// Digest returns a hash over the records of each bucket.
func (t *Table) Digest() []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]uint64(nil), t.buckets[:]...)
}

// Differing returns the records of the buckets whose hashes differ from a digest.
func (t *Table) Differing(digest []uint64) []*wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.collect(func(name string) bool {
		bucket := xxhash.Sum64String(name) % DigestBuckets
		return uint64(len(digest)) <= bucket || digest[bucket] != t.buckets[bucket]
	})
}

func (t *Table) collect(wanted func(name string) bool) []*wirepb.MemberRecord {
	var records []*wirepb.MemberRecord
	for name, e := range t.records {
		if wanted(name) {
			records = append(records, e.record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].GetNode() < records[j].GetNode() })
	return records
}

// MarkDown marks a node as down as of the life and sequence number of a record; a newer record of the node overrides
// it.
func (t *Table) MarkDown(seen *wirepb.MemberRecord) {
	down := proto.CloneOf(seen)
	down.Down = true
	t.Merge([]*wirepb.MemberRecord{down})
}

// Expire removes the records of nodes that have been down for longer than tombstoneTTL.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.records {
		if e.record.GetDown() && t.now().Sub(e.changedAt) > tombstoneTTL {
			t.buckets[xxhash.Sum64String(name)%DigestBuckets] ^= e.hash
			delete(t.records, name)
		}
	}
	t.interned.clearIfFull()
}
