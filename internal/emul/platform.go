package emul

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// PlatformFaults describes the faults that a Platform injects.
type PlatformFaults struct {
	// Down makes every operation fail with status 503.
	Down bool `json:"down"`
	// Silent makes every operation that arrives or is being carried out go unanswered for good, while its connection stays open.
	Silent bool `json:"silent"`
	// Delay is added to each operation.
	Delay time.Duration `json:"delay"`
	// ResponseLossRate is the share of writes, 0 to 1, that take effect but get no response.
	ResponseLossRate float64 `json:"lose_answers"`
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// WritesPerSecond and ReadsPerSecond limit the rates; operations above them fail with status 503; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PartTransactionsPerSecond is the rate at which each part carries out its transactions, one after another; when more than a second
	// of them waits, further ones fail with status 429. Zero means no limit.
	PartTransactionsPerSecond float64
	Seed                      uint64
	// NamesEra makes all responses name the store's era, which starts at Era.
	NamesEra bool
	Era      uint64
}

// Platform emulates the platform's transactional table and object store.
type Platform struct {
	mu      sync.Mutex
	rows    map[rowKey]*wirepb.Row
	objects map[string][]byte
	// version is the version of the last transaction.
	version uint64
	// expiredVersion is the version up to which the history has expired.
	expiredVersion uint64
	// changed is closed and replaced whenever rows change or the history expires.
	changed chan struct{}
	faults  PlatformFaults
	// silences is the number of times that the platform has fallen silent.
	silences int
	random   *rand.Rand
	reads    uint64
	writes   uint64
	// era increases with each return from a copy; namesEra says that responses name it.
	era      uint64
	namesEra bool

	readLimit  *rate.Limiter
	writeLimit *rate.Limiter

	partsMu sync.Mutex
	// partRate is the number of transactions a second of a part, or 0 for no limit; partFreeAt holds when each part will have carried
	// out those that wait.
	partRate   float64
	partFreeAt map[string]time.Time
}

// maxPartQueue is the time that the transactions which wait for a part may take.
const maxPartQueue = time.Second

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		rows:       map[rowKey]*wirepb.Row{},
		changed:    make(chan struct{}),
		objects:    map[string][]byte{},
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		readLimit:  newLimiter(cfg.ReadsPerSecond),
		writeLimit: newLimiter(cfg.WritesPerSecond),
		partRate:   cfg.PartTransactionsPerSecond,
		partFreeAt: map[string]time.Time{},
		era:        cfg.Era,
		namesEra:   cfg.NamesEra,
	}
}

// admitTransaction waits for the turn of a transaction on a part, or returns false if too many wait.
func (p *Platform) admitTransaction(part string) bool {
	if p.partRate == 0 {
		return true
	}
	p.partsMu.Lock()
	now := time.Now()
	start := p.partFreeAt[part]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxPartQueue {
		p.partsMu.Unlock()
		return false
	}
	done := start.Add(time.Duration(float64(time.Second) / p.partRate))
	p.partFreeAt[part] = done
	p.partsMu.Unlock()
	time.Sleep(done.Sub(now))
	return true
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Silent && !p.faults.Silent {
		p.silences++
	}
	p.faults = faults
}

// OperationCounts returns the numbers of reads and writes so far, including failed ones.
func (p *Platform) OperationCounts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler serves the platform's protocol, with the faults and the operation counts under /control.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(p.nameEra)
	platform.RegisterStore(r.With(p.injectSilence), platform.StoreBackend{
		Admit: p.admitTransaction, Transact: p.transact, Rows: p.findRows, Feed: p.feed,
		PutObject: p.putObject, Object: p.getObject, DeleteObject: p.deleteObject,
		InjectReadFaults: p.injectReadFaults, InjectWriteFaults: p.injectWriteFaults,
	})
	r.Put("/control/faults", p.putFaults)
	r.Get("/control/operations", p.getOperations)
	return r
}

func (p *Platform) injectReadFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.countOperation(&p.reads)
		if faults.Down || !p.readLimit.Allow() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(faults.Delay)
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) injectWriteFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.countOperation(&p.writes)
		if faults.Down || !p.writeLimit.Allow() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(faults.Delay)
		if p.randomFloat() < faults.ResponseLossRate {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) countOperation(operations *uint64) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	*operations++
	return p.faults
}

func (p *Platform) randomFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// rowKey identifies a row among all tables.
type rowKey struct {
	table string
	part  string
	key   string
}

// transact applies a transaction on a part and reports whether its conditions held.
func (p *Platform) transact(part string, transaction *wirepb.Transaction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range transaction.GetConditions() {
		row, found := p.rows[rowKey{part: part, key: c.GetKey()}]
		current := uint64(0)
		if found && !row.GetDeleted() {
			current = row.GetVersion()
		}
		if current != c.GetVersion() {
			return false
		}
	}
	p.version++
	for _, row := range transaction.GetPuts() {
		p.rows[rowKey{table: row.GetTable(), part: part, key: row.GetKey()}] = &wirepb.Row{
			Table: row.GetTable(), Key: row.GetKey(), Value: row.GetValue(), Version: p.version,
		}
	}
	for _, key := range transaction.GetDeletes() {
		p.rows[rowKey{part: part, key: key}] = &wirepb.Row{Key: key, Version: p.version, Deleted: true}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return true
}

// PutRow writes one row of any table without conditions, as an operator does.
func (p *Platform) PutRow(table, key string, value []byte) {
	p.transact("", &wirepb.Transaction{Puts: []*wirepb.Row{{Table: table, Key: key, Value: value}}})
}

// DeleteRow deletes one row of any table without conditions, as an operator does.
func (p *Platform) DeleteRow(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[rowKey{table: table, key: key}] = &wirepb.Row{Table: table, Key: key, Version: p.version, Deleted: true}
	close(p.changed)
	p.changed = make(chan struct{})
}

// PutSystemRow writes one row of a part of the system's table.
func (p *Platform) PutSystemRow(part, key string, value []byte) {
	p.transact(part, &wirepb.Transaction{Puts: []*wirepb.Row{{Key: key, Value: value}}})
}

// Row returns one row of any table, or nil if there is none.
func (p *Platform) Row(table, key string) *wirepb.Row { return p.row(rowKey{table: table, key: key}) }

// SystemRow returns one row of a part of the system's table, or nil if there is none.
func (p *Platform) SystemRow(part, key string) *wirepb.Row {
	return p.row(rowKey{part: part, key: key})
}

func (p *Platform) row(name rowKey) *wirepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[name]
	if row.GetDeleted() {
		return nil
	}
	return row
}

// ExpireHistory makes every feed with an older cursor start again.
func (p *Platform) ExpireHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiredVersion = p.version
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) findRows(table, part, from, to string, limit int) platform.Rows {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.sortedRows(func(name rowKey, row *wirepb.Row) bool {
		return name.table == table && name.part == part && !row.GetDeleted() && name.key >= from && (to == "" || name.key < to)
	}, func(a, b *wirepb.Row) bool { return a.GetKey() < b.GetKey() })
	size := min(len(rows), limit)
	return platform.Rows{Rows: rows[:size], Version: p.version, More: size < len(rows)}
}

func (p *Platform) sortedRows(wanted func(name rowKey, row *wirepb.Row) bool, less func(a, b *wirepb.Row) bool) []*wirepb.Row {
	var rows []*wirepb.Row
	for name, row := range p.rows {
		if wanted(name, row) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return less(rows[i], rows[j]) })
	return rows
}

func (p *Platform) feed(table string, after uint64, wait time.Duration, disconnected <-chan struct{}) (platform.Rows, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		rows := p.sortedRows(func(name rowKey, row *wirepb.Row) bool {
			return name.table == table && row.GetVersion() > after
		}, func(a, b *wirepb.Row) bool { return a.GetVersion() < b.GetVersion() })
		page, changed, retained := platform.Rows{Rows: rows, Version: p.version}, p.changed, after >= p.expiredVersion && after <= p.version
		p.mu.Unlock()
		if len(rows) > 0 || !retained {
			return page, retained
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, true
		case <-disconnected:
			return page, true
		}
	}
}

func (p *Platform) putObject(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = data
}

func (p *Platform) deleteObject(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
}

// ObjectNames returns the names of the stored objects.
func (p *Platform) ObjectNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.objects))
}

func (p *Platform) getObject(name string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, found := p.objects[name]
	return data, found
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) getOperations(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.OperationCounts()
	writeJSON(w, map[string]uint64{"reads": reads, "writes": writes})
}

// discardWriter discards the response of a handler that still takes effect.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header { return d.header }

func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }

func (d discardWriter) WriteHeader(int) {}
