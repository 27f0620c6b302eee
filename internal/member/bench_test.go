package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func BenchmarkScan(b *testing.B) {
	t := New(Config{Self: decodedRecord("self"), Now: time.Now})
	for i := range 23000 {
		r := decodedRecord(fmt.Sprintf("service-%d", i))
		r.DataCentre = fmt.Sprintf("dc-%d", i%28)
		t.Merge([]*wirepb.MemberRecord{r})
	}
	b.Run("sorted", func(b *testing.B) {
		for b.Loop() {
			t.Records()
		}
	})
	b.Run("selected", func(b *testing.B) {
		for b.Loop() {
			t.Select(func(r *wirepb.MemberRecord) bool { return r.GetDataCentre() == "dc-1" })
		}
	})
}
