package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func newTable() *Table {
	return New(Config{Now: time.Now, Self: record("self", 5, 1)})
}

func record(node string, life, sequence uint64) *wirepb.MemberRecord {
	return &wirepb.MemberRecord{
		Node: node, Life: life, Sequence: sequence, DataCentre: "dc-a", PeerAddress: "127.0.0.1:7001",
		Upstreams: []*wirepb.MemberUpstream{{Service: "shop", Version: "v1", Slots: 12}},
	}
}

func merge(t *Table, records ...*wirepb.MemberRecord) { t.Merge(records) }

// Records that arrive in any order, or twice, must lead to the same table.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var records []*wirepb.MemberRecord
		for range rapid.IntRange(1, 20).Draw(r, "records") {
			next := record(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "node"),
				rapid.Uint64Range(1, 3).Draw(r, "life"), rapid.Uint64Range(1, 3).Draw(r, "sequence"))
			next.Down = rapid.Bool().Draw(r, "down")
			records = append(records, next)
		}
		one, other := newTable(), newTable()
		merge(one, records...)
		merge(other, rapid.Permutation(append(records, records...)).Draw(r, "order")...)
		require.Equal(r, one.Digest(), other.Digest())
		require.Len(r, other.Upstreams("shop"), len(one.Upstreams("shop")))
	})
}

func TestFalseDownReportIsRefuted(t *testing.T) {
	table := newTable()
	down := proto.CloneOf(table.Record("self"))
	down.Down = true
	merge(table, down)
	require.False(t, table.Record("self").GetDown())
	require.Greater(t, table.Record("self").GetSequence(), down.GetSequence())
}

func TestMemberChanges(t *testing.T) {
	t.Run("a node that is down gets no calls", func(t *testing.T) {
		table := newTable()
		merge(table, record("a", 1, 1))
		require.Len(t, table.Upstreams("shop"), 2)
		table.MarkDown(table.Record("a"))
		require.Len(t, table.Upstreams("shop"), 1)
	})
	t.Run("a record of an earlier incarnation is ignored", func(t *testing.T) {
		table := newTable()
		merge(table, record("a", 2, 1), record("a", 1, 9))
		require.Equal(t, uint64(2), table.Record("a").GetLife())
	})
	t.Run("a list that was returned does not change", func(t *testing.T) {
		table := newTable()
		merge(table, record("a", 1, 1))
		list := table.Upstreams("shop")
		table.MarkDown(table.Record("a"))
		require.Len(t, list, 2)
	})
	t.Run("a digest finds the records that differ", func(t *testing.T) {
		one, other := newTable(), newTable()
		merge(one, record("a", 1, 1), record("b", 1, 1))
		merge(other, one.Differing(other.Digest())...)
		require.Empty(t, one.Differing(other.Digest()))
		require.Equal(t, one.Digest(), other.Digest())
	})
	t.Run("an invalid address yields no upstream", func(t *testing.T) {
		table := newTable()
		bad := record("a", 1, 1)
		bad.PeerAddress = "garbage"
		merge(table, bad)
		require.Len(t, table.Upstreams("shop"), 1)
	})
}
