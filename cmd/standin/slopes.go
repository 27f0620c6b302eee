package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const routesPerService = 3

// newCmdSlopes returns the command that measures how the state of a node grows with its size: memory, encoded bytes and the time of one change.
func newCmdSlopes() *cobra.Command {
	return &cobra.Command{
		Use:   "slopes",
		Short: "Print the memory, the encoded size and the time of one change of a node's state, for several sizes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fmt.Println("what\tcount\theap_bytes_each\twire_bytes_each\tone_change_ms")
			for _, count := range []int{1000, 5000, 23000} {
				measureMembers(count)
			}
			for _, count := range []int{200, 1000, 4200} {
				if err := measureTree(count); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func newMember(i int) *wirepb.MemberRecord {
	return &wirepb.MemberRecord{
		Node: fmt.Sprintf("service-%d-%d", i%4200, i/4200), Life: uint64(time.Now().UnixNano()), Sequence: 2,
		Region: "region-1", DataCentre: fmt.Sprintf("region-1-%d", i%28), PeerAddress: fmt.Sprintf("10.%d.%d.1:7001", i/256%256, i%256),
		Upstreams: []*wirepb.MemberUpstream{{Service: fmt.Sprintf("service-%d", i%4200), Version: "2027-01-01.1", Slots: 12}},
		Parents:   []string{"service-1-0", "service-2-0"},
	}
}

func measureMembers(count int) {
	initialBytes := heapBytes()
	table := member.New(member.Config{Self: newMember(0), Now: time.Now})
	encodedBytes := 0
	for i := 1; i < count; i++ {
		record := newMember(i)
		encodedBytes += proto.Size(record)
		table.Merge([]*wirepb.MemberRecord{record})
	}
	usedBytes := heapBytes() - initialBytes
	started := time.Now()
	changed := newMember(1)
	changed.Sequence = 3
	table.Merge([]*wirepb.MemberRecord{changed})
	fmt.Printf("member\t%d\t%d\t%d\t%.3f\n", count, usedBytes/uint64(count), encodedBytes/count, time.Since(started).Seconds()*1000)
	runtime.KeepAlive(table)
}

func measureTree(count int) error {
	initialBytes := heapBytes()
	snapshot := &wirepb.Snapshot{Revision: 1}
	for i := range count {
		team := fmt.Sprintf("/teams/team-%d", i%700)
		snapshot.Entries = append(snapshot.Entries, &wirepb.Entry{Path: fmt.Sprintf("%s/services/service-%d", team, i), Value: `{"version": "2027-01-01.1"}`, Revision: 1})
		for j := range routesPerService {
			snapshot.Entries = append(snapshot.Entries, &wirepb.Entry{
				Path:  fmt.Sprintf("%s/routes/route-%d-%d", team, i, j),
				Value: fmt.Sprintf(`{"path_prefix": "/s%d/r%d", "service": "service-%d", "idempotent": true, "timeout": "2s"}`, i, j, i), Revision: 1,
			})
		}
	}
	state, err := tree.FromSnapshot(snapshot)
	if err != nil {
		return errors.Wrap(err, "compile snapshot")
	}
	data, err := oplog.EncodeSnapshot(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	usedBytes := heapBytes() - initialBytes
	started := time.Now()
	next, err := state.Apply(&wirepb.Change{Revision: 2, Puts: []*wirepb.Put{{Path: "/teams/team-0/services/service-0", Value: `{"version": "2027-01-01.1"}`}}})
	if err != nil {
		return errors.Wrap(err, "apply change")
	}
	fmt.Printf("service\t%d\t%d\t%d\t%.3f\n", count, usedBytes/uint64(count), len(data)/count, time.Since(started).Seconds()*1000)
	runtime.KeepAlive(next)
	return nil
}
