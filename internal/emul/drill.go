package emul

import (
	"bytes"
	"maps"
	"net/http"
	"sort"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// StoreCopy is the contents of a Platform at one moment.
type StoreCopy struct {
	rows    map[rowKey]*wirepb.Row
	objects map[string][]byte
	version uint64
}

// Copy takes a copy of the contents.
func (p *Platform) Copy() *StoreCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &StoreCopy{rows: maps.Clone(p.rows), objects: maps.Clone(p.objects), version: p.version}
}

// Restore replaces the contents by those of an earlier copy and starts a new era. Requests in progress get no response. It returns the
// rows of other tables than the system's that the copy lacks or holds in another version, which their author has to write again; those
// that the author had deleted are marked so.
func (p *Platform) Restore(from *StoreCopy) []*wirepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []*wirepb.Row
	for name, row := range p.rows {
		if name.table == platform.OperatorTable && row.GetVersion() > from.version {
			lost = append(lost, row)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].GetVersion() < lost[j].GetVersion() })
	p.rows, p.objects, p.version = maps.Clone(from.rows), maps.Clone(from.objects), from.version
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
	return lost
}

// Rewrite writes rows that a Restore lost, as their author does.
func (p *Platform) Rewrite(lost []*wirepb.Row) {
	for _, r := range lost {
		if r.GetDeleted() {
			p.DeleteRow(r.GetTable(), r.GetKey())
		} else {
			p.PutRow(r.GetTable(), r.GetKey(), r.GetValue())
		}
	}
}

// Era returns the era and whether responses name it.
func (p *Platform) Era() (era uint64, named bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era, p.namesEra
}

// nameEra names the era in all responses. A request during which the era changes gets no response, although it may have taken effect.
func (p *Platform) nameEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		era, named := p.Era()
		if !named {
			next.ServeHTTP(w, r)
			return
		}
		response := &eraWriter{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(response, r)
		if now, _ := p.Era(); now != era {
			panic(http.ErrAbortHandler)
		}
		platform.SetStoreEra(w.Header(), era)
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes())
	})
}

// eraWriter keeps a response until the era at its end is known.
type eraWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *eraWriter) Header() http.Header { return w.header }

func (w *eraWriter) Write(data []byte) (int, error) { return w.body.Write(data) }

func (w *eraWriter) WriteHeader(status int) { w.status = status }
