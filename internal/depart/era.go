package depart

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// recentDuration is how long departures are remembered; a store that comes back from an older copy lost those of some seconds.
	recentDuration = time.Minute
	// rewriteDelay spreads the nodes.
	rewriteDelay   = time.Second
	rewriteTimeout = 2 * time.Second
	// maxRewritten is the number of rows of one transaction.
	maxRewritten = 100
)

// recentDeparture is a row that this node wrote, and when.
type recentDeparture struct {
	row *wirepb.Row
	at  time.Time
}

// HasRecent reports whether this node recorded departures lately that it would have to write again.
func (l *Ledger) HasRecent() bool { return len(l.recentRows()) > 0 }

func (l *Ledger) remember(row *wirepb.Row) {
	if !l.cfg.Store.NamesEra() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	for key, r := range l.recent {
		if now.Sub(r.at) > recentDuration {
			delete(l.recent, key)
		}
	}
	l.recent[row.GetKey()] = &recentDeparture{row: row, at: now}
}

// recentRows returns the rows that this node wrote lately.
func (l *Ledger) recentRows() []*wirepb.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var rows []*wirepb.Row
	for _, r := range l.recent {
		if now.Sub(r.at) <= recentDuration {
			rows = append(rows, r.row)
		}
	}
	return rows
}

// enterEra writes the newest departures again in a new era of the store.
func (l *Ledger) enterEra(era uint64) {
	if rows := l.recentRows(); len(rows) > 0 {
		go l.rewrite(era, rows)
	}
}

// rewrite writes rows again until it succeeds, they are no longer recent, or yet another era begins. Each departure has a row of its own, so
// that a row that exists is not changed.
func (l *Ledger) rewrite(era uint64, rows []*wirepb.Row) {
	time.Sleep(rand.N(rewriteDelay))
	part, total := l.cfg.Store.Part(partName(partOf(l.cfg.Node))), len(rows)
	for started := l.cfg.Now(); len(rows) > 0 && l.cfg.Now().Sub(started) < recentDuration && l.cfg.Store.Era() == era; {
		batch := rows[:min(len(rows), maxRewritten)]
		ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeout)
		_, err := part.Transact(ctx, &wirepb.Transaction{Puts: batch})
		cancel()
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		rows = rows[len(batch):]
	}
	l.cfg.Logger.Info("departures written again in a new era of the store", zap.Uint64("era", era), zap.Int("departures", total), zap.Int("left", len(rows)))
}
