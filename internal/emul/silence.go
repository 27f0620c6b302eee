package emul

import (
	"io"
	"net/http"
)

// injectSilence leaves requests that arrive or are being carried out while the platform is silent without a response.
func (p *Platform) injectSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		before, silent := p.silence()
		if silent {
			withhold(r)
		}
		next.ServeHTTP(&silenceableWriter{ResponseWriter: w, beforeWrite: func() {
			if now, _ := p.silence(); now != before {
				withhold(r)
			}
		}}, r)
	})
}

// withhold waits until the client gives up a request and ends it without a response.
func withhold(r *http.Request) {
	// The server notices a closed connection only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// silence returns how often the platform has fallen silent and whether it is silent.
func (p *Platform) silence() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silences, p.faults.Silent
}

// silenceableWriter is a response that may be withheld before it is written.
type silenceableWriter struct {
	http.ResponseWriter

	beforeWrite func()
}

// WriteHeader implements http.ResponseWriter.
func (w *silenceableWriter) WriteHeader(status int) {
	w.beforeWrite()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *silenceableWriter) Write(data []byte) (int, error) {
	w.beforeWrite()
	return w.ResponseWriter.Write(data)
}
