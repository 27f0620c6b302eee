package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	callTimeout    = 6 * time.Second
	maxMicros      = 60_000_000
	histogramFine  = 3
	maxAnswerBytes = 16 << 20
	idleCallers    = 256
)

// Load is one kind of request that a caller sends.
type Load struct {
	Path string `json:"path"`
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// UseIdempotencyKey gives each request an idempotency key and, after an unknown outcome, sends it again with the same key.
	UseIdempotencyKey bool `json:"once"`
	// BodyBytes is the size of the body; zero means a GET without body.
	BodyBytes int `json:"body_bytes"`
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	Addresses []netip.AddrPort
	Loads     []Load
	Duration  time.Duration
	Seed      uint64
}

// RequestRecord is one request in a caller's history.
type RequestRecord struct {
	RequestID string `json:"request_id"`
	// Address is the node that the request was sent to.
	Address netip.AddrPort `json:"address"`
	Key     string         `json:"key,omitempty"`
	Path    string         `json:"path"`
	Sent    time.Time      `json:"sent"`
	Latency time.Duration  `json:"took"`
	Status  int            `json:"status"`
	Outcome string         `json:"outcome"`
	Version string         `json:"version,omitempty"`
	// Verified says that the answer belongs to the request and is complete.
	Verified bool   `json:"whole"`
	Error    string `json:"error,omitempty"`
}

// Report sums up a caller's history.
type Report struct {
	Requests        int            `json:"requests"`
	OK              int            `json:"ok"`
	Failed          int            `json:"failed"`
	NotRun          int            `json:"not_run"`
	Unknown         int            `json:"unknown"`
	TransportErrors int            `json:"cut"`
	Corrupt         int            `json:"wrong"`
	Versions        map[string]int `json:"versions"`
	P50             time.Duration  `json:"p50"`
	P99             time.Duration  `json:"p99"`
}

// Caller sends requests at fixed rates, whether or not earlier ones are answered, and keeps their history.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu     sync.Mutex
	events []RequestRecord
}

// NewCaller returns a caller.
func NewCaller(cfg CallerConfig) *Caller {
	return &Caller{cfg: cfg, client: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleCallers},
	}}
}

// Run sends until the duration or the context ends, waits for all answers and returns the history.
func (c *Caller) Run(ctx context.Context) []RequestRecord {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i, load := range c.cfg.Loads {
		wait.Go(func() { c.pace(ctx, load, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)))) })
	}
	wait.Wait()
	c.client.CloseIdleConnections()
	return c.events
}

func (c *Caller) pace(ctx context.Context, load Load, random *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	if load.Rate <= 0 {
		return
	}
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
		rest(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		first, second := c.address(random), c.address(random)
		wait.Go(func() { c.request(load, first, second) })
	}
}

func (c *Caller) address(random *rand.Rand) netip.AddrPort {
	return c.cfg.Addresses[random.IntN(len(c.cfg.Addresses))]
}

// request sends once, and again with the same key when a request with a key had an unknown outcome.
func (c *Caller) request(load Load, first, second netip.AddrPort) {
	key := ""
	if load.UseIdempotencyKey {
		key = uuid.NewString()
	}
	if event := c.send(load, first, key); load.UseIdempotencyKey && event.Outcome != "not_run" && event.Status != http.StatusOK {
		c.send(load, second, key)
	}
}

func (c *Caller) send(load Load, address netip.AddrPort, key string) RequestRecord {
	event := RequestRecord{RequestID: uuid.NewString(), Address: address, Key: key, Path: load.Path, Sent: time.Now()}
	body := bytes.Repeat([]byte("b"), load.BodyBytes)
	if err := c.exchange(&event, address, body); err != nil {
		event.Error = err.Error()
	}
	event.Latency = time.Since(event.Sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
	return event
}

func (c *Caller) exchange(event *RequestRecord, address netip.AddrPort, body []byte) error {
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address.String()+event.Path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	// A body that cannot be rewound keeps net/http from sending the request again by itself.
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, event.RequestID)
	if event.Key != "" {
		request.Header.Set("Idempotency-Key", event.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	event.Status, event.Outcome = response.StatusCode, response.Header.Get("Turmericdale-Outcome")
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	event.check(data, body)
	return nil
}

func (e *RequestRecord) check(data, body []byte) {
	var answer ResponseBody
	if e.Status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return
	}
	e.Version = answer.Version
	e.Verified = answer.RequestID == e.RequestID && answer.Digest == Digest(e.RequestID, body)
}

// NewReport sums up a history.
func NewReport(events []RequestRecord) Report {
	report := Report{Requests: len(events), Versions: map[string]int{}}
	histogram := hdrhistogram.New(1, maxMicros, histogramFine)
	for _, e := range events {
		report.count(e)
		if e.Verified {
			report.Versions[e.Version]++
			_ = histogram.RecordValue(e.Latency.Microseconds())
		}
	}
	report.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	report.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return report
}

func (r *Report) count(e RequestRecord) {
	switch {
	case e.Error != "":
		r.TransportErrors++
	case e.Status == http.StatusOK && !e.Verified:
		r.Corrupt++
	case e.Status == http.StatusOK:
		r.OK++
	case e.Outcome == "not_run":
		r.NotRun++
	case e.Outcome == "unknown":
		r.Unknown++
	default:
		r.Failed++
	}
}
