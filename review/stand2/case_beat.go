package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runForeignBeat lets another writer send heartbeats that lack fields to one node, while clients send requests of two services.
func runForeignBeat(r *record, trouble bool) (int, error) {
	const catalogue, orders = "huvo11a", "wuno96b"
	d, err := newDeployment([]string{catalogue, orders, orders}, 12)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, n := range d.nodes {
		n.server.workOf = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	routes := []route{
		{name: "r-n2ctnfz", host: "hulo84.example", prefix: "/leny950/", kind: "safe", timeout: "1500ms", target: "600ms", service: catalogue, attempts: 2},
		{name: "r-s989anu", host: "jepu9.example", prefix: "/puka111/", kind: "unsafe", timeout: "1200ms", target: "800ms", service: orders, attempts: 2},
	}
	if err := d.start(configOf(7, routes, []string{catalogue, orders})); err != nil {
		return 0, err
	}
	for _, n := range d.nodes {
		if err := waitServed(n.outbound, "hulo84.example", "/leny950/warm", 10*time.Second); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, n := range d.nodes {
		wait.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("place-%d-%d", i, k)
				status, err := placeOrder(n.outbound, id)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if err != nil {
					r.addf("client: %s: %v", id, err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	target := d.nodes[0]
	if trouble {
		for range 3 {
			// Two fields are missing: zone and born. The rest is well-formed.
			body, _ := json.Marshal(map[string]any{
				"service": orders, "address": target.server.address, "version": "v1", "slots": 12, "state": "ready", "cold_remaining": "0ms", "sequence_number": 4,
			})
			request, _ := http.NewRequest(http.MethodPut, "http://"+target.control+"/turmericdale/instances/"+target.server.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return 0, err
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			r.addf("another writer: PUT /turmericdale/instances/%s %s -> %s %s", target.server.id, body, response.Status, strings.TrimSpace(string(text)))
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	cancel()
	wait.Wait()
	r.addf("answers to the clients of %s by status: %v", orders, statuses)
	wrong := 0
	for _, n := range d.nodes {
		for _, ran := range n.server.allRuns() {
			isOrder := strings.HasPrefix(ran.Target, "/puka111/")
			if isOrder != (ran.Service == orders) {
				wrong++
				r.addf("run %s: %s %s by %s, a server of %s", ran.ID, ran.Method, ran.Target, ran.Instance, ran.Service)
			}
		}
		r.addf("%s (%s) ran %d requests", n.server.id, n.service, len(n.server.allRuns()))
	}
	if wrong > 0 {
		r.addf("ROUTE broken: %d requests were run by a service to which no configuration allows them to go", wrong)
		return exitBroken, nil
	}
	r.addf("ROUTE held")
	return exitHeld, nil
}

// placeOrder sends an unsafe request on a new connection and returns the status of its answer, or 0 without one.
func placeOrder(address, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: 2000\r\nContent-Length: 4\r\n\r\nwork", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
