package member

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// decoded returns a record whose strings are its own, as those of a decoded message are.
func decoded(node string) *wirepb.MemberRecord {
	own := func(s string) string { return string([]byte(s)) }
	return &wirepb.MemberRecord{
		Node: own(node), Life: 1, Region: own("region"), DataCentre: own("dc"), PeerAddress: own("127.0.0.1:1"),
		Parents: []string{own("relay")}, Upstreams: []*wirepb.MemberUpstream{{Service: own("shop"), Version: own("v1"), Slots: 1}},
	}
}

func TestRecordsShareNames(t *testing.T) {
	table := New(Config{Self: decoded("self"), Now: time.Now})
	table.Merge([]*wirepb.MemberRecord{decoded("a"), decoded("b")})
	a, b := table.Record("a"), table.Record("b")
	for _, pair := range [][2]string{
		{a.GetRegion(), b.GetRegion()},
		{a.GetDataCentre(), b.GetDataCentre()},
		{a.GetParents()[0], b.GetParents()[0]},
		{a.GetUpstreams()[0].GetService(), b.GetUpstreams()[0].GetService()},
		{a.GetUpstreams()[0].GetVersion(), b.GetUpstreams()[0].GetVersion()},
	} {
		require.Equal(t, unsafe.StringData(pair[0]), unsafe.StringData(pair[1]), pair[0])
	}
}

// A service that is asked for late has the same list as one that was asked for before its upstreams came.
func TestUpstreamsAskedForLate(t *testing.T) {
	early, late := New(Config{Self: decoded("self"), Now: time.Now}), New(Config{Self: decoded("self"), Now: time.Now})
	early.Upstreams("shop")
	for _, table := range []*Table{early, late} {
		table.Merge([]*wirepb.MemberRecord{decoded("b"), decoded("a"), decoded("c")})
		table.MarkDown(table.Record("c"))
	}
	require.Len(t, late.Upstreams("shop"), 3)
	require.Equal(t, early.Upstreams("shop"), late.Upstreams("shop"))
	require.Empty(t, late.Upstreams("none"))
}
