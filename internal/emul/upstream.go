package emul

import (
	"bytes"
	"cmp"
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
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	announceInterval    = time.Second
	announceTimeout     = 500 * time.Millisecond
	maxRequestBodyBytes = 16 << 20
	defaultPaddingBytes = 512
	loadReportInterval  = 3 * time.Second
)

// Headers of requests and responses.
const (
	// HeaderRequestID is the header with the caller's id of a request.
	HeaderRequestID = "X-Request-Id"
	// HeaderLimit and HeaderLeaving are the headers in which an upstream names its limit and says that it is leaving.
	HeaderLimit   = "X-Limit"
	HeaderLeaving = "X-Leaving"
)

// Notices are what an upstream says of itself in its responses.
type Notices struct {
	// Limit is the number of calls a second that it takes; zero means that it names none.
	Limit   float64
	Leaving bool
}

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	Service     string
	Version     string
	Address     netip.AddrPort
	NodeAddress netip.AddrPort
	// AnnouncedAddress is the address in the announcements; zero means Address.
	AnnouncedAddress netip.AddrPort
	// Slots is the number of calls that run at the same time; further ones fail with status 503.
	Slots       int
	Connections int
	// ServiceTime is the mean time of a call.
	ServiceTime time.Duration
	// ColdStartDuration is the time from the first call in which calls take ColdStartDelay longer.
	ColdStartDuration time.Duration
	ColdStartDelay    time.Duration
	// AnnouncedColdStart is the cold start that the upstream announces from its start on; zero means that it announces none.
	AnnouncedColdStart time.Duration
	Fault              Fault
	// PaddingBytes is the size of the padding of each response; zero means 512.
	PaddingBytes int
	// SkipDeregistration lets the upstream stop without announcing it; it still serves calls until the drain timeout.
	SkipDeregistration bool
}

// ResponseBody is the body of an upstream's response.
type ResponseBody struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	RequestID string `json:"request_id"`
	// Digest is the SHA-256 of the request's id and body.
	Digest  string `json:"digest"`
	Padding string `json:"pad"`
}

// ExecutionCounts counts the calls that an upstream executed.
type ExecutionCounts struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Calls   int64  `json:"calls"`
	// FaultyCalls is the number of calls with a fault.
	FaultyCalls int64 `json:"faulty"`
	// FirstFaultMillis and LastCallMillis are the Unix times of the end of the first faulty call and of the last arrival, or 0.
	FirstFaultMillis int64 `json:"first_fault_ms"`
	LastCallMillis   int64 `json:"last_call_ms"`
	// CallsAfterFault is the number of calls that arrived after the first faulty call ended.
	CallsAfterFault int64 `json:"after_fault"`
	// CallsByRequestID counts executions by the id in the header X-Request-Id.
	CallsByRequestID map[string]int `json:"requests,omitempty"`
	// CallsByKey counts executions by idempotency key.
	CallsByKey map[string]int `json:"keys,omitempty"`
}

// Upstream emulates one upstream of a service.
type Upstream struct {
	cfg   UpstreamConfig
	crash context.CancelFunc
	// crashed is cancelled by Crash.
	crashed context.Context

	mu           sync.Mutex
	runningCalls int64
	connections  int
	// reportedLoad is the number of running calls that /load returns since reportedAt.
	reportedLoad int64
	reportedAt   time.Time
	firstCallAt  time.Time
	startedAt    time.Time
	counts       ExecutionCounts
	notices      Notices
	// arrivals holds when calls arrived.
	arrivals []time.Time
}

// NewUpstream returns an upstream that is not yet serving.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, startedAt: time.Now(), counts: ExecutionCounts{
		Service: cfg.Service, Version: cfg.Version, CallsByRequestID: map[string]int{}, CallsByKey: map[string]int{},
	}}
	u.crashed, u.crash = context.WithCancel(context.Background())
	return u
}

// Run serves calls and announces the upstream until the context ends, then drains; a crash ends it at once.
func (u *Upstream) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", u.cfg.Address.String())
	if err != nil {
		return errors.Wrap(err, "start upstream server")
	}
	server := &http.Server{Handler: u.Handler(), ReadHeaderTimeout: time.Second, ConnState: u.limitConnections}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	stop := context.AfterFunc(u.crashed, func() { _ = server.Close() })
	defer stop()
	u.announceLoop(ctx)
	if u.crashed.Err() == nil {
		u.drain()
	}
	return errors.Wrap(server.Close(), "close upstream server")
}

// limitConnections closes connections above the limit.
func (u *Upstream) limitConnections(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.connections++
		if u.connections > u.cfg.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		u.connections--
	}
}

// getLoad returns a load that is up to loadReportInterval old, as real upstreams report it.
func (u *Upstream) getLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Sub(u.reportedAt) > loadReportInterval {
		u.reportedLoad, u.reportedAt = u.runningCalls, now
	}
	writeJSON(w, map[string]int64{"running": u.reportedLoad})
}

// Handler serves calls, /health, /load and, under /control, the execution counts and the fault.
func (u *Upstream) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/load", u.getLoad)
	r.Get("/control/ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.ExecutionCounts()) })
	r.Put("/control/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if readJSON(w, r, &fault) {
			u.SetFault(fault)
		}
	})
	r.NotFound(u.serveCall)
	r.MethodNotAllowed(u.serveCall)
	return r
}

// SetFault replaces the fault in force.
func (u *Upstream) SetFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cfg.Fault = fault
}

// SetNotices replaces what the upstream says of itself in its responses.
func (u *Upstream) SetNotices(notices Notices) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices = notices
}

// Arrivals returns when the calls so far arrived.
func (u *Upstream) Arrivals() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// setNoticeHeaders adds the notices to a response.
func (u *Upstream) setNoticeHeaders(header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notices.Limit > 0 {
		header.Set(HeaderLimit, strconv.FormatFloat(u.notices.Limit, 'f', -1, 64))
	}
	if u.notices.Leaving {
		header.Set(HeaderLeaving, "1")
	}
}

// Crash stops the upstream at once, without finishing its calls or announcing to its node that it leaves.
func (u *Upstream) Crash() { u.crash() }

// ExecutionCounts returns what the upstream executed so far.
func (u *Upstream) ExecutionCounts() ExecutionCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	counts.CallsByRequestID, counts.CallsByKey = maps.Clone(u.counts.CallsByRequestID), maps.Clone(u.counts.CallsByKey)
	return counts
}

func (u *Upstream) announceLoop(ctx context.Context) {
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
	announcement := &wirepb.Announcement{
		Service: u.cfg.Service, Version: u.cfg.Version, Address: address.String(),
		Slots: uint32(u.cfg.Slots), Connections: uint32(u.cfg.Connections), Leaving: leaving,
		Uptime: durationpb.New(time.Since(u.startedAt)),
	}
	if u.cfg.AnnouncedColdStart > 0 {
		announcement.ColdLeft = durationpb.New(max(0, u.cfg.AnnouncedColdStart-time.Since(u.startedAt)))
	}
	body, err := protojson.Marshal(announcement)
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

// drain announces that the upstream leaves and waits for its running calls; without the announcement it waits for the whole timeout.
func (u *Upstream) drain() {
	const drainTimeout, drainPollInterval = 5 * time.Second, 10 * time.Millisecond
	if !u.cfg.SkipDeregistration {
		u.announce(true)
	}
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		u.mu.Lock()
		running := u.runningCalls
		u.mu.Unlock()
		if running == 0 && !u.cfg.SkipDeregistration {
			return
		}
	}
}

func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, cold, admitted := u.beginCall(r)
	defer u.endCall(fault.Kind != FaultNone)
	u.setNoticeHeaders(w.Header())
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
	sleep(r.Context(), wait)
	u.writeResponse(w, r, body, fault)
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// beginCall counts a call and returns the fault that applies to it; a call without a free slot is not admitted.
func (u *Upstream) beginCall(r *http.Request) (fault Fault, cold, admitted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.arrivals = append(u.arrivals, now)
	if u.firstCallAt.IsZero() {
		u.firstCallAt = now
	}
	u.runningCalls++
	if u.runningCalls > int64(u.cfg.Slots) {
		return Fault{}, false, false
	}
	u.counts.Calls++
	u.counts.LastCallMillis = now.UnixMilli()
	if u.counts.FirstFaultMillis > 0 {
		u.counts.CallsAfterFault++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		u.counts.CallsByRequestID[id]++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.counts.CallsByKey[key]++
	}
	sinceFirstCall := now.Sub(u.firstCallAt)
	if u.cfg.Fault.applies(r.URL.Path, u.runningCalls, u.counts.Calls, sinceFirstCall) {
		u.counts.FaultyCalls++
		fault = u.cfg.Fault
	}
	return fault, sinceFirstCall < u.cfg.ColdStartDuration, true
}

func (u *Upstream) endCall(faulty bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runningCalls--
	if faulty && u.counts.FirstFaultMillis == 0 {
		u.counts.FirstFaultMillis = time.Now().UnixMilli()
	}
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	if fault.Kind == FaultFailing {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(HeaderRequestID)
	data, err := json.Marshal(ResponseBody{
		Service: u.cfg.Service, Version: u.cfg.Version, RequestID: id,
		Digest: Digest(id, body), Padding: string(bytes.Repeat([]byte("x"), cmp.Or(u.cfg.PaddingBytes, defaultPaddingBytes))),
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

// Digest returns the digest that the response to a request has to contain.
func Digest(requestID string, body []byte) string {
	sum := sha256.Sum256(append([]byte(requestID+"\n"), body...))
	return hex.EncodeToString(sum[:])
}
