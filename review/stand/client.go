package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	method string
	sentAt time.Time
	// sent says that the whole request was written.
	sent   bool
	status int
	stamp  string
	echoed string
	body   []byte
	close  bool
	err    error
	took   time.Duration
}

// whole reports whether a complete answer arrived.
func (a answer) whole() bool { return a.err == nil && a.status != 0 }

type request struct {
	method, host, path string
	deadline           time.Duration
	work               time.Duration
	body               []byte
}

// client sends requests to a node, one after the other, on a connection that it keeps open.
type client struct {
	name   string
	node   string
	record *record
	conn   net.Conn
	reader *bufio.Reader
	next   int
}

var errDeadline = errors.New("no answer by the deadline")

var lastID atomic.Int64

// do sends one request, without retries, and waits for its answer until the deadline.
func (c *client) do(r request) answer {
	a := answer{method: r.method, id: fmt.Sprintf("%s-%06d", c.name, lastID.Add(1)), sentAt: time.Now()}
	c.record.add("send", "client", c.name, "node", c.node, "id", a.id, "method", r.method, "path", r.path, "bytes", len(r.body), "work", r.work)
	a = c.exchange(r, a)
	a.took = time.Since(a.sentAt)
	c.record.add("answer", "client", c.name, "id", a.id, "status", a.status, "stamp", a.stamp, "echoed", a.echoed, "bytes", len(a.body), "took", a.took.Round(time.Millisecond), "err", a.err)
	if a.err != nil || a.close {
		c.closeConn()
	}
	return a
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) exchange(r request, a answer) answer {
	deadline := a.sentAt.Add(r.deadline)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(deadline.Add(500 * time.Millisecond))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", r.method, r.path, r.host, a.id, r.deadline.Milliseconds())
	fmt.Fprintf(&head, "X-Work-Ms: %d\r\n", r.work.Milliseconds())
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	head.Write(r.body)
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		a.err = err
		return a
	}
	a.sent = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = readFailure(err)
		return a
	}
	a.status, a.stamp, a.echoed, a.close = response.StatusCode, response.Header.Get("X-Response-Stamp"), response.Header.Get("X-Request-Id"), response.Close
	a.body, err = io.ReadAll(response.Body)
	if err != nil {
		a.err = readFailure(err)
	}
	return a
}

func readFailure(err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return errDeadline
	}
	return err
}

// isReady asks a node whether it is ready.
func isReady(address string) bool {
	response, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address + "/turmericdale/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }
