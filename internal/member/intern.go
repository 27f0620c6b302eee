package member

import "github.com/turmericdale/turmericdale/pkg/wirepb"

// maxInterned bounds the number of strings in a pool.
const maxInterned = 50_000

// internPool lets records share the memory of equal strings, such as the names of services.
type internPool struct {
	strings map[string]string
}

func newInternPool() *internPool { return &internPool{strings: map[string]string{}} }

func (p *internPool) internRecord(record *wirepb.MemberRecord) {
	record.Region, record.DataCentre = p.intern(record.GetRegion()), p.intern(record.GetDataCentre())
	for i, r := range record.GetParents() {
		record.Parents[i] = p.intern(r)
	}
	for _, u := range record.GetUpstreams() {
		u.Service, u.Version = p.intern(u.GetService()), p.intern(u.GetVersion())
	}
}

// intern returns the shared copy of a string, which is the string itself if it is new.
func (p *internPool) intern(text string) string {
	if shared, found := p.strings[text]; found {
		return shared
	}
	if len(p.strings) < maxInterned {
		p.strings[text] = text
	}
	return text
}

// clearIfFull empties a full pool to drop the strings that no record carries any more; the others are added again with
// new records.
func (p *internPool) clearIfFull() {
	if len(p.strings) >= maxInterned {
		clear(p.strings)
	}
}
