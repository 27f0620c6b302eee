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

	operationFeed = "feed"
)

// Counters counts the operations of a Client.
type Counters struct {
	Reads    atomic.Uint64
	Writes   atomic.Uint64
	Failures atomic.Uint64
}

// Config configures a Client.
type Config struct {
	Address netip.AddrPort
	// Timeout bounds one operation; zero means two seconds.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe receives the name, the duration and the error of each operation but the feed, which waits for changes; nil means
	// that nothing does.
	Observe func(operation string, took time.Duration, err error)
}

// Client is a client of the platform's table and object store; it is safe for concurrent use.
type Client struct {
	Counters Counters

	baseURL     string
	timeout     time.Duration
	observe     func(operation string, took time.Duration, err error)
	http        *http.Client
	unreachable atomic.Bool
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
	request, err := platform.TransactionRequest(p.name, transaction)
	if err != nil {
		return false, errors.Wrap(err, "encode transaction")
	}
	err = p.client.write(ctx, "transaction", request)
	var status *StatusError
	if errors.As(err, &status) {
		if committed, known := platform.Committed(status.Status); known {
			return committed, nil
		}
	}
	return err == nil, err
}

// Range is Range of the part without a name.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	return c.Part("").Range(ctx, prefix, after, limit)
}

// Range reads at most limit rows of the part whose keys have the prefix and follow after; it returns *UnavailableError.
func (p *Part) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	var found []*wirepb.Row
	from := max(prefix, after)
	for {
		// A range includes its first key, so a page needs room for one row that was read before.
		page, err := p.client.page(ctx, platform.RangeRequest("", p.name, from, prefixEnd(prefix), min(limit-len(found)+1, platform.MaxPageRows)))
		if err != nil {
			return nil, err
		}
		for _, r := range page.Rows {
			if r.GetKey() != after && len(found) < limit {
				found = append(found, r)
			}
		}
		if !page.More || len(found) >= limit || len(page.Rows) == 0 {
			return found, nil
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
	body, err := c.read(ctx, "range", request, c.timeout)
	if err != nil {
		return nil, err
	}
	rows, err := platform.DecodeRows(body)
	if err != nil {
		return nil, &UnavailableError{Operation: "range", Cause: err}
	}
	return rows, nil
}

// Feed waits, for at most wait, for rows of a table that changed after a version; it returns *HistoryExpiredError or *UnavailableError.
func (c *Client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (*platform.Rows, error) {
	body, err := c.read(ctx, operationFeed, platform.FeedRequest(table, after, wait), wait+c.timeout)
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
	return c.write(ctx, "put object", platform.PutObjectRequest(name, data))
}

// DeleteObject removes an object; it returns *UnavailableError or *UnknownOutcomeError.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.write(ctx, "delete object", platform.DeleteObjectRequest(name))
}

// Object reads an object; it returns *NotFoundError or *UnavailableError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	data, err := c.read(ctx, "get object", platform.GetObjectRequest(name), c.timeout)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &NotFoundError{Name: name}
	}
	return data, err
}

func (c *Client) read(ctx context.Context, operation string, request platform.StoreRequest, timeout time.Duration) ([]byte, error) {
	c.Counters.Reads.Add(1)
	body, _, err := c.do(ctx, operation, request, timeout)
	if err != nil {
		return nil, &UnavailableError{Operation: operation, Cause: err}
	}
	return body, nil
}

func (c *Client) write(ctx context.Context, operation string, request platform.StoreRequest) error {
	c.Counters.Writes.Add(1)
	_, mayHaveRun, err := c.do(ctx, operation, request, c.timeout)
	switch {
	case err == nil:
		return nil
	case mayHaveRun:
		return &UnknownOutcomeError{Operation: operation, Cause: err}
	default:
		return &UnavailableError{Operation: operation, Cause: err}
	}
}

// do sends a request and returns the response body and, with an error, whether the platform may have carried it out.
func (c *Client) do(ctx context.Context, operation string, request platform.StoreRequest, timeout time.Duration) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, false, errors.Wrap(err, "build platform request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	started := time.Now()
	body, mayHaveRun, err := c.send(httpRequest)
	c.recordResult(ctx, err)
	if operation != operationFeed {
		c.observe(operation, time.Since(started), err)
	}
	return body, mayHaveRun, err
}

func (c *Client) send(request *http.Request) ([]byte, bool, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, !isDialError(err), errors.Wrap(err, "send platform request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, true, errors.Wrap(err, "read platform response")
	}
	if len(body) > maxResponseBytes {
		return nil, true, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	if response.StatusCode/100 != 2 {
		mayHaveRun := response.StatusCode >= http.StatusInternalServerError && !platform.IsUnavailable(response.StatusCode)
		return nil, mayHaveRun, &StatusError{Status: response.StatusCode, Body: string(body[:min(len(body), maxErrorBodyBytes)])}
	}
	return body, true, nil
}

// recordResult updates the reachability and the failure count; an operation that its caller cancelled
// says nothing about the platform.
func (c *Client) recordResult(ctx context.Context, err error) {
	var status *StatusError
	switch {
	case err == nil, errors.As(err, &status) && status.Status < http.StatusInternalServerError && !platform.IsUnavailable(status.Status):
		c.unreachable.Store(false)
	case !errors.Is(ctx.Err(), context.Canceled):
		c.Counters.Failures.Add(1)
		c.unreachable.Store(true)
	}
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
