package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The bounds of gnomon-mesh-large.
	largeGracePeriod = 10 * time.Second
	recordTimeout    = 4 * time.Second
	// stopWork is the work of the requests; the users' sheet gives restoration-record 880 ms in the mean, and up to 5,300 ms.
	stopWork = 3500 * time.Millisecond
	// stopSendFor is how long after the SIGTERM clients still send: until they have seen two questions of readiness missed.
	stopSendFor      = 1900 * time.Millisecond
	stopSendInterval = 150 * time.Millisecond
)

// runStop sends SIGTERM to a node while clients beside it send requests that take 3.5 s of the 10 s of grace.
func runStop(d *deployment, trouble bool) (verdict, error) {
	if err := startServing(d, nil); err != nil {
		return verdict{}, err
	}
	m := d.machines[0]
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	send := func(i int) {
		wait.Go(func() {
			c := &client{name: "c" + strconv.Itoa(i), node: m.address(portOutbound), record: d.record}
			defer c.closeConn()
			a := c.do(recordRequest(stopWork))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	stoppedAt := time.Now()
	if trouble {
		d.signal(m, syscall.SIGTERM)
	}
	for i := 0; time.Since(stoppedAt) < stopSendFor; i++ {
		send(i)
		time.Sleep(stopSendInterval)
	}
	wait.Wait()
	broken := 0
	first := ""
	for _, a := range answers {
		endedAt := a.sentAt.Add(a.took)
		switch {
		case a.whole() && a.stamp != "":
			// The server's own answer.
		case !a.sent, a.took >= recordTimeout, a.status == http.StatusServiceUnavailable && !d.ran(a.id):
			// Not read, ended at the route's timeout, or refused without having run.
		case endedAt.Sub(stoppedAt) >= largeGracePeriod*5/6 && a.sentAt.Sub(stoppedAt) <= 3*time.Second:
			// The server was still at work in the last sixth of the grace period.
		default:
			broken++
			if first == "" {
				first = fmt.Sprintf("%s, sent %.2f s after the SIGTERM, was cut %.2f s after it with status %d while its server was at work",
					a.id, a.sentAt.Sub(stoppedAt).Seconds(), endedAt.Sub(stoppedAt).Seconds(), a.status)
			}
		}
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf("%d of %d requests were cut; %s", broken, len(answers), first)}, nil
}

// ran reports whether a server has begun to run a request.
func (d *deployment) ran(id string) bool {
	data, err := os.ReadFile(d.record.file.Name())
	if err != nil {
		return false
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, " run server=") && strings.Contains(line, " id="+id+" ") {
			return true
		}
	}
	return false
}
