package move

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// samplesWithSpread returns latencies in microseconds whose median is 100 ms, and whose 95th percentile is a multiple of that.
func samplesWithSpread(multiple float64) []uint32 {
	samples := make([]uint32, 0, 101)
	for i := range 101 {
		exponent := (float64(i)/100 - medianQuantile) / (slowQuantile - medianQuantile)
		samples = append(samples, uint32(100_000*math.Pow(multiple, exponent)))
	}
	return samples
}

// Guards against a threshold that a version several times slower than the stable one does not exceed, since the stable version's
// own latencies spread widely.
func TestSlowThreshold(t *testing.T) {
	tests := []struct {
		name       string
		multiple   float64
		want       time.Duration
		wantCutOff time.Duration
	}{
		{"latencies that hardly differ: several times the usual one", 1.1, 200 * time.Millisecond, 107 * time.Millisecond},
		{"latencies that spread widely: more than nearly all", 2.7, 275 * time.Millisecond, 194 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slow, slowIfCutOff := slowThresholds(samplesWithSpread(tt.multiple))
			require.InDelta(t, tt.want.Seconds(), slow.Seconds(), 0.001)
			require.InDelta(t, tt.wantCutOff.Seconds(), slowIfCutOff.Seconds(), 0.001)
		})
	}
}
