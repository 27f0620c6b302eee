package route

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func upstreams(centres ...string) []*member.Upstream {
	list := make([]*member.Upstream, 0, len(centres))
	for i, c := range centres {
		list = append(list, &member.Upstream{
			Node: string(rune('a' + i)), DataCentre: c, Region: c[:1], Version: "v1", Slots: 2,
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return list
}

func newPicker(list []*member.Upstream, now *time.Time) *Picker {
	return NewPicker(PickerConfig{
		Node: "self", DataCentre: "r-1", Region: "r", SubsetSize: 4, Now: func() time.Time { return *now },
		Upstreams: func(string) []*member.Upstream { return list }, Preconnect: func(netip.AddrPort) {},
	})
}

func pickCentre(p *Picker) string {
	return p.pick(subsetKey{service: "shop", version: "v1"}, nil).upstream.DataCentre
}

func TestPick(t *testing.T) {
	now := time.Now()
	t.Run("the nearest upstream with a free slot is picked", func(t *testing.T) {
		p := newPicker(upstreams("s-1", "r-2", "r-1"), &now)
		require.Equal(t, "r-1", pickCentre(p))
		require.Equal(t, "r-1", pickCentre(p))
		require.Equal(t, "r-2", pickCentre(p))
		require.Equal(t, "r-2", pickCentre(p))
		require.Equal(t, "s-1", pickCentre(p))
	})
	t.Run("an unreachable upstream is ejected and tried again later", func(t *testing.T) {
		p := newPicker(upstreams("r-1", "r-2"), &now)
		c := p.pick(subsetKey{service: "shop", version: "v1"}, nil)
		p.recordResult(c, &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_UNREACHABLE}, 0, true)
		require.Equal(t, "r-2", pickCentre(p))
		now = now.Add(maxEjectionDuration)
		require.Equal(t, "r-1", pickCentre(p))
	})
	t.Run("a suspect node is avoided as long as there is another", func(t *testing.T) {
		list := upstreams("r-1", "r-2")
		list[0].PeerAddress = netip.MustParseAddrPort("127.0.0.1:2")
		p := newPicker(list, &now)
		p.cfg.IsSuspect = func(address netip.AddrPort) bool { return address == list[0].PeerAddress }
		require.Equal(t, "r-2", pickCentre(p))
		p.cfg.IsSuspect = func(netip.AddrPort) bool { return true }
		require.NotEmpty(t, pickCentre(p), "a call must not fail because all nodes are suspect")
	})
	t.Run("the last upstream is used even when it is ejected", func(t *testing.T) {
		p := newPicker(upstreams("r-1"), &now)
		c := p.pick(subsetKey{service: "shop", version: "v1"}, nil)
		p.recordResult(c, &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN}, 0, true)
		require.NotNil(t, p.pick(subsetKey{service: "shop", version: "v1"}, nil))
	})
	t.Run("a tried upstream is not picked again", func(t *testing.T) {
		p := newPicker(upstreams("r-1"), &now)
		c := p.pick(subsetKey{service: "shop", version: "v1"}, nil)
		require.Nil(t, p.pick(subsetKey{service: "shop", version: "v1"}, map[*stats]bool{c.stats: true}))
	})
	t.Run("the subset is bounded", func(t *testing.T) {
		p := newPicker(upstreams("r-1", "r-1", "r-1", "r-1", "r-1", "r-1"), &now)
		seen := map[string]bool{}
		for range 200 {
			seen[p.pick(subsetKey{service: "shop", version: "v1"}, nil).upstream.Node] = true
		}
		require.Len(t, seen, 4)
	})
}
