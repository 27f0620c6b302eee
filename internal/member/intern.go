package member

import "github.com/turmericdale/turmericdale/pkg/wirepb"

const maxNames = 50_000

// names lets records share the memory of names that many of them carry.
type names struct {
	known map[string]string
}

func newNames() *names { return &names{known: map[string]string{}} }

func (n *names) share(record *wirepb.MemberRecord) {
	record.Region, record.DataCentre = n.one(record.GetRegion()), n.one(record.GetDataCentre())
	for i, p := range record.GetParents() {
		record.Parents[i] = n.one(p)
	}
	for _, u := range record.GetUpstreams() {
		u.Service, u.Version = n.one(u.GetService()), n.one(u.GetVersion())
	}
}

// one returns the copy of a name that all records share.
func (n *names) one(name string) string {
	if shared, found := n.known[name]; found {
		return shared
	}
	if len(n.known) < maxNames {
		n.known[name] = name
	}
	return name
}

// forget drops the names that no record carries any more along with the others, which come back with new records.
func (n *names) forget() {
	if len(n.known) >= maxNames {
		clear(n.known)
	}
}
