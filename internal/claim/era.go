package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// recentDuration is how long keys are remembered; a store that comes back from an older copy lost those of some seconds.
	recentDuration = time.Minute
	// holdDuration is how long after a node learned of a new era of the store no call runs under a key: the nodes need it to learn of the
	// era and to write their keys again.
	holdDuration = 5 * time.Second
	// rewriteDelay spreads the nodes, rewriteInterval is the pause between two tries and rewriteTimeout how long one may take.
	rewriteDelay    = 300 * time.Millisecond
	rewriteInterval = 250 * time.Millisecond
	rewriteTimeout  = 2 * time.Second
	// rewriteBatchSize is the number of keys of one transaction, each of which takes a condition and a row.
	rewriteBatchSize = 50
	// pruneInterval is the number of keys after which expired ones are forgotten.
	pruneInterval = 64
)

// EraHoldError says that the store came back from an older copy a moment ago, so that the keys of calls which have run may be missing.
type EraHoldError struct {
	Era uint64
}

func (e *EraHoldError) Error() string {
	return fmt.Sprintf("the store came back from an older copy (era %d): keys are being written again", e.Era)
}

// recentClaim is a key that this node recorded.
type recentClaim struct {
	value []byte
	at    time.Time
}

// recentClaims holds the keys that this node recorded lately.
type recentClaims struct {
	mu     sync.Mutex
	claims map[string]recentClaim
	added  int
	// era is the store's era that this node learned of at eraAt.
	era   uint64
	eraAt time.Time
}

// HasRecent reports whether this node recorded keys lately that it would have to write again.
func (r *Registry) HasRecent() bool { return len(r.recentKeys()) > 0 }

func (r *Registry) remember(key string, value []byte, at time.Time) {
	if !r.cfg.Store.NamesEra() {
		return
	}
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	r.recent.claims[key] = recentClaim{value: value, at: at}
	if r.recent.added++; r.recent.added%pruneInterval == 0 {
		for k, c := range r.recent.claims {
			if at.Sub(c.at) > recentDuration {
				delete(r.recent.claims, k)
			}
		}
	}
}

func (r *Registry) forget(key string) {
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	delete(r.recent.claims, key)
}

// recentKeys returns the rows of the keys that this node recorded lately.
func (r *Registry) recentKeys() []*wirepb.Row {
	now := r.cfg.Now().UTC()
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	var rows []*wirepb.Row
	for key, c := range r.recent.claims {
		if now.Sub(c.at) <= recentDuration {
			rows = append(rows, &wirepb.Row{Key: key, Value: c.value})
		}
	}
	return rows
}

// checkEra returns *EraHoldError while keys may be missing.
func (r *Registry) checkEra() error {
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	if r.recent.era > 0 && r.cfg.Now().Sub(r.recent.eraAt) < holdDuration {
		return &EraHoldError{Era: r.recent.era}
	}
	return nil
}

// enterEra writes the newest keys again in a new era of the store.
func (r *Registry) enterEra(era uint64) {
	r.recent.mu.Lock()
	r.recent.era, r.recent.eraAt = era, r.cfg.Now()
	r.recent.mu.Unlock()
	if rows := r.recentKeys(); len(rows) > 0 {
		go r.rewrite(era, rows)
	}
}

// rewrite writes keys again unless they exist, until all are written, they are no longer recent, or yet another era begins.
func (r *Registry) rewrite(era uint64, rows []*wirepb.Row) {
	time.Sleep(rand.N(rewriteDelay))
	total := len(rows)
	for started := r.cfg.Now(); len(rows) > 0 && r.cfg.Now().Sub(started) < recentDuration && r.cfg.Store.Era() == era; {
		batch := rows[:min(len(rows), rewriteBatchSize)]
		if err := r.rewriteBatch(era, batch); err != nil {
			time.Sleep(rewriteInterval)
			continue
		}
		rows = rows[len(batch):]
	}
	r.cfg.Logger.Info("idempotency keys written again in a new era of the store", zap.Uint64("era", era), zap.Int("keys", total), zap.Int("left", len(rows)))
}

// rewriteBatch writes keys that do not exist. If one exists, it halves the batch, since a transaction writes all or nothing.
func (r *Registry) rewriteBatch(era uint64, rows []*wirepb.Row) error {
	ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeout)
	defer cancel()
	transaction := &wirepb.Transaction{Puts: slices.Clone(rows)}
	for _, row := range rows {
		transaction.Conditions = append(transaction.Conditions, &wirepb.Condition{Key: row.GetKey()})
	}
	written, err := r.cfg.Store.TransactIn(ctx, era, transaction)
	if err != nil || written || len(rows) == 1 {
		return err
	}
	half := len(rows) / 2
	if err := r.rewriteBatch(era, rows[:half]); err != nil {
		return err
	}
	return r.rewriteBatch(era, rows[half:])
}
