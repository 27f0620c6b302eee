package local

import (
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// coldness says whether an upstream is in a cold start. An upstream is registered by an announcement, so that the newest announcement
// always decides, unless something has happened since that may have made the upstream cold.
type coldness struct {
	// until is when the cold start ends according to the newest announcement. One that was delayed gives too late a time, so that the
	// limit ends late rather than early.
	until time.Time
	// assumed says that the upstream counts as cold until an announcement that arrives at reportsFrom or later says otherwise.
	assumed     bool
	reportsFrom time.Time
}

// report applies an announcement that is newer than all earlier ones. An upstream that announces no cold start has none.
func (c *coldness) report(a *wirepb.Announcement, now time.Time) {
	c.until = now.Add(max(0, a.GetColdLeft().AsDuration()))
	c.assumed = c.assumed && now.Before(c.reportsFrom)
}

// assume makes the upstream count as cold until an announcement that arrives at a time or later says otherwise.
func (c *coldness) assume(reportsFrom time.Time) { c.assumed, c.reportsFrom = true, reportsFrom }

func (c *coldness) isCold(now time.Time) bool { return c.assumed || now.Before(c.until) }

// coldLimit returns the limit of an upstream's cold start; an upstream whose service declares none never counts as cold. During an
// evacuation, callers' nodes are told that the upstreams are cold, as they will be at its end.
func (r *Registry) coldLimit(u *upstream) admit.ColdLimit {
	perSecond := r.cfg.ColdLimit(u.service)
	return admit.ColdLimit{PerSecond: perSecond, Cold: perSecond > 0 && (r.evacuated || u.coldness.isCold(r.cfg.Now()))}
}

// updateEvacuated looks whether the node's data centre is evacuated. When an evacuation ends, the upstreams count as cold until they
// announce otherwise; announcements from before the end may still arrive for a while.
func (r *Registry) updateEvacuated() {
	evacuated := r.cfg.Evacuated()
	if r.evacuated && !evacuated {
		for _, u := range r.upstreams {
			u.coldness.assume(r.cfg.Now().Add(r.cfg.AnnounceInterval))
		}
	}
	r.evacuated = evacuated
}

// refuseEvacuated refuses a call if the node's data centre is evacuated; otherwise it returns nil.
func (r *Registry) refuseEvacuated(head *wirepb.CallHead) *wirepb.AnswerHead {
	r.mu.Lock()
	r.updateEvacuated()
	evacuated := r.evacuated
	r.mu.Unlock()
	if !evacuated {
		return nil
	}
	r.EvacuationRefusals.Add(1)
	return notRunAnswer(head, wirepb.Refusal_REFUSAL_EVACUATED)
}

func (r *Registry) currentColdLimit(u *upstream) admit.ColdLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldLimit(u)
}

// assumeCold makes an upstream count as cold at whose address nothing listened: its process has ended, and the next one will be cold
// before it is announced. Announcements of the ended process may still arrive for a while.
func (r *Registry) assumeCold(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.coldness.assume(r.cfg.Now().Add(r.cfg.AnnounceInterval))
}

// coldnessChanged reports whether the callers' nodes were told otherwise of an upstream's cold start than it is now.
func (r *Registry) coldnessChanged() bool {
	for _, u := range r.upstreams {
		if !u.leaving && u.published != r.coldLimit(u).Cold {
			return true
		}
	}
	return false
}

// publishColdness updates what the callers' nodes are told of an upstream's cold start.
func (r *Registry) publishColdness(u *upstream) {
	limit := r.coldLimit(u)
	if limit.Cold == u.published {
		return
	}
	u.published = limit.Cold
	r.cfg.Logger.Info("cold start of upstream changed", zap.String("service", u.service), zap.String("upstream", u.id), zap.Bool("cold", limit.Cold),
		zap.Float64("per_second", limit.PerSecond), zap.Duration("cold_left", max(0, u.coldness.until.Sub(r.cfg.Now()))), zap.Bool("assumed", u.coldness.assumed))
}

// ColdUpstreams returns the number of upstreams that are in a cold start which their service limits.
func (r *Registry) ColdUpstreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, u := range r.upstreams {
		if !u.leaving && r.coldLimit(u).Cold {
			count++
		}
	}
	return count
}
