package local

import (
	"context"
	"time"
)

// RunExpiry deregisters silent upstreams until the context ends.
func (r *Registry) RunExpiry(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.expireSilent() {
				r.publish()
			}
		}
	}
}

func (r *Registry) expireSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateEvacuated()
	changed := r.coldnessChanged()
	for address, u := range r.upstreams {
		silence := r.cfg.Now().Sub(u.lastAnnounced)
		if !u.leaving && silence > r.silenceTimeout() {
			u.silent = true
			r.markLeaving(u, "silent")
			changed = true
		}
		if u.leaving && u.limiter.Running() == 0 && silence > 4*r.silenceTimeout() {
			u.close()
			delete(r.upstreams, address)
		}
	}
	return changed
}

func (r *Registry) silenceTimeout() time.Duration { return maxSilentIntervals * r.cfg.AnnounceInterval }

func (r *Registry) isSuspect(u *upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now().Sub(u.lastAnnounced) > time.Duration(suspectAfterIntervals*float64(r.cfg.AnnounceInterval))
}
