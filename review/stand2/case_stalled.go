package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heldConnections is above the three quarters of 4,100 descriptors that the node gives to clients.
	heldConnections = 3200
	// ordinaryClients is the number of ordinary clients that try at the same time: the rule asks for seven or more.
	ordinaryClients = 8
	tryInterval     = 200 * time.Millisecond
	watchDuration   = 12 * time.Second
	// stableWindow is the bound stable_window.
	stableWindow = 3 * time.Second
)

// try is one request of an ordinary client on a new connection.
type try struct {
	at     time.Time
	client int
	// answered means that the node read the request and answered it with whatever status.
	answered bool
	status   int
	detail   string
}

// runStalledBodies opens many connections whose chunked bodies stop just short of their end, and looks whether ordinary clients get through.
func runStalledBodies(r *record, trouble bool) (int, error) {
	d, err := newDeployment([]string{"huvo11a", "huvo11a", "huvo11a"}, 12)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, n := range d.nodes {
		n.server.workOf = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	routes := []route{{name: "r-n2ctnfz", host: "hulo84.example", prefix: "/leny950/", kind: "safe", timeout: "1500ms", target: "600ms", service: "huvo11a", attempts: 2}}
	if err := d.start(configOf(7, routes, []string{"huvo11a"})); err != nil {
		return 0, err
	}
	n := d.nodes[0]
	if err := waitServed(n.outbound, "hulo84.example", "/leny950/warm", 10*time.Second); err != nil {
		return 0, err
	}
	var open atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		for c := range heldConnections {
			go holdBody(n.outbound, c, &open, stop)
			if c%64 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		r.addf("%d connections to %s hold a chunked body in small chunks that lacks only its last chunk", open.Load(), n.name)
	}
	tries, notReady := watch(n, &open, r)
	return judgeTries(r, tries, notReady), nil
}

// watch lets ordinary clients try for watchDuration and returns their tries and the times at which the node was not ready.
func watch(n *node, open *atomic.Int64, r *record) ([]try, []time.Time) {
	var mu sync.Mutex
	var tries []try
	var notReady []time.Time
	var wait sync.WaitGroup
	until := time.Now().Add(watchDuration)
	for client := range ordinaryClients {
		wait.Go(func() {
			for round := 0; time.Now().Before(until); round++ {
				t := tryOnce(n.outbound, client, round)
				mu.Lock()
				tries = append(tries, t)
				mu.Unlock()
				r.addf("client %d, new connection: answered %t, status %d, %s", client, t.answered, t.status, t.detail)
				time.Sleep(tryInterval)
			}
		})
	}
	wait.Go(func() {
		// The platform asks each node once per second.
		for time.Now().Before(until) {
			ready := n.isReady()
			if !ready {
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
			}
			r.addf("platform asks %s: ready %t; %d connections are held", n.name, ready, open.Load())
			time.Sleep(time.Second)
		}
	})
	wait.Wait()
	return tries, notReady
}

// judgeTries looks for a span of stableWindow in which the node said that it was ready and no new connection of the clients was taken although all
// of them tried.
func judgeTries(r *record, tries []try, notReady []time.Time) int {
	answered := 0
	for _, t := range tries {
		if t.answered {
			answered++
		}
	}
	r.addf("ordinary clients: %d tries on new connections, %d answered", len(tries), answered)
	for _, first := range tries {
		from, to := first.at, first.at.Add(stableWindow)
		clients, taken, ready, complete := map[int]bool{}, 0, true, false
		for _, t := range tries {
			if !t.at.Before(to) {
				complete = true
			}
			if t.at.Before(from) || !t.at.Before(to) {
				continue
			}
			clients[t.client] = true
			if t.answered {
				taken++
			}
		}
		for _, at := range notReady {
			ready = ready && (at.Before(from) || at.After(to))
		}
		if complete && ready && taken == 0 && len(clients) >= 7 {
			r.addf("RECOVER broken: for %s the machine said that it was ready and took no new connection while %d clients tried", stableWindow, len(clients))
			return exitBroken
		}
	}
	r.addf("RECOVER held")
	return exitHeld
}

// tryOnce sends one ordinary request on a new connection.
func tryOnce(address string, client, round int) try {
	t := try{at: time.Now(), client: client}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.detail = err.Error()
		return t
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	fmt.Fprintf(conn, "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: ordinary-%d-%d\r\nX-Deadline-Milliseconds: 1500\r\n\r\n", client, round)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.detail = err.Error()
		return t
	}
	_, _ = io.Copy(io.Discard, response.Body)
	t.answered, t.status, t.detail = true, response.StatusCode, "answer read"
	return t
}

// holdBody sends a chunked body without its last chunk and keeps its connection open. If the node closes it, it begins again.
func holdBody(address string, number int, open *atomic.Int64, stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", address, 2*time.Second)
		if err == nil {
			open.Add(1)
			fmt.Fprintf(conn, "POST /leny950/upload HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: held-%d\r\nX-Deadline-Milliseconds: 1500\r\nTransfer-Encoding: chunked\r\n\r\n", number)
			for range 16 {
				_, _ = conn.Write([]byte("4\r\n0123\r\n"))
			}
			closed := make(chan struct{})
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				close(closed)
			}()
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-closed:
			}
			open.Add(-1)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
