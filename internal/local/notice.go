package local

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// applyNotices applies what an upstream says of itself in the header of a response: how many calls a second it takes, and that it is
// leaving. A nil header says nothing.
func (r *Registry) applyNotices(u *upstream, header http.Header, started time.Time) {
	if header == nil {
		return
	}
	if perSecond, named, valid := parseLimit(header, u.headers.GetLimit()); valid && u.pacer.ObserveLimit(perSecond, named, started) {
		r.cfg.Logger.Info("upstream limit changed", zap.String("service", u.service), zap.String("upstream", u.id), zap.Bool("limited", named), zap.Float64("per_second", perSecond))
	}
	if name := u.headers.GetLeaving(); name != "" && header.Get(name) == "1" {
		if changed, departed := r.leave(u); changed {
			r.publish()
			go r.recordDeparture(departed)
		}
	}
}

// leave takes an upstream out of service that said in a response that it is leaving, and reports whether that is news.
func (r *Registry) leave(u *upstream) (changed bool, departed *wirepb.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.leaving {
		return false, nil
	}
	return true, r.depart(u, "response")
}

// parseLimit returns the limit in calls per second that a header names, if any; it is not valid if it cannot be read.
func parseLimit(header http.Header, name string) (perSecond float64, named, valid bool) {
	text := ""
	if name != "" {
		text = header.Get(name)
	}
	if text == "" {
		return 0, false, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) {
		return 0, false, false
	}
	return perSecond, true, true
}
