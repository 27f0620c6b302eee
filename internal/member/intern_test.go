package member

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// decodedRecord returns a record whose strings share no memory with others, like those of a decoded message.
func decodedRecord(node string) *wirepb.MemberRecord {
	cloned := func(s string) string { return string([]byte(s)) }
	return &wirepb.MemberRecord{
		Node: cloned(node), Life: 1, Region: cloned("region"), DataCentre: cloned("dc"), PeerAddress: cloned("127.0.0.1:1"),
		Parents: []string{cloned("relay")}, Upstreams: []*wirepb.MemberUpstream{{Service: cloned("shop"), Version: cloned("v1"), Slots: 1}},
	}
}

func TestRecordsShareStrings(t *testing.T) {
	table := New(Config{Self: decodedRecord("self"), Now: time.Now})
	table.Merge([]*wirepb.MemberRecord{decodedRecord("a"), decodedRecord("b")})
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

// The list of a service that is first requested after its upstreams were merged must equal a list that was requested
// before and updated since.
func TestUpstreamsBeforeAndAfterMerge(t *testing.T) {
	early, late := New(Config{Self: decodedRecord("self"), Now: time.Now}), New(Config{Self: decodedRecord("self"), Now: time.Now})
	early.Upstreams("shop")
	for _, table := range []*Table{early, late} {
		table.Merge([]*wirepb.MemberRecord{decodedRecord("b"), decodedRecord("a"), decodedRecord("c")})
		table.MarkDown(table.Record("c"))
	}
	require.Len(t, late.Upstreams("shop"), 3)
	require.Equal(t, early.Upstreams("shop"), late.Upstreams("shop"))
	require.Empty(t, late.Upstreams("none"))
}
