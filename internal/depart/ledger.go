package depart

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	keyPrefix = "departure/"
	// partCount is the number of parts of the platform's table over which the nodes are spread, so that many upstreams that leave at
	// once do not wait for each other, and nothing else waits for them.
	partCount = 256
	// retention is how long departures are kept. Announcements that a broken link held up arrive within it.
	retention = time.Hour
	// recordTimeout bounds how long the acknowledgement of a departure waits for its row. The upstream expects it within a second.
	recordTimeout = 400 * time.Millisecond
	// loadTimeout bounds how long the acknowledgement of an announcement waits for the rows.
	loadTimeout = 400 * time.Millisecond
	// retryInterval is the pause between two tries to write a row, and retryTimeout how long a row is tried.
	retryInterval       = 500 * time.Millisecond
	retryTimeout        = time.Minute
	maxLoadedDepartures = 500
	deletePageSize      = 100
	deletePageDelay     = time.Second
	deletePartDelay     = 10 * time.Millisecond
)

// Config configures a Ledger.
type Config struct {
	// Node is the name of the node, which it keeps when it restarts.
	Node   string
	Logger *zap.Logger
	Now    func() time.Time
	Store  *store.Client
}

// Ledger holds the departures of one node's upstreams in the platform's table.
type Ledger struct {
	cfg Config

	mu sync.Mutex
	// recent holds the departures that were recorded lately, by key.
	recent map[string]*recentDeparture
}

// New returns a ledger, which writes its newest departures again when the store comes back from an older copy.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, recent: map[string]*recentDeparture{}}
	cfg.Store.OnEra(l.enterEra)
	return l
}

// Record writes a departure. It returns when the row is written or after recordTimeout, and then goes on trying in the background.
func (l *Ledger) Record(departure *wirepb.Departure) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(departure)
	}()
	select {
	case <-written:
	case <-time.After(recordTimeout):
		l.cfg.Logger.Warn("departure of an upstream is not recorded yet", zap.String("id", departure.GetId()))
	}
}

func (l *Ledger) write(departure *wirepb.Departure) {
	value, err := proto.Marshal(departure)
	if err != nil {
		l.cfg.Logger.Error("could not encode the departure of an upstream", zap.String("id", departure.GetId()), zap.Error(err))
		return
	}
	// A row of its own for each departure: a write that the platform carries out late then replaces nothing newer.
	put := &wirepb.Transaction{Puts: []*wirepb.Row{{Key: l.key(departure), Value: value}}}
	part := l.cfg.Store.Part(partName(partOf(l.cfg.Node)))
	for started := l.cfg.Now(); ; {
		if _, err = part.Transact(context.Background(), put); err == nil {
			l.remember(put.GetPuts()[0])
			return
		}
		if l.cfg.Now().Sub(started) >= retryTimeout {
			l.cfg.Logger.Warn("could not record the departure of an upstream", zap.String("id", departure.GetId()), zap.Error(err))
			return
		}
		time.Sleep(retryInterval)
	}
}

// Load returns the departures of this node's upstreams; it returns *store.UnavailableError.
func (l *Ledger) Load() ([]*wirepb.Departure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	rows, err := l.cfg.Store.Part(partName(partOf(l.cfg.Node))).Range(ctx, l.prefix(), "", maxLoadedDepartures)
	if err != nil {
		return nil, err
	}
	var departures []*wirepb.Departure
	for _, row := range rows {
		departure := &wirepb.Departure{}
		if err := proto.Unmarshal(row.GetValue(), departure); err != nil {
			l.cfg.Logger.Warn("departure of an upstream cannot be read", zap.String("key", row.GetKey()), zap.Error(err))
			continue
		}
		departures = append(departures, departure)
	}
	return departures, nil
}

// partOf returns the number of the part that holds the departures of a node.
func partOf(node string) uint64 { return xxhash.Sum64String(node) % partCount }

func partName(part uint64) string { return keyPrefix + strconv.FormatUint(part, 10) }

func (l *Ledger) prefix() string { return keyPrefix + l.cfg.Node + "/" }

// key returns the key of a departure's row. It contains a hash, since an id may be longer than a key.
func (l *Ledger) key(departure *wirepb.Departure) string {
	started := departure.GetStarted().AsTime().UnixNano()
	hash := sha256.Sum256([]byte(departure.GetId() + "/" + strconv.FormatInt(started, 10)))
	return l.prefix() + hex.EncodeToString(hash[:16])
}

// DeleteExpired deletes the departures of all nodes that are older than the retention; it returns *store.UnavailableError.
func (l *Ledger) DeleteExpired(ctx context.Context) error {
	for n := range uint64(partCount) {
		if err := l.deleteExpired(ctx, l.cfg.Store.Part(partName(n))); err != nil {
			return err
		}
		sleep(ctx, deletePartDelay)
	}
	return ctx.Err()
}

func (l *Ledger) deleteExpired(ctx context.Context, part *store.Part) error {
	after := ""
	for ctx.Err() == nil {
		rows, err := part.Range(ctx, keyPrefix, after, deletePageSize)
		if err != nil {
			return err
		}
		if expired := l.expiredKeys(rows); len(expired) > 0 {
			if _, err := part.Transact(ctx, &wirepb.Transaction{Deletes: expired}); err != nil {
				return err
			}
		}
		if len(rows) < deletePageSize {
			return nil
		}
		after = rows[len(rows)-1].GetKey()
		sleep(ctx, deletePageDelay)
	}
	return ctx.Err()
}

func (l *Ledger) expiredKeys(rows []*wirepb.Row) []string {
	var keys []string
	for _, row := range rows {
		departure := &wirepb.Departure{}
		if err := proto.Unmarshal(row.GetValue(), departure); err != nil || l.cfg.Now().Sub(departure.GetTime().AsTime()) > retention {
			keys = append(keys, row.GetKey())
		}
	}
	return keys
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
