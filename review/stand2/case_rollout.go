package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	rolloutService  = "kafi81c"
	rolloutHost     = "yele84.example"
	rolloutWork     = 2200 * time.Millisecond
	rolloutTimeout  = 4 * time.Second
	rolloutDeadline = 6 * time.Second
	rolloutDuration = 14 * time.Second
	oldMachines     = 3
)

// sentRequest is one request of a client and what became of it.
type sentRequest struct {
	id       string
	node     *node
	sent     time.Time
	answered time.Time
	status   int
	stamped  bool
	whole    bool
	detail   string
}

// runGoodRollout moves a service to a good version whose work takes a little over half of the route's timeout, as that of the old one does.
func runGoodRollout(r *record, trouble bool) (int, error) {
	services := make([]string, 2*oldMachines)
	for i := range services {
		services[i] = rolloutService
	}
	d, err := newDeployment(services, 12)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for i, n := range d.nodes {
		n.server.workOf = func(*http.Request) time.Duration { return rolloutWork }
		if i >= oldMachines {
			n.server.version = "v2"
		}
	}
	routes := []route{{name: "r-k2", host: rolloutHost, prefix: "/yede423/", kind: "safe", timeout: "4s", target: "2500ms", service: rolloutService, attempts: 2}}
	all := d.nodes
	d.nodes = all[:oldMachines]
	if err := d.start(configOf(7, routes, []string{rolloutService})); err != nil {
		return 0, err
	}
	r.addf("three machines with servers of v1 are ready; each request takes %s at a server of either version, the route's timeout is %s", rolloutWork, rolloutTimeout)
	var mu sync.Mutex
	var requests []*sentRequest
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait.Go(func() {
		for k := 0; ctx.Err() == nil; k++ {
			n := all[k%oldMachines]
			if !n.takesClients() {
				time.Sleep(30 * time.Millisecond)
				continue
			}
			request := &sentRequest{id: fmt.Sprintf("record-%d", k), node: n, sent: time.Now()}
			mu.Lock()
			requests = append(requests, request)
			mu.Unlock()
			wait.Go(func() { request.send() })
			time.Sleep(75 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	terminated := time.Time{}
	if trouble {
		terminated, err = d.moveToNewVersion(r, all)
		if err != nil {
			cancel()
			wait.Wait()
			return 0, err
		}
	} else {
		time.Sleep(rolloutDuration)
	}
	time.Sleep(500 * time.Millisecond)
	cancel()
	wait.Wait()
	return judgeRollout(r, requests, all, terminated), nil
}

// moveToNewVersion starts the servers of v2 beside the others, orders the rollout, waits until it is completed, and then stops the old servers and
// their machines, as the pages say.
func (d *deployment) moveToNewVersion(r *record, all []*node) (time.Time, error) {
	for _, n := range all[oldMachines:] {
		if err := d.startNode(n); err != nil {
			return time.Time{}, err
		}
		d.nodes = append(d.nodes, n)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return time.Time{}, err
		}
		n.server.start(listener)
	}
	order, _ := json.Marshal(map[string]string{"service": rolloutService, "to": "v2", "duration": "14s"})
	d.store.writeAsOperator("rollout/"+rolloutService, order)
	r.addf("operator orders: op/rollout/%s %s", rolloutService, order)
	for deadline := time.Now().Add(rolloutDuration + 6*time.Second); ; time.Sleep(20 * time.Millisecond) {
		state := d.store.status("rollout/" + rolloutService)
		if state == "completed" {
			break
		}
		if state == "rolled_back" || time.Now().After(deadline) {
			return time.Time{}, fmt.Errorf("the rollout is %q", state)
		}
	}
	// "At `completed`, the old servers stop immediately, without draining." "A node receives SIGTERM after its server has terminated."
	for _, n := range all[:oldMachines] {
		n.server.stop()
	}
	terminated := time.Now()
	for _, n := range all[:oldMachines] {
		n.stopped.Store(true)
		_ = n.process.Process.Signal(syscall.SIGTERM)
	}
	r.addf("status is completed; the servers of v1 have stopped, their machines get SIGTERM")
	return terminated, nil
}

// judgeRollout counts the requests at which a server of the new version was at work when the node broke them off, and that got an answer of the node's
// own after SIGTERM, before the route's timeout.
func judgeRollout(r *record, requests []*sentRequest, all []*node, terminated time.Time) int {
	cut := map[string]run{}
	for _, n := range all[oldMachines:] {
		for _, ran := range n.server.allRuns() {
			if !ran.Cut.IsZero() {
				cut[ran.ID] = ran
			}
		}
	}
	statuses, broken := map[string]int{}, 0
	for _, q := range requests {
		took := q.answered.Sub(q.sent)
		ran, wasCut := cut[q.id]
		statuses[fmt.Sprintf("%d, stamp %t, whole %t, run at v2 broken off: %t", q.status, q.stamped, q.whole, wasCut)]++
		if terminated.IsZero() || !wasCut || q.stamped || q.answered.Before(terminated) || q.sent.After(terminated) || took >= rolloutTimeout {
			continue
		}
		broken++
		r.addf("%s: sent to %s %.3f s before SIGTERM; %s (v2) ran it and was broken off after %s; answered %d %q without a stamp %.3f s after SIGTERM, after %s in all",
			q.id, q.node.name, terminated.Sub(q.sent).Seconds(), ran.Instance, ran.Cut.Sub(ran.At).Round(time.Millisecond), q.status, q.detail,
			q.answered.Sub(terminated).Seconds(), took.Round(time.Millisecond))
	}
	for key, count := range statuses {
		r.addf("%d requests: status %s", count, key)
	}
	if broken > 0 {
		r.addf("LOST broken: after SIGTERM, %d requests at which a server was at work had been broken off and got an answer of the node's own, before the route's timeout", broken)
		return exitBroken
	}
	r.addf("LOST held")
	return exitHeld
}

// send sends the request on a new connection and waits for its answer.
func (q *sentRequest) send() {
	defer func() { q.answered = time.Now() }()
	conn, err := net.DialTimeout("tcp", q.node.outbound, time.Second)
	if err != nil {
		q.detail = err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(q.sent.Add(rolloutDeadline))
	fmt.Fprintf(conn, "GET /yede423/no3 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n\r\n", rolloutHost, q.id, rolloutDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		q.detail = err.Error()
		return
	}
	body, err := io.ReadAll(response.Body)
	q.status, q.whole, q.detail = response.StatusCode, err == nil, string(body)
	q.stamped = stampIsRight(response.Header.Get("X-Response-Stamp"), q.id, body)
}
