package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// garbleShare and garbleRate are within the doses of the site: 0.6 of the servers spoil 0.05 of their answers.
	garbledServers = 2
	garbleRate     = 0.05
	garbleDuration = 5 * time.Second
)

// spoiledAnswer writes a whole answer in which one bit of one header's name is wrong, and closes the connection.
func (s *appServer) spoiledAnswer(w http.ResponseWriter, id string, answer []byte) (string, bool) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return "", false
	}
	lines := []string{
		"X-Request-Id: " + id, "X-Response-Stamp: " + stampOf(s.id, id, answer), fmt.Sprintf("X-Server-Load: 1,0,%d", s.slots), "Keep-Alive: timeout=10",
		fmt.Sprintf("Content-Length: %d", len(answer)),
	}
	chosen := rand.IntN(len(lines))
	name := strings.IndexByte(lines[chosen], ':')
	spoiled := []byte(lines[chosen])
	spoiled[rand.IntN(name)] ^= 1
	lines[chosen] = string(spoiled)
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return "", false
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Join(lines, "\r\n")+"\r\n\r\n"+string(answer))
	_ = conn.Close()
	return string(spoiled), true
}

// runSpoiledStamp lets two of three servers spoil some of their answers, and looks for successes without the server's stamp.
func runSpoiledStamp(r *record, trouble bool) (int, error) {
	d, err := newDeployment([]string{"huvo11a", "huvo11a", "huvo11a"}, 12)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, n := range d.nodes {
		n.server.workOf = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	routes := []route{
		{name: "r-n2ctnfz", host: "hulo84.example", prefix: "/leny950/", kind: "safe", timeout: "1500ms", target: "600ms", service: "huvo11a", attempts: 2},
		{name: "r-s989anu", host: "jepu9.example", prefix: "/puka111/", kind: "unsafe", timeout: "1200ms", target: "800ms", service: "huvo11a", attempts: 2},
	}
	if err := d.start(configOf(7, routes, []string{"huvo11a"})); err != nil {
		return 0, err
	}
	for _, n := range d.nodes {
		if err := waitServed(n.outbound, "hulo84.example", "/leny950/warm", 10*time.Second); err != nil {
			return 0, err
		}
	}
	if trouble {
		for _, n := range d.nodes[:garbledServers] {
			n.server.spoil = func(id string) bool { return rand.Float64() < garbleRate }
			n.server.onSpoiled = func(id, line string) { r.addf("%s spoils its answer to %s: %q", n.server.id, id, line) }
		}
		r.addf("from now on, %d of 3 servers spoil one in %d of their answers, for %s", garbledServers, int(1/garbleRate), garbleDuration)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses, broken := map[string]int{}, 0
	until := time.Now().Add(garbleDuration)
	for client := range 12 {
		wait.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				id, host, method, path := fmt.Sprintf("c%d-%d", client, k), "hulo84.example", "GET", "/leny950/2f"
				if client%3 == 0 {
					host, method, path = "jepu9.example", "POST", "/puka111/2f"
				}
				status, header, body, err := oneRequest(d.nodes[client%3].outbound, host, method, path, id)
				stamp := header.Get("X-Response-Stamp")
				mu.Lock()
				statuses[fmt.Sprintf("%d, stamp %t", status, stamp != "")]++
				if err == nil && status/100 == 2 && stamp == "" {
					broken++
					r.addf("client: %s %s, id %s: status %d, %d bytes, no X-Response-Stamp; headers %v", method, path, id, status, len(body), header)
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	r.addf("answers: %v", statuses)
	if broken > 0 {
		r.addf("MIXED broken: %d clients got a success without the server's X-Response-Stamp", broken)
		return exitBroken, nil
	}
	r.addf("MIXED held")
	return exitHeld, nil
}

// oneRequest sends a request on a new connection and reads its answer.
func oneRequest(address, host, method, path, id string) (int, http.Header, []byte, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, http.Header{}, nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: 2000\r\nContent-Length: 0\r\n\r\n", method, path, host, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, http.Header{}, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}
