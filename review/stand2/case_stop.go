package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	stopHost = "jepu9.example"
	// reportBytes is the size of the large answer, readBytesPerSecond the rate at which its client takes it: 12 MiB within 4 s.
	reportBytes        = 12 << 20
	readBytesPerSecond = 3 << 20
	stopDeadline       = 12 * time.Second
)

// runStopSlowReader stops a node by SIGTERM while a client is reading a large answer, steadily, and would have it whole in good time.
func runStopSlowReader(r *record, trouble bool) (int, error) {
	d, err := newDeployment([]string{"wuno96b", "wuno96b", "wuno96b"}, 12)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, n := range d.nodes {
		n.server.workOf = func(*http.Request) time.Duration { return 50 * time.Millisecond }
		n.server.bodyOf = func(request *http.Request, _ []byte) []byte {
			if request.URL.Path == "/puka111/report" {
				return bytes.Repeat([]byte("0123456789abcde\n"), reportBytes/16)
			}
			return []byte("ok")
		}
	}
	routes := []route{{name: "r-s989anu", host: stopHost, prefix: "/puka111/", kind: "unsafe", timeout: "12s", target: "800ms", service: "wuno96b", attempts: 2}}
	if err := d.start(configOf(7, routes, []string{"wuno96b"})); err != nil {
		return 0, err
	}
	n := d.nodes[0]
	if err := waitServed(n.outbound, stopHost, "/puka111/warm", 10*time.Second); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10)
	}
	id, sent := "9c41d07be2a35f68", time.Now()
	fmt.Fprintf(conn, "POST /puka111/report HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nContent-Length: 4\r\n\r\nwork", stopHost, id, stopDeadline.Milliseconds())
	r.addf("client sent POST /puka111/report, id %s, deadline %s, to %s", id, stopDeadline, n.name)
	reader := bufio.NewReaderSize(conn, 16<<10)
	_ = conn.SetReadDeadline(sent.Add(stopDeadline))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	r.addf("head of the answer: %s, Content-Length %s, stamp %s", response.Status, response.Header.Get("Content-Length"), response.Header.Get("X-Response-Stamp"))
	var terminatedAt time.Time
	if trouble {
		if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		terminatedAt = time.Now()
		r.addf("SIGTERM to %s", n.name)
	}
	body, readErr := readSlowly(response.Body)
	ended := time.Now()
	r.addf("the answer ended after %s: %d of %d bytes, error: %v", ended.Sub(sent).Round(time.Millisecond), len(body), reportBytes, readErr)
	runs := 0
	for _, other := range d.nodes {
		for _, ran := range other.server.allRuns() {
			if ran.ID == id {
				runs++
				r.addf("run of %s at %s (%s)", ran.ID, ran.Instance, ran.Service)
			}
		}
	}
	if trouble {
		select {
		case <-n.ended:
			r.addf("process of %s ended by itself %s after SIGTERM at the latest: %s", n.name, time.Since(terminatedAt).Round(time.Millisecond), n.process.ProcessState)
		default:
			r.addf("process of %s still runs", n.name)
		}
	}
	whole := readErr == nil && len(body) == reportBytes && strconv.Itoa(len(body)) == response.Header.Get("Content-Length") &&
		stampIsRight(response.Header.Get("X-Response-Stamp"), id, body)
	switch {
	case whole:
		r.addf("LOST held: the client has the whole answer")
		return exitHeld, nil
	case runs == 0:
		return 0, fmt.Errorf("the request was not run")
	case ended.Sub(sent) >= stopDeadline:
		return 0, fmt.Errorf("the deadline was reached: it excuses the node")
	case trouble && ended.Sub(terminatedAt) >= 6*time.Second:
		return 0, fmt.Errorf("the grace period had ended")
	}
	r.addf("LOST broken: the request was read whole and run, and its connection ended without a complete answer, %s after it was sent (deadline and timeout 12 s) and %s after SIGTERM (grace period 6 s)",
		ended.Sub(sent).Round(time.Millisecond), ended.Sub(terminatedAt).Round(time.Millisecond))
	return exitBroken, nil
}

// readSlowly reads at readBytesPerSecond, without a pause of more than 20 ms.
func readSlowly(from io.Reader) ([]byte, error) {
	var all []byte
	buffer := make([]byte, 16<<10)
	for started := time.Now(); ; {
		if ahead := time.Duration(float64(len(all))/readBytesPerSecond*float64(time.Second)) - time.Since(started); ahead > 0 {
			time.Sleep(ahead)
		}
		n, err := from.Read(buffer)
		all = append(all, buffer[:n]...)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}
