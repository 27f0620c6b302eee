package local

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against decisions by reports that cannot be read.
func TestParseLoad(t *testing.T) {
	load := parseLoad("3, 1,12,175")
	require.Equal(t, []uint32{3, 1, 12, 175}, []uint32{load.GetRunning(), load.GetWaiting(), load.GetSlots(), load.GetPacePercent()})
	require.Zero(t, parseLoad("3,0,8").GetPacePercent())
	for _, text := range []string{"", "3", "3,0", "1,2,3,4,5", "-1,0,8,100", "a,0,8,100", "3,0,8,", "3,0,8,1e2", "99999999,0,8,100", "3,0,8,4000000"} {
		require.Nil(t, parseLoad(text), text)
	}
}
