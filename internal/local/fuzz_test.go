package local

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/ahead"
)

const (
	fuzzBodyBytes = 64 << 10
	// fuzzAllocated and fuzzAllocatedFactor bound what may be allocated for some input: buffers, and what each of its bytes takes.
	fuzzAllocated       = 1 << 20
	fuzzAllocatedFactor = 600
)

// readFuzzed reads a response from bytes that arrive as a reader gives them.
func readFuzzed(t *testing.T, r io.Reader) (*fullResponse, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://upstream/", nil)
	require.NoError(t, err)
	limited := &io.LimitedReader{R: r}
	c := &conn{limited: limited, reader: ahead.NewReader(limited, connBufferBytes)}
	bodies := &bodyBudget{}
	received, err := c.readResponse(request, responseLimits{idHeader: idHeader, id: "1", maxBodyBytes: fuzzBodyBytes, bodies: bodies})
	require.Zero(t, bodies.held.Load())
	return received, err
}

// allocatedBytes returns the bytes that the process has allocated. The cheaper runtime/metrics are exact only after a collection.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against bytes of an upstream that cause a panic, take much more memory than they are, are taken for a response without being one, or
// mean something else when they arrive in other pieces.
func FuzzResponse(f *testing.F) {
	for _, tt := range framingCases() {
		f.Add([]byte(tt.response))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		before := allocatedBytes()
		received, err := readFuzzed(t, bytes.NewReader(data))
		allocated := allocatedBytes() - before
		require.LessOrEqual(t, allocated, uint64(fuzzAllocated+fuzzAllocatedFactor*len(data)))
		inPieces, errInPieces := readFuzzed(t, iotest.OneByteReader(bytes.NewReader(data)))
		require.Equal(t, err == nil, errInPieces == nil, "%v, in pieces %v", err, errInPieces)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, received.response.StatusCode, http.StatusOK)
		require.LessOrEqual(t, received.response.StatusCode, maxStatus)
		require.LessOrEqual(t, len(received.body), fuzzBodyBytes)
		require.Equal(t, received.response.StatusCode, inPieces.response.StatusCode)
		require.Equal(t, received.body, inPieces.body)
	})
}
