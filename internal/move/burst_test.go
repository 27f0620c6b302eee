package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	assignDuration = 300 * time.Second
	assignInterval = 737 * time.Microsecond
)

func newServiceWithShare(share uint32) *tree.Service {
	return &tree.Service{Name: "shop", StableVersion: "v1", MoveRecord: &wirepb.MoveRecord{
		Service: "shop", From: "v1", To: "v2", State: wirepb.MoveState_MOVE_STATE_RUNNING, SharePermille: share,
	}}
}

// countGroups assigns many calls and returns the number in each group.
func countGroups(share uint32) map[Group]int {
	verdicts, service, groups := NewVerdicts(), newServiceWithShare(share), map[Group]int{}
	start := time.Unix(1_800_000_000, 0)
	for at := time.Duration(0); at < assignDuration; at += assignInterval {
		groups[verdicts.AssignGroup(service, start.Add(at))]++
	}
	return groups
}

func TestAssignGroupMatchesShare(t *testing.T) {
	const all = float64(assignDuration / assignInterval)
	for _, share := range []uint32{0, 10, 50, 150, 250, 500, fullSharePermille} {
		groups, wanted := countGroups(share), 1+all*float64(share)/fullSharePermille
		require.InEpsilon(t, wanted, 1+groups[GroupNew], 0.1, "share %d", share)
		if share > maxBurstSharePermille {
			require.Zero(t, groups[GroupControl])
		} else {
			controls := 1 + (wanted-1)*float64(fullSharePermille-burstLoadPermille(share))/float64(burstLoadPermille(share))
			require.InEpsilon(t, controls, 1+groups[GroupControl], 0.1, "share %d", share)
		}
	}
}

func TestBurstsAreShortAndCoverWholeSecond(t *testing.T) {
	const share = 20
	start, places, inside := time.Unix(1_800_000_000, 0), map[time.Duration]bool{}, 0
	for at := time.Duration(0); at < assignDuration; at += assignInterval {
		if inBurst("shop", share, start.Add(at)) {
			inside++
			places[at%time.Second/(20*time.Millisecond)] = true
		}
	}
	require.InEpsilon(t, float64(assignDuration/assignInterval)*share/fullSharePermille, inside, 0.02)
	require.Len(t, places, 50, "bursts must fall in every part of the second")
}

// A fault that needs concurrent calls must show before all calls go to the new version. So in the bursts of the last step
// before the full share, the new version must get nearly the whole load.
func TestLastPartialStepCarriesNearlyFullLoad(t *testing.T) {
	last := stepSharesPermille[len(stepSharesPermille)-2]
	groups := countGroups(last)
	require.LessOrEqual(t, last, uint32(250))
	require.Greater(t, float64(groups[GroupNew])/float64(groups[GroupNew]+groups[GroupControl]), 0.75)
}

func TestRejectedVersionGetsNoCalls(t *testing.T) {
	verdicts, service := NewVerdicts(), newServiceWithShare(fullSharePermille)
	verdicts.Merge(&wirepb.Verdict{Service: "shop", Version: "v2"})
	require.Equal(t, GroupNone, verdicts.AssignGroup(service, time.Unix(1, 0)))
}
