package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	requestTimeout     = 6 * time.Second
	maxLatencyMicros   = 60_000_000
	histogramDigits    = 3
	maxResponseBytes   = 16 << 20
	maxIdleConnections = 256
)

// Load describes the requests that a caller sends to one path.
type Load struct {
	Path string `json:"path"`
	// Rate is the mean number of requests a second; the intervals between them are random.
	Rate float64 `json:"rate"`
	// UseIdempotencyKey gives each request an idempotency key and sends it once more with the same key unless it succeeded or has not run.
	UseIdempotencyKey bool `json:"once"`
	// BodyBytes is the size of the body of a POST; zero means a GET without a body.
	BodyBytes int `json:"body_bytes"`
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	Addresses []netip.AddrPort
	Loads     []Load
	Duration  time.Duration
	Seed      uint64
}

// RequestRecord is one request of a caller and its result.
type RequestRecord struct {
	RequestID string `json:"request_id"`
	// Address is where the request was sent.
	Address netip.AddrPort `json:"address"`
	Key     string         `json:"key,omitempty"`
	Path    string         `json:"path"`
	Sent    time.Time      `json:"sent"`
	Latency time.Duration  `json:"took"`
	Status  int            `json:"status"`
	Outcome string         `json:"outcome"`
	Version string         `json:"version,omitempty"`
	// Verified reports whether the response has status 200, is complete and belongs to the request.
	Verified bool   `json:"whole"`
	Error    string `json:"error,omitempty"`
	// NotConnected means that the error is a dial that was refused or reset, so that the request was never sent.
	NotConnected bool `json:"not_connected,omitempty"`
}

// Report summarises the requests of a caller.
type Report struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	// Failed counts all responses that none of the other fields counts.
	Failed int `json:"failed"`
	// NotRun and Unknown count failures by the outcome header of the response.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// TransportErrors counts requests without a complete response.
	TransportErrors int `json:"cut"`
	// Corrupt counts responses with status 200 that were not verified.
	Corrupt  int            `json:"wrong"`
	Versions map[string]int `json:"versions"`
	// P50 and P99 are latencies of verified responses.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Caller sends requests at fixed mean rates, without waiting for responses to earlier ones, and records each request.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu      sync.Mutex
	records []RequestRecord
}

// NewCaller returns a Caller.
func NewCaller(cfg CallerConfig) *Caller {
	return &Caller{cfg: cfg, client: &http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
	}}
}

// Run sends requests until the duration or the context ends, waits for all responses and returns the records.
func (c *Caller) Run(ctx context.Context) []RequestRecord {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i, load := range c.cfg.Loads {
		wait.Go(func() { c.loadLoop(ctx, load, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)))) })
	}
	wait.Wait()
	c.client.CloseIdleConnections()
	return c.records
}

func (c *Caller) loadLoop(ctx context.Context, load Load, random *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	if load.Rate <= 0 {
		return
	}
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		first, second := c.randomAddress(random), c.randomAddress(random)
		wait.Go(func() { c.sendWithRetry(load, first, second) })
	}
}

func (c *Caller) randomAddress(random *rand.Rand) netip.AddrPort {
	return c.cfg.Addresses[random.IntN(len(c.cfg.Addresses))]
}

// sendWithRetry sends a request; one with a key is sent once more with that key unless it succeeded or has not run.
func (c *Caller) sendWithRetry(load Load, first, second netip.AddrPort) {
	key := ""
	if load.UseIdempotencyKey {
		key = uuid.NewString()
	}
	if record := c.sendOnce(load, first, key); load.UseIdempotencyKey && record.Outcome != "not_run" && record.Status != http.StatusOK {
		c.sendOnce(load, second, key)
	}
}

func (c *Caller) sendOnce(load Load, address netip.AddrPort, key string) RequestRecord {
	record := RequestRecord{RequestID: uuid.NewString(), Address: address, Key: key, Path: load.Path, Sent: time.Now()}
	body := bytes.Repeat([]byte("b"), load.BodyBytes)
	if err := c.roundTrip(&record, address, body); err != nil {
		record.Error, record.NotConnected = err.Error(), isNotConnected(err)
	}
	record.Latency = time.Since(record.Sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
	return record
}

// isNotConnected reports whether no connection came about. A dial is refused when no process listens, and reset when it
// crosses the close of the listener.
func isNotConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

func (c *Caller) roundTrip(record *RequestRecord, address netip.AddrPort, body []byte) error {
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address.String()+record.Path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	// Without GetBody, net/http does not resend a request with a body by itself.
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, record.RequestID)
	if record.Key != "" {
		request.Header.Set("Idempotency-Key", record.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	record.Status, record.Outcome = response.StatusCode, response.Header.Get("Turmericdale-Outcome")
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	record.verify(data, body)
	return nil
}

func (r *RequestRecord) verify(data, body []byte) {
	var content ResponseBody
	if r.Status != http.StatusOK || json.Unmarshal(data, &content) != nil {
		return
	}
	r.Version = content.Version
	r.Verified = content.RequestID == r.RequestID && content.Digest == Digest(r.RequestID, body)
}

// NewReport summarises requests.
func NewReport(records []RequestRecord) Report {
	report := Report{Requests: len(records), Versions: map[string]int{}}
	histogram := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	for _, r := range records {
		report.add(r)
		if r.Verified {
			report.Versions[r.Version]++
			_ = histogram.RecordValue(r.Latency.Microseconds())
		}
	}
	report.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	report.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return report
}

func (r *Report) add(record RequestRecord) {
	switch {
	case record.Error != "":
		r.TransportErrors++
	case record.Status == http.StatusOK && !record.Verified:
		r.Corrupt++
	case record.Status == http.StatusOK:
		r.OK++
	case record.Outcome == "not_run":
		r.NotRun++
	case record.Outcome == "unknown":
		r.Unknown++
	default:
		r.Failed++
	}
}
