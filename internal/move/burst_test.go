package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	sliceTime = 300 * time.Second
	sliceStep = 737 * time.Microsecond
)

func sliceService(share uint32) *tree.Service {
	return &tree.Service{Name: "shop", StableVersion: "v1", MoveRecord: &wirepb.MoveRecord{
		Service: "shop", From: "v1", To: "v2", State: wirepb.MoveState_MOVE_STATE_RUNNING, SharePermille: share,
	}}
}

// drawAll draws many times and returns the number of calls in each group.
func drawAll(share uint32) map[Group]int {
	verdicts, service, drawn := NewVerdicts(), sliceService(share), map[Group]int{}
	start := time.Unix(1_800_000_000, 0)
	for at := time.Duration(0); at < sliceTime; at += sliceStep {
		drawn[verdicts.AssignGroup(service, start.Add(at))]++
	}
	return drawn
}

func TestDrawGivesTheShare(t *testing.T) {
	const all = float64(sliceTime / sliceStep)
	for _, share := range []uint32{0, 10, 50, 150, 250, 500, fullShare} {
		drawn, wanted := drawAll(share), 1+all*float64(share)/fullShare
		require.InEpsilon(t, wanted, 1+drawn[GroupNew], 0.1, "share %d", share)
		if share > maxSliced {
			require.Zero(t, drawn[GroupControl])
		} else {
			controls := 1 + (wanted-1)*float64(fullShare-sliceLoad(share))/float64(sliceLoad(share))
			require.InEpsilon(t, controls, 1+drawn[GroupControl], 0.1, "share %d", share)
		}
	}
}

func TestSlicesAreShortAndMove(t *testing.T) {
	const share = 20
	start, places, taken := time.Unix(1_800_000_000, 0), map[time.Duration]bool{}, 0
	for at := time.Duration(0); at < sliceTime; at += sliceStep {
		if inSlice("shop", share, start.Add(at)) {
			taken++
			places[at%time.Second/(20*time.Millisecond)] = true
		}
	}
	require.InEpsilon(t, float64(sliceTime/sliceStep)*share/fullShare, taken, 0.02)
	require.Len(t, places, 50, "the slices come to each part of the second")
}

// Before it takes all calls, the new version must have met nearly their whole load for a moment at a small share.
func TestLastSlicesCarryNearlyTheWholeLoad(t *testing.T) {
	last := stepShares[len(stepShares)-2]
	drawn := drawAll(last)
	require.LessOrEqual(t, last, uint32(250))
	require.Greater(t, float64(drawn[GroupNew])/float64(drawn[GroupNew]+drawn[GroupControl]), 0.75)
}

func TestCondemnedVersionIsNotDrawn(t *testing.T) {
	verdicts, service := NewVerdicts(), sliceService(fullShare)
	verdicts.Merge(&wirepb.Verdict{Service: "shop", Version: "v2"})
	require.Equal(t, GroupNone, verdicts.AssignGroup(service, time.Unix(1, 0)))
}
