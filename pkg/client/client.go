package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	requestTimeout   = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// APIError is a failure that a node reported in its response.
type APIError struct {
	Status  int
	Failure *wirepb.Failure
}

func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Failure.GetMessage(), e.Failure.GetKind())
}

// ReachError reports that a node could not be reached or its response was lost; a change may have been accepted nevertheless.
type ReachError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ReachError) Error() string {
	return fmt.Sprintf("request to node %s failed, try another node with --node: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ReachError) Unwrap() error { return e.Cause }

// Config configures a Client.
type Config struct {
	// Address is the admin address of any node.
	Address netip.AddrPort
	// Token is the bearer token of a team or of the administrator.
	Token string
}

// Client calls the admin API of one node; its methods return *APIError, *ReachError or an encoding error.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of the configured node.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: requestTimeout}}
}

// Change submits a change, of which all edits are accepted or none.
func (c *Client) Change(ctx context.Context, request *wirepb.ChangeRequest) (*wirepb.ChangeReply, error) {
	reply := &wirepb.ChangeReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/settings/changes", nil, request, reply)
}

// Entry reads one path; inForce reads it from the configuration that the node runs, without asking the platform.
func (c *Client) Entry(ctx context.Context, path string, inForce bool) (*wirepb.Entry, error) {
	entry := &wirepb.Entry{}
	return entry, c.do(ctx, http.MethodGet, "/v1/settings/entry", withInForce(url.Values{"path": {path}}, inForce), nil, entry)
}

// List reads the paths under a prefix that the token may read; inForce works as for Entry.
func (c *Client) List(ctx context.Context, prefix string, inForce bool) (*wirepb.EntryList, error) {
	list := &wirepb.EntryList{}
	return list, c.do(ctx, http.MethodGet, "/v1/settings", withInForce(url.Values{"prefix": {prefix}}, inForce), nil, list)
}

// History reads the retained changes of a path, newest first.
func (c *Client) History(ctx context.Context, path string) (*wirepb.ChangeList, error) {
	list := &wirepb.ChangeList{}
	return list, c.do(ctx, http.MethodGet, "/v1/settings/history", url.Values{"path": {path}}, nil, list)
}

// Moves reads the newest move of each service that the token may read.
func (c *Client) Moves(ctx context.Context) (*wirepb.MoveList, error) {
	list := &wirepb.MoveList{}
	return list, c.do(ctx, http.MethodGet, "/v1/moves", nil, nil, list)
}

// Move reads the newest move of a service.
func (c *Client) Move(ctx context.Context, service string) (*wirepb.MoveRecord, error) {
	record := &wirepb.MoveRecord{}
	return record, c.do(ctx, http.MethodGet, "/v1/moves/"+url.PathEscape(service), nil, nil, record)
}

// TakeBack takes the running move of a service back.
func (c *Client) TakeBack(ctx context.Context, service string) (*wirepb.MoveRecord, error) {
	record := &wirepb.MoveRecord{}
	return record, c.do(ctx, http.MethodPost, "/v1/moves/"+url.PathEscape(service)+"/take-back", nil, nil, record)
}

// Status reads the status of the node.
func (c *Client) Status(ctx context.Context) (*wirepb.NodeStatus, error) {
	status := &wirepb.NodeStatus{}
	return status, c.do(ctx, http.MethodGet, "/v1/status", nil, nil, status)
}

func withInForce(query url.Values, inForce bool) url.Values {
	if inForce {
		query.Set("in_force", "true")
	}
	return query
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, reply proto.Message) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = protojson.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	target := url.URL{Scheme: "http", Host: c.cfg.Address.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return &ReachError{Address: c.cfg.Address, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return c.decode(response, reply)
}

func (c *Client) decode(response *http.Response, reply proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &ReachError{Address: c.cfg.Address, Cause: err}
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(protojson.Unmarshal(data, reply), "decode response")
	}
	failure := &wirepb.Failure{}
	if protojson.Unmarshal(data, failure) != nil {
		failure = &wirepb.Failure{Kind: http.StatusText(response.StatusCode)}
	}
	return &APIError{Status: response.StatusCode, Failure: failure}
}
