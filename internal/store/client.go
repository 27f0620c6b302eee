package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	defaultTimeout        = 2 * time.Second
	maxResponseBytes      = 64 << 20
	maxErrorBodyBytes     = 1 << 10
	maxIdleConnections    = 16
	idleConnectionTimeout = 90 * time.Second
	// Keep-alive detects a dead connection within two seconds, the tightest of the users' time limits for configuration.
	keepAliveIdleDuration = time.Second
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveCount        = 2

	operationFeed        = "feed"
	operationTransaction = "transaction"
)

// Counters counts the operations of a Client.
type Counters struct {
	Reads    atomic.Uint64
	Writes   atomic.Uint64
	Failures atomic.Uint64
	// MalformedEras counts responses whose era was malformed, OlderEras those that were ignored as being of an older era.
	MalformedEras atomic.Uint64
	OlderEras     atomic.Uint64
}

// Config configures a Client.
type Config struct {
	Address netip.AddrPort
	// Timeout bounds one operation; zero means two seconds.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe receives the name, the duration and the error of each operation; of feeds, which wait for changes, only those that fail.
	// Nil means that nothing does.
	Observe func(operation string, took time.Duration, err error)
	// Logger logs changes of the store's era; nil means that nothing is logged.
	Logger *zap.Logger
}

// Client is a client of the platform's table and object store; it is safe for concurrent use.
type Client struct {
	Counters Counters

	baseURL     string
	timeout     time.Duration
	observe     func(operation string, took time.Duration, err error)
	http        *http.Client
	unreachable atomic.Bool
	inFlight    inFlight
	logger      *zap.Logger
	eras        eraState
}

// New returns a client of the platform at the configured address.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.Timeout, KeepAliveConfig: keepAliveConfig()}).DialContext
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, time.Duration, error) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	transport := &http.Transport{
		DialContext:         cfg.Dial,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	return &Client{
		baseURL: "http://" + cfg.Address.String(),
		timeout: cfg.Timeout,
		observe: cfg.Observe,
		http:    &http.Client{Transport: transport},
		logger:  cfg.Logger,
	}
}

// Part is a part of the system's table. The platform carries out the transactions on one part one after another, so that those on
// different parts do not wait for each other; a transaction cannot span parts.
type Part struct {
	client *Client
	name   string
}

// Part returns the part with a name.
func (c *Client) Part(name string) *Part { return &Part{client: c, name: name} }

// keepAliveConfig makes TCP detect dead connections, since a feed may wait for seconds without a response.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdleDuration, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// IsReachable reports whether the platform answered the latest operation without a server error or rate limit;
// cancelled operations do not count.
func (c *Client) IsReachable() bool { return !c.unreachable.Load() }

// Transact is Transact of the part without a name.
func (c *Client) Transact(ctx context.Context, transaction *wirepb.Transaction) (bool, error) {
	return c.Part("").Transact(ctx, transaction)
}

// Transact writes all rows or none and reports whether the conditions held; it returns *UnavailableError or *UnknownOutcomeError.
func (p *Part) Transact(ctx context.Context, transaction *wirepb.Transaction) (bool, error) {
	committed, _, err := p.transact(ctx, transaction)
	return committed, err
}

// TransactIn is Transact for an era of the store. In another era it returns *UnavailableError if the transaction was not sent, and
// *UnknownOutcomeError if the store came back from an older copy meanwhile, both with *EraChangedError as cause.
func (c *Client) TransactIn(ctx context.Context, era uint64, transaction *wirepb.Transaction) (bool, error) {
	if have := c.Era(); have != era {
		return false, &UnavailableError{Operation: operationTransaction, Cause: &EraChangedError{Want: era, Have: have}}
	}
	committed, have, err := c.Part("").transact(ctx, transaction)
	if err == nil && have != era {
		return false, &UnknownOutcomeError{Operation: operationTransaction, Cause: &EraChangedError{Want: era, Have: have}}
	}
	return committed, err
}

func (p *Part) transact(ctx context.Context, transaction *wirepb.Transaction) (bool, uint64, error) {
	request, err := platform.TransactionRequest(p.name, transaction)
	if err != nil {
		return false, 0, errors.Wrap(err, "encode transaction")
	}
	era, err := p.client.write(ctx, operationTransaction, request)
	var status *StatusError
	if errors.As(err, &status) {
		if committed, known := platform.Committed(status.Status); known {
			return committed, era, nil
		}
	}
	return err == nil, era, err
}

// Range is Range of the part without a name.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	return c.Part("").Range(ctx, prefix, after, limit)
}

// Range reads at most limit rows of the part whose keys have the prefix and follow after; it returns *UnavailableError.
func (p *Part) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	rows, _, err := p.RangeEra(ctx, prefix, after, limit)
	return rows, err
}

// RangeEra is Range that returns the store's era, too, which is the same for all rows.
func (p *Part) RangeEra(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, uint64, error) {
	var found []*wirepb.Row
	era, started := uint64(0), false
	from := max(prefix, after)
	for {
		// A range includes its first key, so a page needs room for one row that was read before.
		page, err := p.client.page(ctx, platform.RangeRequest("", p.name, from, prefixEnd(prefix), min(limit-len(found)+1, platform.MaxPageRows)))
		if err != nil {
			return nil, 0, err
		}
		if started && page.Era != era {
			return nil, 0, &UnavailableError{Operation: "range", Cause: &EraChangedError{Want: era, Have: page.Era}}
		}
		era, started = page.Era, true
		for _, r := range page.Rows {
			if r.GetKey() != after && len(found) < limit {
				found = append(found, r)
			}
		}
		if !page.More || len(found) >= limit || len(page.Rows) == 0 {
			return found, era, nil
		}
		after = page.Rows[len(page.Rows)-1].GetKey()
		from = after
	}
}

// prefixEnd returns the first key that follows all keys with a prefix, or an empty string if there is none.
func prefixEnd(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0x7f {
			return prefix[:i] + string(prefix[i]+1)
		}
	}
	return ""
}

// TablePage reads at most limit rows of a table whose keys lie in [from, to); it returns *UnavailableError.
func (c *Client) TablePage(ctx context.Context, table, from, to string, limit int) (*platform.Rows, error) {
	return c.page(ctx, platform.RangeRequest(table, "", from, to, limit))
}

func (c *Client) page(ctx context.Context, request platform.StoreRequest) (*platform.Rows, error) {
	body, era, err := c.read(ctx, "range", request, c.timeout)
	if err != nil {
		return nil, err
	}
	rows, err := platform.DecodeRows(body)
	if err != nil {
		return nil, &UnavailableError{Operation: "range", Cause: err}
	}
	rows.Era = era
	return rows, nil
}

// Feed waits, for at most wait, for rows of a table that changed after a version; it returns *HistoryExpiredError or *UnavailableError.
func (c *Client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (*platform.Rows, error) {
	body, era, err := c.read(ctx, operationFeed, platform.FeedRequest(table, after, wait), wait+c.timeout)
	var status *StatusError
	if errors.As(err, &status) && platform.IsHistoryExpired(status.Status) {
		return nil, &HistoryExpiredError{Table: table, After: after}
	}
	if err != nil {
		return nil, err
	}
	rows, err := platform.DecodeRows(body)
	if err != nil {
		return nil, &UnavailableError{Operation: operationFeed, Cause: err}
	}
	rows.Era = era
	return rows, nil
}

// Row is Row of the part without a name.
func (c *Client) Row(ctx context.Context, key string) (*wirepb.Row, error) {
	return c.Part("").Row(ctx, key)
}

// Row reads one row of the part, or nil if it does not exist; it returns *UnavailableError.
func (p *Part) Row(ctx context.Context, key string) (*wirepb.Row, error) {
	rows, err := p.Range(ctx, key, "", 1)
	if err != nil || len(rows) == 0 || rows[0].GetKey() != key {
		return nil, err
	}
	return rows[0], nil
}

// PutObject stores an object; it returns *UnavailableError or *UnknownOutcomeError.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, "put object", platform.PutObjectRequest(name, data))
	return err
}

// DeleteObject removes an object; it returns *UnavailableError or *UnknownOutcomeError.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.write(ctx, "delete object", platform.DeleteObjectRequest(name))
	return err
}

// Object reads an object; it returns *NotFoundError or *UnavailableError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	data, _, err := c.read(ctx, "get object", platform.GetObjectRequest(name), c.timeout)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &NotFoundError{Name: name}
	}
	return data, err
}

func (c *Client) read(ctx context.Context, operation string, request platform.StoreRequest, timeout time.Duration) ([]byte, uint64, error) {
	c.Counters.Reads.Add(1)
	answer, _, err := c.do(ctx, operation, request, timeout)
	if err != nil {
		return nil, answer.era, &UnavailableError{Operation: operation, Cause: err}
	}
	return answer.body, answer.era, nil
}

func (c *Client) write(ctx context.Context, operation string, request platform.StoreRequest) (uint64, error) {
	c.Counters.Writes.Add(1)
	answer, mayHaveRun, err := c.do(ctx, operation, request, c.timeout)
	switch {
	case err == nil:
		return answer.era, nil
	case mayHaveRun:
		return answer.era, &UnknownOutcomeError{Operation: operation, Cause: err}
	default:
		return answer.era, &UnavailableError{Operation: operation, Cause: err}
	}
}

// answer is the body of a response and the era of the store that it names.
type answer struct {
	body []byte
	era  uint64
}

// do sends a request and returns the response and, with an error, whether the platform may have carried it out.
func (c *Client) do(ctx context.Context, operation string, request platform.StoreRequest, timeout time.Duration) (answer, bool, error) {
	ctx, abandon := context.WithCancelCause(ctx)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	number := c.inFlight.begin(abandon)
	defer c.inFlight.end(number)
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Target, bytes.NewReader(request.Body))
	if err != nil {
		return answer{}, false, errors.Wrap(err, "build platform request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, mayHaveRun, err := c.send(httpRequest)
	c.recordResult(ctx, err)
	var unanswered *NoResponseError
	switch {
	case !errors.As(err, &unanswered):
		c.inFlight.recordAnswer(number)
	case isFailure(ctx, err):
		c.inFlight.recordLoss()
	}
	if operation != operationFeed || isFailure(ctx, err) {
		c.observe(operation, time.Since(started), err)
	}
	return response, mayHaveRun, err
}

func (c *Client) send(request *http.Request) (answer, bool, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, !isDialError(err), &NoResponseError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return answer{}, true, &NoResponseError{Cause: err}
	}
	if len(body) > maxResponseBytes {
		return answer{}, true, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	era, err := c.checkEra(response)
	if err != nil {
		return answer{era: era}, true, err
	}
	if response.StatusCode/100 != 2 {
		mayHaveRun := response.StatusCode >= http.StatusInternalServerError && !platform.IsUnavailable(response.StatusCode)
		return answer{era: era}, mayHaveRun, &StatusError{Status: response.StatusCode, Body: string(body[:min(len(body), maxErrorBodyBytes)])}
	}
	return answer{body: body, era: era}, true, nil
}

// isFailure reports whether an operation failed; one that its caller cancelled says nothing about the platform.
func isFailure(ctx context.Context, err error) bool {
	return err != nil && !errors.Is(ctx.Err(), context.Canceled)
}

// recordResult updates the reachability and the failure count.
func (c *Client) recordResult(ctx context.Context, err error) {
	var status *StatusError
	switch {
	case err == nil, errors.As(err, &status) && status.Status < http.StatusInternalServerError && !platform.IsUnavailable(status.Status):
		c.unreachable.Store(false)
	case isFailure(ctx, err):
		c.Counters.Failures.Add(1)
		c.unreachable.Store(true)
	}
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
