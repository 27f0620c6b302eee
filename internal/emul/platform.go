package emul

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxTransactionBytes = 8 << 20
	maxObjectBytes      = 64 << 20
	defaultPageRows     = 1000
)

// PlatformFaults are the faults of a Platform in force.
type PlatformFaults struct {
	// Down refuses every operation.
	Down bool `json:"down"`
	// Delay is added to each operation.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the share of writes, 0 to 1, whose answer is cut after the write took effect.
	LoseAnswers float64 `json:"lose_answers"`
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// WritesPerSecond and ReadsPerSecond bound the capacity; zero means no bound.
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

// Platform is a stand-in for the platform's transactional table and object store.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]*wirepb.Row
	objects map[string][]byte
	version uint64
	faults  PlatformFaults
	random  *rand.Rand
	reads   uint64
	writes  uint64

	readLimit  *rate.Limiter
	writeLimit *rate.Limiter
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		rows:       map[string]*wirepb.Row{},
		objects:    map[string][]byte{},
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		readLimit:  newLimiter(cfg.ReadsPerSecond),
		writeLimit: newLimiter(cfg.WritesPerSecond),
	}
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
	p.faults = faults
}

// Operations returns the reads and writes served so far.
func (p *Platform) Operations() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler serves the platform's protocol and its control under /control.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.disturbWrites)
		r.Post("/table/transactions", p.transact)
		r.Put("/objects/*", p.putObject)
		r.Delete("/objects/*", p.deleteObject)
	})
	r.Group(func(r chi.Router) {
		r.Use(p.disturbReads)
		r.Get("/table/rows", p.listRows)
		r.Get("/objects/*", p.getObject)
	})
	r.Put("/control/faults", p.putFaults)
	r.Get("/control/operations", p.getOperations)
	return r
}

func (p *Platform) disturbReads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.count(&p.reads)
		if faults.Down || !p.readLimit.Allow() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(faults.Delay)
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) disturbWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.count(&p.writes)
		if faults.Down || !p.writeLimit.Allow() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(faults.Delay)
		if p.draw() < faults.LoseAnswers {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) count(operations *uint64) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	*operations++
	return p.faults
}

func (p *Platform) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	transaction := &wirepb.Transaction{}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTransactionBytes))
	if err == nil {
		err = protojson.Unmarshal(body, transaction)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeMessage(w, &wirepb.TransactionReply{Committed: p.commit(transaction)})
}

func (p *Platform) commit(transaction *wirepb.Transaction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range transaction.GetConditions() {
		if p.rows[c.GetKey()].GetVersion() != c.GetVersion() {
			return false
		}
	}
	for _, row := range transaction.GetPuts() {
		p.version++
		p.rows[row.GetKey()] = &wirepb.Row{Key: row.GetKey(), Value: row.GetValue(), Version: p.version}
	}
	for _, key := range transaction.GetDeletes() {
		delete(p.rows, key)
	}
	return true
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultPageRows
	}
	writeMessage(w, &wirepb.RowList{Rows: p.find(query.Get("prefix"), query.Get("after"), limit)})
}

func (p *Platform) find(prefix, after string, limit int) []*wirepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []*wirepb.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetKey() < rows[j].GetKey() })
	return rows[:min(len(rows), limit)]
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[chi.URLParam(r, "*")] = data
}

func (p *Platform) deleteObject(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, chi.URLParam(r, "*"))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, found := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) getOperations(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.Operations()
	writeJSON(w, map[string]uint64{"reads": reads, "writes": writes})
}

func writeMessage(w http.ResponseWriter, message proto.Message) {
	data, err := protojson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// discardWriter lets a handler take effect while its answer is lost.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header { return d.header }

func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }

func (d discardWriter) WriteHeader(int) {}
