package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	keyPrefix      = "claim/"
	dayFormat      = "20060102"
	day            = 24 * time.Hour
	releaseTimeout = time.Second
	resolveTries   = 3
	// keptDays is the number of days, besides the current one, for which keys are kept.
	keptDays  = 2
	trimBatch = 100
)

// DuplicateError says that a key was used before, so that its call may have run already.
type DuplicateError struct{}

func (e *DuplicateError) Error() string {
	return "this idempotency key was used before: the earlier call may have run"
}

// UnrecordedError says that a key could not be recorded; the call has not run.
type UnrecordedError struct {
	Cause error
}

func (e *UnrecordedError) Error() string {
	return fmt.Sprintf("idempotency key could not be recorded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnrecordedError) Unwrap() error { return e.Cause }

// Config configures a Registry.
type Config struct {
	Store *store.Client
	Now   func() time.Time
}

// Registry records keys for one to two days.
type Registry struct {
	cfg Config
}

// New returns a registry.
func New(cfg Config) *Registry { return &Registry{cfg: cfg} }

// Claim is a recorded key.
type Claim struct {
	book      *Registry
	key       string
	operation string
}

// Acquire records a key of a route for an operation; it returns *DuplicateError or *UnrecordedError.
func (b *Registry) Acquire(ctx context.Context, team, route, key, operation string) (*Claim, error) {
	now := b.cfg.Now().UTC()
	name := hash(team, route, key)
	c := &Claim{book: b, key: rowKey(now, name), operation: operation}
	value, err := proto.Marshal(&wirepb.Claim{OperationId: operation, Time: timestamppb.New(now)})
	if err != nil {
		return nil, &UnrecordedError{Cause: err}
	}
	// The neighbouring days are checked too, since clocks of nodes differ and a day may just have ended.
	transaction := &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: c.key}, {Key: rowKey(now.Add(-day), name)}, {Key: rowKey(now.Add(day), name)}},
		Puts:       []*wirepb.Row{{Key: c.key, Value: value}},
	}
	return c, b.write(ctx, c, transaction)
}

// write resolves lost answers by the operation in the row.
func (b *Registry) write(ctx context.Context, c *Claim, transaction *wirepb.Transaction) error {
	var cause error
	lost := false
	for range resolveTries {
		taken, err := b.cfg.Store.Transact(ctx, transaction)
		var unknown *store.UnknownError
		switch {
		case err == nil && taken:
			return nil
		case err == nil && !lost:
			return &DuplicateError{}
		case err == nil:
			return b.resolve(ctx, c)
		case !errors.As(err, &unknown) && !lost:
			return &UnrecordedError{Cause: err}
		}
		lost, cause = true, err
	}
	return &UnrecordedError{Cause: cause}
}

func (b *Registry) resolve(ctx context.Context, c *Claim) error {
	row, err := b.cfg.Store.Row(ctx, c.key)
	if err != nil {
		return &UnrecordedError{Cause: err}
	}
	stored := &wirepb.Claim{}
	if err := proto.Unmarshal(row.GetValue(), stored); err != nil || stored.GetOperationId() != c.operation {
		return &DuplicateError{}
	}
	return nil
}

// Release frees the key of a call that has certainly not run, so that the caller can send it again.
func (c *Claim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	row, err := c.book.cfg.Store.Row(ctx, c.key)
	if err != nil || row == nil {
		return
	}
	// A key that stays recorded is safe: a repeated call is answered as a duplicate.
	_, _ = c.book.cfg.Store.Transact(ctx, &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: c.key, Version: row.GetVersion()}},
		Deletes:    []string{c.key},
	})
}

// DeleteExpired deletes some keys that are older than the kept days and reports whether more are left.
func (b *Registry) DeleteExpired(ctx context.Context) (bool, error) {
	oldest := keyPrefix + b.cfg.Now().UTC().Add(-keptDays*day).Format(dayFormat)
	rows, err := b.cfg.Store.Range(ctx, keyPrefix, "", trimBatch)
	if err != nil {
		return false, err
	}
	var keys []string
	for _, row := range rows {
		if row.GetKey() < oldest {
			keys = append(keys, row.GetKey())
		}
	}
	if len(keys) == 0 {
		return false, nil
	}
	_, err = b.cfg.Store.Transact(ctx, &wirepb.Transaction{Deletes: keys})
	return len(keys) == trimBatch, err
}

func rowKey(at time.Time, name string) string { return keyPrefix + at.Format(dayFormat) + "/" + name }

func hash(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
