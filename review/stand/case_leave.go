package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// The bounds of gnomon-mesh.
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
	// leaveServesFor is how long the server serves after its DELETE was acknowledged.
	leaveServesFor = 14 * time.Second
	// lateBeat is how late one heartbeat arrives.
	lateBeat      = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	killAfter     = 300 * time.Millisecond
	leaveClients  = 8
	leaveInterval = 30 * time.Millisecond
)

// runLeave kills and restarts a node after it acknowledged that its server leaves; a heartbeat that the server sent before
// arrives late.
func runLeave(d *deployment, trouble bool) (verdict, error) {
	if err := startServing(d, nil); err != nil {
		return verdict{}, err
	}
	m := d.machines[2]
	var mu sync.Mutex
	var arrivals []time.Time
	m.server.onArrival = func(*http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	end := make(chan struct{})
	var wait sync.WaitGroup
	for i := range leaveClients {
		wait.Go(func() {
			// Clients are beside the machines that are not disturbed.
			c := &client{name: "c" + strconv.Itoa(i), node: d.machines[i%2].address(portOutbound), record: d.record}
			defer c.closeConn()
			for {
				select {
				case <-end:
					return
				case <-time.After(leaveInterval):
					c.do(recordRequest(20 * time.Millisecond))
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	late := m.server.beat("ready")
	sentAt := time.Now()
	if err := m.server.leave(); err != nil {
		return verdict{}, err
	}
	acknowledgedAt := time.Now()
	d.record.add("left", "server", m.server.id, "node", m.name)
	restartedAt := acknowledgedAt
	if trouble {
		time.Sleep(killAfter)
		d.signal(m, syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartDelay)
		if err := d.startNode(m); err != nil {
			return verdict{}, err
		}
		restartedAt = time.Now()
	}
	time.Sleep(time.Until(sentAt.Add(lateBeat)))
	err := sendBeat(m.control, m.server.id, late)
	d.record.add("late_heartbeat", "server", m.server.id, "node", m.name, "sequence", late["sequence_number"], "err", err)
	time.Sleep(time.Until(acknowledgedAt.Add(leaveServesFor)))
	m.server.stop()
	close(end)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	count, first, last := 0, time.Duration(0), time.Duration(0)
	for _, at := range arrivals {
		if after := at.Sub(acknowledgedAt); after > drainBound && at.After(restartedAt.Add(stableWindow)) {
			count++
			if first == 0 {
				first = after
			}
			last = after
		}
	}
	return verdict{broken: count > 0, text: fmt.Sprintf("%d requests reached the server from %.2f to %.2f s after the acknowledgement, sent on by a machine in touch (restarted %.2f s after it)",
		count, first.Seconds(), last.Seconds(), restartedAt.Sub(acknowledgedAt).Seconds())}, nil
}
