package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	defaultTimeout     = 2 * time.Second
	maxAnswerBytes     = 64 << 20
	maxFailureBytes    = 1 << 10
	idleConnections    = 16
	connectionIdleTime = 90 * time.Second
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
		cfg.Dial = (&net.Dialer{Timeout: cfg.Timeout}).DialContext
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

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Up reports whether the newest operation reached the platform.
func (c *Client) Up() bool { return !c.lost.Load() }

// Transact writes all rows or none and reports whether the conditions held; it returns *UnavailableError or *UnknownError.
func (c *Client) Transact(ctx context.Context, transaction *wirepb.Transaction) (bool, error) {
	c.Counters.Writes.Add(1)
	body, err := protojson.Marshal(transaction)
	if err != nil {
		return false, errors.Wrap(err, "encode transaction")
	}
	answer, err := c.write(ctx, "transaction", http.MethodPost, "/table/transactions", body)
	if err != nil {
		return false, err
	}
	reply := &wirepb.TransactionReply{}
	if err := protojson.Unmarshal(answer, reply); err != nil {
		return false, &UnknownError{Operation: "transaction", Cause: err}
	}
	return reply.GetCommitted(), nil
}

// Range reads at most limit rows whose keys have the prefix and follow after; it returns *UnavailableError.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]*wirepb.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	answer, err := c.read(ctx, "range", "/table/rows?"+query.Encode())
	if err != nil {
		return nil, err
	}
	list := &wirepb.RowList{}
	if err := protojson.Unmarshal(answer, list); err != nil {
		return nil, &UnavailableError{Operation: "range", Cause: err}
	}
	return list.GetRows(), nil
}

// Row reads one row, or nil when it does not exist; it returns *UnavailableError.
func (c *Client) Row(ctx context.Context, key string) (*wirepb.Row, error) {
	rows, err := c.Range(ctx, key, "", 1)
	if err != nil || len(rows) == 0 || rows[0].GetKey() != key {
		return nil, err
	}
	return rows[0], nil
}

// PutObject stores an object; it returns *UnavailableError or *UnknownError.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.Counters.Writes.Add(1)
	_, err := c.write(ctx, "put object", http.MethodPut, "/objects/"+name, data)
	return err
}

// DeleteObject removes an object; it returns *UnavailableError or *UnknownError.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.Counters.Writes.Add(1)
	_, err := c.write(ctx, "delete object", http.MethodDelete, "/objects/"+name, nil)
	return err
}

// Object reads an object; it returns *MissingError or *UnavailableError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	data, err := c.read(ctx, "get object", "/objects/"+name)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &MissingError{Name: name}
	}
	return data, err
}

func (c *Client) read(ctx context.Context, operation, target string) ([]byte, error) {
	c.Counters.Reads.Add(1)
	answer, _, err := c.do(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &UnavailableError{Operation: operation, Cause: err}
	}
	return answer, nil
}

func (c *Client) write(ctx context.Context, operation, method, target string, body []byte) ([]byte, error) {
	answer, sent, err := c.do(ctx, method, target, body)
	switch {
	case err == nil:
		return answer, nil
	case sent:
		return nil, &UnknownError{Operation: operation, Cause: err}
	default:
		return nil, &UnavailableError{Operation: operation, Cause: err}
	}
}

// do reports with an error whether the request may have taken effect.
func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "build platform request")
	}
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
		return nil, true, &SizeError{Limit: maxAnswerBytes}
	}
	if response.StatusCode/100 != 2 {
		return nil, false, &StatusError{Status: response.StatusCode, Body: string(answer[:min(len(answer), maxFailureBytes)])}
	}
	return answer, true, nil
}

func (c *Client) note(ctx context.Context, err error) {
	var status *StatusError
	switch {
	case err == nil, errors.As(err, &status) && status.Status == http.StatusNotFound:
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
