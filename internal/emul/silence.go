package emul

import (
	"io"
	"net/http"
)

// injectSilence leaves requests that arrive or are being carried out while the platform is silent without a response.
func (p *Platform) injectSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		silences, silent := p.silence()
		sw := &silenceableWriter{ResponseWriter: w, withhold: func() {
			// The server notices a closed connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}}
		if silent {
			sw.withhold()
		}
		sw.isWithheld = func() bool {
			now, _ := p.silence()
			return now != silences
		}
		next.ServeHTTP(sw, r)
	})
}

// silence returns how often the platform has fallen silent and whether it is silent.
func (p *Platform) silence() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silences, p.faults.Silent
}

// silenceableWriter withholds a response if the platform has fallen silent since the request.
type silenceableWriter struct {
	http.ResponseWriter

	isWithheld func() bool
	withhold   func()
}

// WriteHeader implements http.ResponseWriter.
func (w *silenceableWriter) WriteHeader(status int) {
	if w.isWithheld() {
		w.withhold()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *silenceableWriter) Write(data []byte) (int, error) {
	if w.isWithheld() {
		w.withhold()
	}
	return w.ResponseWriter.Write(data)
}
