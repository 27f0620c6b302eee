package route

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a path or query that is passed on in another encoding than that of the caller.
func TestRequestTarget(t *testing.T) {
	tests := []struct{ sent, target, path string }{
		{"/a|b%7C?c|d", "/a|b%7C?c|d", "/a|b%7C"},
		{"//a/b", "//a/b", "//a/b"},
		{"http://h.example/a|b?c|d", "/a|b?c|d", "/a|b"},
		{"http://h.example//a?u=http://x/", "//a?u=http://x/", "//a"},
		{"http://h.example?c|d", "/?c|d", "/"},
		{"http://h.example", "/", "/"},
		{"*", "*", "*"},
	}
	for _, tt := range tests {
		t.Run(tt.sent, func(t *testing.T) {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("OPTIONS " + tt.sent + " HTTP/1.1\r\nHost: h.example\r\n\r\n")))
			require.NoError(t, err)
			require.Equal(t, tt.target, requestTarget(r))
			require.Equal(t, tt.path, requestPath(r))
		})
	}
}
