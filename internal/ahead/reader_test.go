package ahead

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/budget"
)

func TestHeadSize(t *testing.T) {
	tests := []struct {
		data string
		size int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", 25},
		{"GET / HTTP/1.1\nHost: a\n\nrest", 23},
		{"GET / HTTP/1.1\r\nHost: a\n\r\n", 24},
		{"GET / HTTP/1.1\r\nA: b\r\n c\r\n\td\r\n\r\n", 30},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r", 0},
		{"GET / HTTP/1.1\r\nHost: a\r\n", 0},
		{"GET / HTTP/1.1", 0},
		{"", 0},
		{"\r\nGET", 1},
	}
	for _, tt := range tests {
		require.Equal(t, tt.size, headSize([]byte(tt.data), 0), "%q", tt.data)
		for scanned := range tt.data {
			if headSize([]byte(tt.data[:scanned]), 0) == 0 {
				require.Equal(t, tt.size, headSize([]byte(tt.data), scanned), "%q from %d", tt.data, scanned)
			}
		}
	}
}

// Guards against bytes that are lost, read twice or out of order where heads end inside or outside the buffer, however they arrive.
func TestPeekedHeadsAreReadInOrder(t *testing.T) {
	const bufferBytes = 64
	var input string
	var heads []string
	for i := range 200 {
		head := "HEAD " + strings.Repeat("x", i) + "\r\n" + strings.Repeat("A: b\r\n", i%7)
		heads = append(heads, head)
		input += head + "\r\n" + strings.Repeat("y", i%11)
	}
	for name, conn := range map[string]io.Reader{
		"at once": strings.NewReader(input), "a byte at a time": iotest.OneByteReader(strings.NewReader(input)), "halves": iotest.HalfReader(strings.NewReader(input)),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReader(conn, bufferBytes)
			for i, want := range heads {
				head, err := r.PeekHead(HeadConfig{MaxBytes: 1 << 10})
				require.NoError(t, err)
				require.Equal(t, want, string(head))
				read := make([]byte, len(want)+len("\r\n")+i%11)
				_, err = io.ReadFull(r, read)
				require.NoError(t, err)
				require.Equal(t, want+"\r\n"+strings.Repeat("y", i%11), string(read))
			}
			require.Zero(t, r.Buffered())
			_, err := r.PeekHead(HeadConfig{MaxBytes: 1 << 10})
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

func TestLargeHeadsAreChargedAndBounded(t *testing.T) {
	const maxBytes = 1 << 10
	endless := strings.Repeat("A: b\r\n", maxBytes)
	charged := int64(0)
	_, err := NewReader(strings.NewReader(endless), 64).PeekHead(HeadConfig{MaxBytes: maxBytes, Charge: func(bytes int64) bool {
		charged += bytes
		return true
	}})
	require.Equal(t, &HeadTooLargeError{Limit: maxBytes}, err)
	require.LessOrEqual(t, charged, int64(2*maxBytes))
	require.GreaterOrEqual(t, charged, int64(maxBytes))
	_, err = NewReader(strings.NewReader(endless), 64).PeekHead(HeadConfig{MaxBytes: maxBytes, Charge: func(int64) bool { return false }})
	require.Equal(t, &budget.ExhaustedError{Bytes: 128}, err)
}
