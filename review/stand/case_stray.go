package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// The dose of gnomon-mesh: garble, how extra late, share 0.6, x 0.03, for 5 s.
	strayShare    = 0.6
	strayFraction = 0.03
	strayFor      = 5 * time.Second
	strayClients  = 24
)

// strayBytes belong to no request: they carry neither an id nor a stamp.
const strayBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nstray\n"

// strayShed are the bytes with STRAY=shed: the users' example of an answer of a server that sheds, without an id as there.
const strayShed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// runStray has some servers send additional bytes after 3 in 100 of their answers, late: while the next request of the
// connection runs.
func runStray(d *deployment, trouble bool) (verdict, error) {
	stray := strayBytes
	if os.Getenv("STRAY") == "shed" {
		stray = strayShed
	}
	var mu sync.Mutex
	until := time.Time{}
	runs := map[string]int{}
	pending := map[string]bool{}
	err := startServing(d, func(m *machine) {
		m.server.onArrival = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.Header.Get("X-Request-Id")]++
		}
		if m.zone != "leinster-a" {
			// One of the two servers of each service is faulty: 0.5 of them, where the sheet allows strayShare.
			return
		}
		m.server.beforeAnswer = func(connection int64, served int) []byte {
			mu.Lock()
			defer mu.Unlock()
			key := fmt.Sprintf("%s/%d", m.server.id, connection)
			due := pending[key]
			pending[key] = trouble && time.Now().Before(until) && rand.Float64() < strayFraction
			if !due || served == 0 {
				return nil
			}
			return []byte(stray)
		}
	})
	if err != nil {
		return verdict{}, err
	}
	mu.Lock()
	until = time.Now().Add(strayFor)
	mu.Unlock()
	var wait sync.WaitGroup
	var answers []answer
	for i := range strayClients {
		wait.Go(func() {
			c := &client{name: "c" + strconv.Itoa(i), node: d.machines[i%len(d.machines)].address(portOutbound), record: d.record}
			defer c.closeConn()
			for end := time.Now().Add(strayFor + time.Second); time.Now().Before(end); {
				r := recordRequest(40 * time.Millisecond)
				if i%2 == 0 {
					r = orderRequest(40*time.Millisecond, 400)
				}
				a := c.do(r)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	mixed, twice, refused, first := 0, 0, 0, ""
	for _, a := range answers {
		if a.method == http.MethodPost && runs[a.id] > 1 {
			twice++
		}
		if a.method == http.MethodPost && a.whole() && a.status == http.StatusServiceUnavailable && runs[a.id] > 0 {
			refused++
		}
		if a.whole() && a.status/100 == 2 && a.stamp != stamp(a.id, a.body) {
			mixed++
			if first == "" {
				first = fmt.Sprintf("%s got status %d, stamp %q and body %q", a.id, a.status, a.stamp, a.body)
			}
		}
	}
	return verdict{broken: mixed+twice+refused > 0, text: fmt.Sprintf(
		"%d of %d answers were successes without the server's stamp (MIXED), %d unsafe requests ran more than once (TWICE), %d were answered 503 and had run (REFUSED); %s",
		mixed, len(answers), twice, refused, first)}, nil
}
