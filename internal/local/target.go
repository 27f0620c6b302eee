package local

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// checkTarget returns *TargetError if a target cannot be sent unchanged as part of a request line.
func checkTarget(target string) error {
	forbidden := func(r rune) bool { return r <= ' ' || r == 0x7f }
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, forbidden) {
		return &TargetError{Target: target}
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return &TargetError{Target: target}
	}
	return nil
}

// writeRequest writes a request for the path / with RequestURI, if it is set, byte for byte as its target: Request.Write would escape
// some characters of a path.
func writeRequest(w io.Writer, request *http.Request) error {
	if request.RequestURI == "" {
		return request.Write(w)
	}
	return request.Write(&targetWriter{writer: w, placeholder: []byte(request.Method + " / "), replacement: []byte(request.Method + " " + request.RequestURI + " ")})
}

// targetWriter replaces the beginning of what is written. The placeholder must be within the first write.
type targetWriter struct {
	writer      io.Writer
	placeholder []byte
	replacement []byte
	replaced    bool
}

// Write implements io.Writer.
func (t *targetWriter) Write(data []byte) (int, error) {
	if t.replaced {
		return t.writer.Write(data)
	}
	rest, found := bytes.CutPrefix(data, t.placeholder)
	if !found {
		return 0, errors.Wrap(io.ErrShortWrite, "replace the target of a request")
	}
	t.replaced = true
	if _, err := t.writer.Write(append(t.replacement, rest...)); err != nil {
		return 0, err
	}
	return len(data), nil
}
