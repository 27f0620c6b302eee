package frame

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against memory for a message that is charged by the wrong size, and against a look at a message that takes something of it.
func TestPeekNext(t *testing.T) {
	const limit = 1 << 20
	answer := func(body int) *wirepb.AnswerHead {
		return &wirepb.AnswerHead{
			CallId: "id", Status: 200, Headers: []*wirepb.Header{{Name: "A", Value: []byte("b")}}, Body: bytes.Repeat([]byte("x"), body),
		}
	}
	for _, body := range []int{100, 4 << 10, 200 << 10} {
		encoded, err := Encode(answer(body))
		require.NoError(t, err)
		for name, reader := range map[string]io.Reader{"at once": bytes.NewReader(encoded), "a byte at a time": iotest.OneByteReader(bytes.NewReader(encoded))} {
			r := bufio.NewReader(reader)
			next, err := PeekNext(r, limit)
			require.NoError(t, err, name)
			require.EqualValues(t, len(encoded), next.PrefixBytes+next.Size)
			require.EqualValues(t, body, LargestField(next.Start))
			read := &wirepb.AnswerHead{}
			require.NoError(t, Read(r, read, limit))
			require.Len(t, read.GetBody(), body)
			_, err = PeekNext(r, limit)
			require.ErrorIs(t, err, io.EOF)
		}
	}
	for name, input := range map[string]string{
		"size beyond the limit": "\xff\xff\xff\xff\x0f", "size without end": strings.Repeat("\xff", 20), "cut size": "\xff", "cut message": "\x05ab",
	} {
		_, err := PeekNext(bufio.NewReader(strings.NewReader(input)), limit)
		var readError *ReadError
		require.ErrorAs(t, err, &readError, name)
	}
	for _, message := range []string{"", "\xff", "\x0a", "\x0a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x0f", strings.Repeat("\xff", 20)} {
		require.LessOrEqual(t, LargestField([]byte(message)), int64(len(message)), "%q", message)
	}
}
