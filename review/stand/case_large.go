package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimitKB is the limit of a process on the machines of gnomon-mesh, 284 MB, in the larger reading of the unit.
	memoryLimitKB = 284 << 10
	// uploadBytes is a quarter of max_body_bytes in the users' example of a configuration, and below the limit of the settings.
	uploadBytes = 16_000_000
	// uploads come beside ordinaryClients: 1.67 times the usual clients of a machine, where a burst has 1.7 times at most.
	uploads = 8
	// largeRounds is the number of times that clients upload at a machine.
	largeRounds     = 3
	ordinaryClients = 12
	ordinaryWork    = 290 * time.Millisecond
	ordinaryPause   = 50 * time.Millisecond
	watchInterval   = 2 * time.Millisecond
	// maxLost is the number of requests that the rule LOST allows.
	maxLost = 3
)

// memoryWatch kills and restarts nodes that exceed the memory limit, as the platform does.
type memoryWatch struct {
	d *deployment

	mu       sync.Mutex
	peakKB   map[string]int
	exceeded map[string]int
	err      error
}

func (w *memoryWatch) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		for _, m := range w.d.machines {
			w.check(m)
		}
	}
}

func (w *memoryWatch) check(m *machine) {
	kilobytes := residentKB(m.node.Process.Pid)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peakKB[m.name] = max(w.peakKB[m.name], kilobytes)
	if kilobytes <= memoryLimitKB {
		return
	}
	w.exceeded[m.name]++
	w.d.record.add("memory_limit", "node", m.name, "resident_kb", kilobytes, "limit_kb", memoryLimitKB)
	w.d.signal(m, syscall.SIGKILL)
	<-m.ended
	time.Sleep(restartDelay)
	if err := w.d.startNode(m); err != nil {
		w.err = err
	}
}

// runLarge has clients upload large bodies, several at once or, without the trouble, one after the other, while others send
// ordinary requests on connections that they keep.
func runLarge(d *deployment, trouble bool) (verdict, error) {
	if err := startServing(d, nil); err != nil {
		return verdict{}, err
	}
	watch := &memoryWatch{d: d, peakKB: map[string]int{}, exceeded: map[string]int{}}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		watch.run(stop)
	}()
	end := make(chan struct{})
	var mu sync.Mutex
	var lost []answer
	var wait sync.WaitGroup
	for i := range 2 * ordinaryClients {
		wait.Go(func() {
			c := &client{name: "ordinary" + strconv.Itoa(i), node: d.machines[2+i%2].address(portOutbound), record: d.record}
			defer c.closeConn()
			for {
				select {
				case <-end:
					return
				default:
				}
				kept := c.conn != nil
				a := c.do(orderRequest(ordinaryWork, 4000))
				if a.err != nil && !errors.Is(a.err, errDeadline) && kept && a.sent && d.ran(a.id) {
					mu.Lock()
					lost = append(lost, a)
					mu.Unlock()
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	var err error
	for round := 0; round < largeRounds && err == nil; round++ {
		for _, m := range d.machines[2:] {
			uploadAt(d, m, trouble)
			if err = await(15*time.Second, m.name+" to be ready", func() bool { return isReady(m.address(portReady)) }); err != nil {
				break
			}
			time.Sleep(3 * time.Second)
		}
	}
	close(end)
	wait.Wait()
	close(stop)
	<-watched
	if err = errors.Join(err, watch.err); err != nil {
		return verdict{}, err
	}
	return verdict{broken: len(lost) > maxLost, text: fmt.Sprintf(
		"%d requests were passed on to a sound server from kept connections that then closed without an answer; processes that exceeded %d KB: %v; largest resident sizes in KB: %v",
		len(lost), memoryLimitKB, watch.exceeded, watch.peakKB)}, nil
}

// uploadAt sends the uploads to the node of a machine, all at once if together is set.
func uploadAt(d *deployment, m *machine, together bool) {
	var wait sync.WaitGroup
	for i := range uploads {
		wait.Go(func() {
			c := &client{name: "upload" + strconv.Itoa(i), node: m.address(portOutbound), record: d.record}
			c.do(orderRequest(20*time.Millisecond, uploadBytes))
			c.closeConn()
		})
		if !together {
			wait.Wait()
		}
	}
	wait.Wait()
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes
		}
	}
	return 0
}
