package emul

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	maxUpstreamBody  = 16 << 20
	padBytes         = 512
	loadLag          = 3 * time.Second
)

// HeaderRequestID carries the caller's own id of a request.
const HeaderRequestID = "X-Request-Id"

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	Service     string
	Version     string
	Address     netip.AddrPort
	NodeAddress netip.AddrPort
	// AnnouncedAddress is the address that the upstream tells; zero means its own.
	AnnouncedAddress netip.AddrPort
	Slots            int
	Connections      int
	// ServiceTime is the mean time of a call.
	ServiceTime time.Duration
	// ColdStartDuration is the time from the first call in which calls take ColdDelay longer.
	ColdStartDuration time.Duration
	ColdStartDelay    time.Duration
	Fault             Fault
	// SkipDeregistration leaves out the announcement of the leave and goes on serving for a while.
	SkipDeregistration bool
}

// ResponseBody is the body of an upstream's answer.
type ResponseBody struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	RequestID string `json:"request_id"`
	// Digest is the SHA-256 of the request's id and body.
	Digest  string `json:"digest"`
	Padding string `json:"pad"`
}

// ExecutionCounts is what an upstream executed.
type ExecutionCounts struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Calls       int64  `json:"calls"`
	FaultyCalls int64  `json:"faulty"`
	// FirstFaultMillis and LastCall are Unix times in milliseconds, or 0.
	FirstFaultMillis int64 `json:"first_fault_ms"`
	LastCallMillis   int64 `json:"last_call_ms"`
	// CallsAfterFault is the number of calls that arrived after the first faulty one was answered.
	CallsAfterFault int64 `json:"after_fault"`
	// CallsByRequestID counts the executions by the caller's id of the request.
	CallsByRequestID map[string]int `json:"requests,omitempty"`
	// CallsByKey counts the executions by idempotency key.
	CallsByKey map[string]int `json:"keys,omitempty"`
}

// Upstream is a stand-in for a back end.
type Upstream struct {
	cfg   UpstreamConfig
	crash context.CancelFunc
	// crashed ends with a crash.
	crashed context.Context

	mu      sync.Mutex
	running int64
	conns   int
	// reported is the load that /load shows since reportedAt.
	reported   int64
	reportedAt time.Time
	first      time.Time
	started    time.Time
	ledger     ExecutionCounts
}

// NewUpstream returns an upstream that is not yet serving.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, started: time.Now(), ledger: ExecutionCounts{
		Service: cfg.Service, Version: cfg.Version, CallsByRequestID: map[string]int{}, CallsByKey: map[string]int{},
	}}
	u.crashed, u.crash = context.WithCancel(context.Background())
	return u
}

// Run serves and announces itself until the context ends, then drains.
func (u *Upstream) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", u.cfg.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: u.Handler(), ReadHeaderTimeout: time.Second, ConnState: u.limitConnections}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	stop := context.AfterFunc(u.crashed, func() { _ = server.Close() })
	defer stop()
	u.announceUntil(ctx)
	if u.crashed.Err() == nil {
		u.drain()
	}
	return errors.Wrap(server.Close(), "close")
}

// limitConnections closes connections above the limit.
func (u *Upstream) limitConnections(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns++
		if u.conns > u.cfg.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		u.conns--
	}
}

// load answers with a load that is some seconds old, as real upstreams do.
func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Sub(u.reportedAt) > loadLag {
		u.reported, u.reportedAt = u.running, now
	}
	writeJSON(w, map[string]int64{"running": u.reported})
}

// Handler serves calls, /health and the ledger under /control.
func (u *Upstream) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/load", u.load)
	r.Get("/control/ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.ExecutionCounts()) })
	r.Put("/control/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if readJSON(w, r, &fault) {
			u.SetFault(fault)
		}
	})
	r.NotFound(u.call)
	r.MethodNotAllowed(u.call)
	return r
}

// SetFault replaces the fault.
func (u *Upstream) SetFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cfg.Fault = fault
}

// Crash ends the upstream at once, cutting its calls and without a word to its node.
func (u *Upstream) Crash() { u.crash() }

// ExecutionCounts returns what the upstream executed so far.
func (u *Upstream) ExecutionCounts() ExecutionCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	ledger := u.ledger
	ledger.CallsByRequestID, ledger.CallsByKey = maps.Clone(u.ledger.CallsByRequestID), maps.Clone(u.ledger.CallsByKey)
	return ledger
}

func (u *Upstream) announceUntil(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.announce(false)
		select {
		case <-ctx.Done():
			return
		case <-u.crashed.Done():
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) announce(leaving bool) {
	address := u.cfg.Address
	if u.cfg.AnnouncedAddress.IsValid() {
		address = u.cfg.AnnouncedAddress
	}
	body, err := protojson.Marshal(&wirepb.Announcement{
		Service: u.cfg.Service, Version: u.cfg.Version, Address: address.String(),
		Slots: uint32(u.cfg.Slots), Connections: uint32(u.cfg.Connections), Leaving: leaving,
		Uptime: durationpb.New(time.Since(u.started)),
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.cfg.NodeAddress.String()+"/v1/announcement", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// drain tells the node and waits for the calls that run.
func (u *Upstream) drain() {
	const drainTime, drainPoll = 5 * time.Second, 10 * time.Millisecond
	if !u.cfg.SkipDeregistration {
		u.announce(true)
	}
	for deadline := time.Now().Add(drainTime); time.Now().Before(deadline); time.Sleep(drainPoll) {
		u.mu.Lock()
		running := u.running
		u.mu.Unlock()
		if running == 0 && !u.cfg.SkipDeregistration {
			return
		}
	}
}

func (u *Upstream) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxUpstreamBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, cold, admitted := u.enter(r)
	defer u.leave(fault.Kind != FaultNone)
	if !admitted {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	wait := time.Duration(float64(u.cfg.ServiceTime) * (0.5 + rand.Float64()))
	if cold {
		wait += u.cfg.ColdStartDelay
	}
	if fault.Kind == FaultSlow {
		wait += fault.Delay
	}
	if fault.Kind == FaultHanging {
		<-r.Context().Done()
		return
	}
	rest(r.Context(), wait)
	u.answer(w, r, body, fault)
}

func rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// enter notes the execution of a call and returns the fault that it shows.
func (u *Upstream) enter(r *http.Request) (fault Fault, cold, admitted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.first.IsZero() {
		u.first = now
	}
	u.running++
	if u.running > int64(u.cfg.Slots) {
		return Fault{}, false, false
	}
	u.ledger.Calls++
	u.ledger.LastCallMillis = now.UnixMilli()
	if u.ledger.FirstFaultMillis > 0 {
		u.ledger.CallsAfterFault++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		u.ledger.CallsByRequestID[id]++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.ledger.CallsByKey[key]++
	}
	age := now.Sub(u.first)
	if u.cfg.Fault.shows(r.URL.Path, u.running, u.ledger.Calls, age) {
		u.ledger.FaultyCalls++
		fault = u.cfg.Fault
	}
	return fault, age < u.cfg.ColdStartDuration, true
}

func (u *Upstream) leave(faulty bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	if faulty && u.ledger.FirstFaultMillis == 0 {
		u.ledger.FirstFaultMillis = time.Now().UnixMilli()
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	if fault.Kind == FaultFailing {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(HeaderRequestID)
	data, err := json.Marshal(ResponseBody{
		Service: u.cfg.Service, Version: u.cfg.Version, RequestID: id,
		Digest: Digest(id, body), Padding: string(bytes.Repeat([]byte("x"), padBytes)),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if fault.Kind == FaultPartial {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// Digest returns the digest that the answer to a request must carry.
func Digest(requestID string, body []byte) string {
	sum := sha256.Sum256(append([]byte(requestID+"\n"), body...))
	return hex.EncodeToString(sum[:])
}
