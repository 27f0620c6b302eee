package main

import (
	"bytes"
	"net/http"
	"syscall"
	"time"
)

const (
	archiveHost   = "archive.example"
	archivePrefix = "/records/"
	orderHost     = "orders.example"
	orderPrefix   = "/orders/"
)

// smallConfig has a safe route to the archive and an unsafe one to the catalogue, with the times of the users' sheets.
func smallConfig() map[string]any {
	return map[string]any{"version": 3, "resources": []any{
		route("r-record", archiveHost, archivePrefix, "safe", "archive", 4*time.Second, 2500*time.Millisecond, 2, 2),
		route("r-order", orderHost, orderPrefix, "unsafe", "catalogue", 2*time.Second, 800*time.Millisecond, 1, 2),
		service("archive"), service("catalogue"), limits(),
	}}
}

func recordRequest(work time.Duration) request {
	return request{method: http.MethodGet, host: archiveHost, path: archivePrefix + "7", deadline: 6 * time.Second, work: work}
}

func orderRequest(work time.Duration, bytes int) request {
	return request{method: http.MethodPost, host: orderHost, path: orderPrefix + "place", deadline: 2 * time.Second, work: work, body: filler(bytes)}
}

func filler(length int) []byte { return bytes.Repeat([]byte("x"), length) }

// startServing starts the deployment and waits until every node serves both routes.
func startServing(d *deployment, prepare func(m *machine)) error {
	if err := d.start(smallConfig(), prepare); err != nil {
		return err
	}
	if err := d.awaitServed(recordRequest(time.Millisecond)); err != nil {
		return err
	}
	return d.awaitServed(orderRequest(time.Millisecond, 100))
}

// signal sends a signal to the node of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record.add("signal", "node", m.name, "signal", s)
	_ = m.node.Process.Signal(s)
}
