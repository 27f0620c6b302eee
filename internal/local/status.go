package local

import (
	"sort"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Status describes all local upstreams.
func (r *Registry) Status() []*wirepb.UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*wirepb.UpstreamStatus, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		list = append(list, &wirepb.UpstreamStatus{
			Service: u.service, Version: u.version, Address: u.address.String(),
			Slots: u.slots, InFlight: uint32(u.limiter.Running()), Leaving: u.leaving, Limit: u.limit(),
			Cold: r.coldLimit(u).Cold,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// limit returns the limit of an upstream, or nil if it has named none.
func (u *upstream) limit() *float64 {
	perSecond, limited := u.pacer.Limit()
	if !limited {
		return nil
	}
	return &perSecond
}
