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
	// DigestBuckets is the number of hashes that summarise a table.
	DigestBuckets = 256
	// tombstoneAge outlasts the longest separation of two regions.
	tombstoneAge = 24 * time.Hour
	maxRecords   = 200_000
)

// Upstream is one upstream of a service with the node beside it.
type Upstream struct {
	Node        string
	Life        uint64
	Region      string
	DataCentre  string
	PeerAddress netip.AddrPort
	Version     string
	Slots       uint32
}

// Config configures a Table.
type Config struct {
	// Self is the record of this node; its life is the start time of the process.
	Self *wirepb.MemberRecord
	Now  func() time.Time
}

// Table is a node's copy of all member records.
type Table struct {
	Feed *feed.Feed

	now func() time.Time

	mu      sync.RWMutex
	self    *wirepb.MemberRecord
	records map[string]*held
	// services holds the upstreams of the services that this node asked for; the others need no index.
	services map[string][]*Upstream
	names    *names
	buckets  [DigestBuckets]uint64
}

type held struct {
	record  *wirepb.MemberRecord
	hash    uint64
	changed time.Time
}

// New returns a table that holds this node's record.
func New(cfg Config) *Table {
	t := &Table{
		Feed: feed.New(), now: cfg.Now, self: cfg.Self,
		records: map[string]*held{}, services: map[string][]*Upstream{}, names: newNames(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(t.self)
	return t
}

// UpdateSelf changes this node's own record and publishes it with the next sequence.
func (t *Table) UpdateSelf(change func(record *wirepb.MemberRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := proto.CloneOf(t.self)
	change(next)
	next.Sequence++
	t.self = next
	t.store(next)
}

// Merge takes in records and keeps the newer of each pair; a false report of this node's end is refuted.
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
	if found && !newer(record, known.record) || !found && len(t.records) >= maxRecords {
		return
	}
	t.store(record)
}

func (t *Table) refute(record *wirepb.MemberRecord) {
	if record.GetLife() != t.self.GetLife() || !newer(record, t.self) {
		return
	}
	next := proto.CloneOf(t.self)
	next.Sequence = record.GetSequence() + 1
	t.self = next
	t.store(next)
}

func newer(a, b *wirepb.MemberRecord) bool {
	if a.GetLife() != b.GetLife() {
		return a.GetLife() > b.GetLife()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetDown() && !b.GetDown()
}

func (t *Table) store(record *wirepb.MemberRecord) {
	t.names.share(record)
	name := record.GetNode()
	bucket := xxhash.Sum64String(name) % DigestBuckets
	previous := t.records[name]
	if previous != nil {
		t.buckets[bucket] ^= previous.hash
	}
	next := &held{record: record, hash: recordHash(record), changed: t.now()}
	t.records[name] = next
	t.buckets[bucket] ^= next.hash
	t.index(previous, record)
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

// index rebuilds the lists of the services that a record had or has, if they are asked for; readers keep the lists they
// took.
func (t *Table) index(previous *held, record *wirepb.MemberRecord) {
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
		if known, asked := t.services[service]; asked {
			list := withoutNode(known, record.GetNode())
			t.services[service] = ordered(append(list, upstreamsOf(record, service)...))
		}
	}
}

func ordered(list []*Upstream) []*Upstream {
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
				PeerAddress: address, Version: u.GetVersion(), Slots: u.GetSlots(),
			})
		}
	}
	return list
}

// Upstreams returns the upstreams of a service, ordered by node and version; the list must not be changed.
func (t *Table) Upstreams(service string) []*Upstream {
	t.mu.RLock()
	list, asked := t.services[service]
	t.mu.RUnlock()
	if asked {
		return list
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if list, asked = t.services[service]; asked {
		return list
	}
	for _, h := range t.records {
		list = append(list, upstreamsOf(h.record, service)...)
	}
	t.services[service] = ordered(list)
	return list
}

// Record returns the record of a node, or nil.
func (t *Table) Record(node string) *wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, found := t.records[node]; found {
		return h.record
	}
	return nil
}

// RecordAge returns the time since this node learned the newest record of a node.
func (t *Table) RecordAge(node string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, found := t.records[node]; found {
		return t.now().Sub(h.changed)
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
		if h, found := t.records[n]; found {
			records = append(records, h.record)
		}
	}
	return records
}

// Select returns the records that are wanted, in no order.
func (t *Table) Select(wanted func(record *wirepb.MemberRecord) bool) []*wirepb.MemberRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var records []*wirepb.MemberRecord
	for _, h := range t.records {
		if wanted(h.record) {
			records = append(records, h.record)
		}
	}
	return records
}

// LiveCount returns the number of nodes that are not down.
func (t *Table) LiveCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	live := 0
	for _, h := range t.records {
		if !h.record.GetDown() {
			live++
		}
	}
	return live
}

// Digest returns the hashes of the buckets.
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
	for name, h := range t.records {
		if wanted(name) {
			records = append(records, h.record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].GetNode() < records[j].GetNode() })
	return records
}

// MarkDown reports the end of a node as of the life and sequence that the caller saw.
func (t *Table) MarkDown(seen *wirepb.MemberRecord) {
	down := proto.CloneOf(seen)
	down.Down = true
	t.Merge([]*wirepb.MemberRecord{down})
}

// Expire forgets nodes that have been down for a day.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, h := range t.records {
		if h.record.GetDown() && t.now().Sub(h.changed) > tombstoneAge {
			t.buckets[xxhash.Sum64String(name)%DigestBuckets] ^= h.hash
			delete(t.records, name)
		}
	}
	t.names.forget()
}
