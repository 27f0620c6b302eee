package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	keyPrefix        = "claim/"
	dayFormat        = "20060102"
	day              = 24 * time.Hour
	releaseTimeout   = time.Second
	maxTransactTries = 3
	// retentionDays is the number of days before the current one whose keys are kept.
	retentionDays   = 2
	deleteBatchSize = 100
)

// DuplicateError is returned for a key that is already recorded, so that its call may have run.
type DuplicateError struct{}

func (e *DuplicateError) Error() string {
	return "this idempotency key was used before: the earlier call may have run"
}

// UnrecordedError is returned when a key is not known to be recorded; the call has not run.
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
	// Logger logs keys that are written again; nil means that nothing is logged.
	Logger *zap.Logger
}

// Registry records idempotency keys and recognises them for one to two days.
type Registry struct {
	cfg    Config
	recent recentClaims
}

// New returns a registry, which writes its newest keys again when the store comes back from an older copy.
func New(cfg Config) *Registry {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	r := &Registry{cfg: cfg, recent: recentClaims{claims: map[string]recentClaim{}}}
	cfg.Store.OnEra(r.enterEra)
	return r
}

// Claim is a recorded key.
type Claim struct {
	registry    *Registry
	key         string
	operationID string
}

// Acquire records an idempotency key of a route for an operation, or returns *DuplicateError or *UnrecordedError.
func (r *Registry) Acquire(ctx context.Context, team, route, key, operationID string) (*Claim, error) {
	now := r.cfg.Now().UTC()
	keyHash := hashParts(team, route, key)
	c := &Claim{registry: r, key: rowKey(now, keyHash), operationID: operationID}
	value, err := proto.Marshal(&wirepb.Claim{OperationId: operationID, Time: timestamppb.New(now)})
	if err != nil {
		return nil, &UnrecordedError{Cause: err}
	}
	// The days before and after are checked too, since the clocks of nodes differ and a day may just have ended.
	transaction := &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: c.key}, {Key: rowKey(now.Add(-day), keyHash)}, {Key: rowKey(now.Add(day), keyHash)}},
		Puts:       []*wirepb.Row{{Key: c.key, Value: value}},
	}
	if err := r.checkEra(); err != nil {
		return c, &UnrecordedError{Cause: err}
	}
	if err := r.recordKey(ctx, c, transaction); err != nil {
		return c, err
	}
	// The store may have come back from an older copy meanwhile, without the key of a call that has run elsewhere.
	if err := r.checkEra(); err != nil {
		go c.Release()
		return c, &UnrecordedError{Cause: err}
	}
	r.remember(c.key, value, now)
	return c, nil
}

// recordKey runs the transaction that records a key, and repeats it while its outcome is unknown. If its conditions then
// fail, the operation id in the row tells whether an earlier try succeeded.
func (r *Registry) recordKey(ctx context.Context, c *Claim, transaction *wirepb.Transaction) error {
	var cause error
	unknownOutcome := false
	for range maxTransactTries {
		recorded, err := r.cfg.Store.Transact(ctx, transaction)
		var unknown *store.UnknownOutcomeError
		switch {
		case err == nil && recorded:
			return nil
		case err == nil && !unknownOutcome:
			return &DuplicateError{}
		case err == nil:
			return r.resolveUnknown(ctx, c)
		case !errors.As(err, &unknown) && !unknownOutcome:
			return &UnrecordedError{Cause: err}
		}
		unknownOutcome, cause = true, err
	}
	return &UnrecordedError{Cause: cause}
}

func (r *Registry) resolveUnknown(ctx context.Context, c *Claim) error {
	row, err := r.cfg.Store.Row(ctx, c.key)
	if err != nil {
		return &UnrecordedError{Cause: err}
	}
	stored := &wirepb.Claim{}
	if err := proto.Unmarshal(row.GetValue(), stored); err != nil || stored.GetOperationId() != c.operationID {
		return &DuplicateError{}
	}
	return nil
}

// Release deletes the key of a call that has certainly not run, so that the caller can send the call again.
func (c *Claim) Release() {
	c.registry.forget(c.key)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	row, err := c.registry.cfg.Store.Row(ctx, c.key)
	if err != nil || row == nil {
		return
	}
	// A failure is safe: while the key stays recorded, a repeated call is treated as a duplicate.
	_, _ = c.registry.cfg.Store.Transact(ctx, &wirepb.Transaction{
		Conditions: []*wirepb.Condition{{Key: c.key, Version: row.GetVersion()}},
		Deletes:    []string{c.key},
	})
}

// DeleteExpired deletes up to deleteBatchSize keys whose retention has ended and reports whether more may be left.
func (r *Registry) DeleteExpired(ctx context.Context) (bool, error) {
	oldest := keyPrefix + r.cfg.Now().UTC().Add(-retentionDays*day).Format(dayFormat)
	rows, err := r.cfg.Store.Range(ctx, keyPrefix, "", deleteBatchSize)
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
	_, err = r.cfg.Store.Transact(ctx, &wirepb.Transaction{Deletes: keys})
	return len(keys) == deleteBatchSize, err
}

func rowKey(at time.Time, keyHash string) string {
	return keyPrefix + at.Format(dayFormat) + "/" + keyHash
}

func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
