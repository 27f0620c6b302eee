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
	defaultTimeout     = 2 * time.Second
	maxAnswerBytes     = 64 << 20
	maxFailureBytes    = 1 << 10
	idleConnections    = 16
	connectionIdleTime = 90 * time.Second
	// A silent connection is found within two seconds, the least that the users' bounds for configuration allow.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Counters counts the operations of one process on the platform.
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
}

// Client speaks to the platform's table and object store; it is safe for concurrent use.
type Client struct {
	Counters Counters

	base    string
	timeout time.Duration
	http    *http.Client
	lost    atomic.Bool
}

// New returns a client of the platform at the configured address.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.Timeout, KeepAliveConfig: keepAlive()}).DialContext
	}
	transport := &http.Transport{
		DialContext:         cfg.Dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     connectionIdleTime,
	}
	return &Client{
		base:    "http://" + cfg.Address.String(),
		timeout: cfg.Timeout,
		http:    &http.Client{Transport: transport},
	}
}

// keepAlive ends connections that went silent: a feed waits for seconds without an answer.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// IsReachable reports whether the newest operation reached the platform.
func (c *Client) IsReachable() bool { return !c.lost.Load() }

// Transact writes all rows or none and reports whether the conditions held; it returns *UnavailableError or *UnknownError.
func (c *Client) Transact(ctx context.Context, transaction *wirepb.Transaction) (bool, error) {
	call, err := platform.TransactionRequest(transaction)
	if err != nil {
		return false, errors.Wrap(err, "encode transaction")
	}
	err = c.write(ctx, "transaction", call)
	var status *StatusError
	if errors.As(err, &status) {
		if committed, known := platform.Committed(status.Status); known {
			return committed, nil
		}
	}
	return err == nil, err
}

// Range reads at most limit rows of the own table whose keys have the prefix and follow after; it returns *UnavailableError.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	var found []*wirepb.Row
	from := max(prefix, after)
	for {
		// The first key of a range belongs to it: a page has room for the row that is known already.
		page, err := c.TablePage(ctx, "", from, prefixEnd(prefix), min(limit-len(found)+1, platform.MaxPageRows))
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

// prefixEnd returns the first key that follows all keys with a prefix, or nothing when there is none.
func prefixEnd(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0x7f {
			return prefix[:i] + string(prefix[i]+1)
		}
	}
	return ""
}

// TablePage reads one page of a table, from a key up to another one, which is left out; it returns *UnavailableError.
func (c *Client) TablePage(ctx context.Context, table, from, to string, limit int) (*platform.Rows, error) {
	answer, err := c.read(ctx, "range", platform.RangeRequest(table, from, to, limit), c.timeout)
	if err != nil {
		return nil, err
	}
	rows, err := platform.DecodeRows(answer)
	if err != nil {
		return nil, &UnavailableError{Operation: "range", Cause: err}
	}
	return rows, nil
}

// Feed waits for rows of a table that changed after a version; it returns *HistoryError or *UnavailableError.
func (c *Client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (*platform.Rows, error) {
	answer, err := c.read(ctx, "feed", platform.FeedRequest(table, after, wait), wait+c.timeout)
	var status *StatusError
	if errors.As(err, &status) && platform.IsHistoryExpired(status.Status) {
		return nil, &HistoryExpiredError{Table: table, After: after}
	}
	if err != nil {
		return nil, err
	}
	rows, err := platform.DecodeRows(answer)
	if err != nil {
		return nil, &UnavailableError{Operation: "feed", Cause: err}
	}
	return rows, nil
}

// Row reads one row of the own table, or nil when it does not exist; it returns *UnavailableError.
func (c *Client) Row(ctx context.Context, key string) (*wirepb.Row, error) {
	rows, err := c.Range(ctx, key, "", 1)
	if err != nil || len(rows) == 0 || rows[0].GetKey() != key {
		return nil, err
	}
	return rows[0], nil
}

// PutObject stores an object; it returns *UnavailableError or *UnknownError.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, "put object", platform.PutObjectRequest(name, data))
}

// DeleteObject removes an object; it returns *UnavailableError or *UnknownError.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.write(ctx, "delete object", platform.DeleteObjectRequest(name))
}

// Object reads an object; it returns *MissingError or *UnavailableError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	data, err := c.read(ctx, "get object", platform.GetObjectRequest(name), c.timeout)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &NotFoundError{Name: name}
	}
	return data, err
}

func (c *Client) read(ctx context.Context, operation string, call platform.StoreRequest, timeout time.Duration) ([]byte, error) {
	c.Counters.Reads.Add(1)
	answer, _, err := c.do(ctx, call, timeout)
	if err != nil {
		return nil, &UnavailableError{Operation: operation, Cause: err}
	}
	return answer, nil
}

func (c *Client) write(ctx context.Context, operation string, call platform.StoreRequest) error {
	c.Counters.Writes.Add(1)
	_, sent, err := c.do(ctx, call, c.timeout)
	switch {
	case err == nil:
		return nil
	case sent:
		return &UnknownOutcomeError{Operation: operation, Cause: err}
	default:
		return &UnavailableError{Operation: operation, Cause: err}
	}
}

// do reports with an error whether the request may have taken effect.
func (c *Client) do(ctx context.Context, call platform.StoreRequest, timeout time.Duration) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, false, errors.Wrap(err, "build platform request")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, sent, err := c.send(request)
	c.note(ctx, err)
	return answer, sent, err
}

func (c *Client) send(request *http.Request) ([]byte, bool, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, !isDialError(err), errors.Wrap(err, "call platform")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, true, errors.Wrap(err, "read platform answer")
	}
	if len(answer) > maxAnswerBytes {
		return nil, true, &ResponseTooLargeError{Limit: maxAnswerBytes}
	}
	if response.StatusCode/100 != 2 {
		sent := response.StatusCode >= http.StatusInternalServerError && !platform.IsUnavailable(response.StatusCode)
		return nil, sent, &StatusError{Status: response.StatusCode, Body: string(answer[:min(len(answer), maxFailureBytes)])}
	}
	return answer, true, nil
}

func (c *Client) note(ctx context.Context, err error) {
	var status *StatusError
	switch {
	case err == nil, errors.As(err, &status) && status.Status < http.StatusInternalServerError && !platform.IsUnavailable(status.Status):
		c.lost.Store(false)
	case !errors.Is(ctx.Err(), context.Canceled):
		c.Counters.Failures.Add(1)
		c.lost.Store(true)
	}
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
