package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// The bounds of gnomon-mesh.
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// badShare is the dose of gnomon-mesh: rollout_bad, how errors, share 0.47, for_s 14.
	badShare      = 0.47
	orderDuration = 14 * time.Second
	// serversAfter is how long after an order its servers start.
	serversAfter = time.Second
	// drainAfter is how long after rolled_back the servers of the version drain.
	drainAfter   = 8 * time.Second
	orderClients = 40
	orderWork    = 10 * time.Millisecond
	orderPause   = 50 * time.Millisecond
)

// badVersion counts what the servers of the bad version saw.
type badVersion struct {
	mu       sync.Mutex
	bad      int
	fiftieth time.Time
	// late holds the requests that arrived more than rollbackBound after the fiftieth bad answer.
	late, total int
}

func (b *badVersion) arrived(*http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if !b.fiftieth.IsZero() && time.Since(b.fiftieth) > rollbackBound {
		b.late++
	}
}

func (b *badVersion) answered(good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if good {
		return
	}
	if b.bad++; b.bad == badAnswers {
		b.fiftieth = time.Now()
	}
}

// order writes the order of a roll-out and starts two machines with servers of the version.
func (d *deployment) order(version string, prepare func(m *machine)) ([]*machine, error) {
	order := map[string]any{"service": "catalogue", "to": version, "duration": millis(orderDuration)}
	if err := d.store.put("op", "rollout/catalogue", order); err != nil {
		return nil, err
	}
	d.record.add("order", "service", "catalogue", "to", version)
	var added []*machine
	for _, zone := range []string{"leinster-a", "leinster-b"} {
		m := d.addMachine(machineSpec{zone, "catalogue"})
		if err := d.startNode(m); err != nil {
			return nil, err
		}
		added = append(added, m)
	}
	time.Sleep(serversAfter)
	for _, m := range added {
		err := d.startServer(m, func(m *machine) {
			m.server.version = version
			prepare(m)
		})
		if err != nil {
			return nil, err
		}
	}
	return added, nil
}

func (d *deployment) rolloutState(version string) string {
	var status struct{ State, To string }
	if json.Unmarshal(d.store.value("status", "rollout/catalogue"), &status) != nil || status.To != version {
		return ""
	}
	return status.State
}

// runOrder orders a bad version, waits until it is rolled back and then, with the trouble, orders the next version while the
// servers of the bad one have not drained yet.
func runOrder(d *deployment, trouble bool) (verdict, error) {
	if err := startServing(d, nil); err != nil {
		return verdict{}, err
	}
	end := make(chan struct{})
	var wait sync.WaitGroup
	clientMachines := len(d.machines)
	for i := range orderClients {
		address := d.machines[i%clientMachines].address(portOutbound)
		wait.Go(func() {
			c := &client{name: "c" + strconv.Itoa(i), node: address, record: d.record}
			defer c.closeConn()
			for {
				select {
				case <-end:
					return
				case <-time.After(orderPause):
					c.do(orderRequest(orderWork, 400))
				}
			}
		})
	}
	defer wait.Wait()
	defer close(end)
	time.Sleep(2 * time.Second)
	bad := &badVersion{}
	old, err := d.order("v2", func(m *machine) {
		m.server.failShare, m.server.onArrival, m.server.onAnswer = badShare, bad.arrived, bad.answered
	})
	if err != nil {
		return verdict{}, err
	}
	if err := await(20*time.Second, "v2 to be rolled back", func() bool { return d.rolloutState("v2") == "rolled_back" }); err != nil {
		return verdict{}, err
	}
	rolledBackAt := time.Now()
	d.record.add("status", "to", "v2", "state", "rolled_back", "bad_answers", bad.bad, "arrivals", bad.total)
	if trouble {
		if _, err := d.order("v3", func(*machine) {}); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(rolledBackAt.Add(drainAfter)))
	for _, m := range old {
		m.server.drain()
	}
	time.Sleep(time.Second)
	bad.mu.Lock()
	defer bad.mu.Unlock()
	text := fmt.Sprintf("%d requests reached the bad version later than %s after its 50th bad answer; in all it got %d and answered %d badly", bad.late, rollbackBound, bad.total, bad.bad)
	if !bad.fiftieth.IsZero() {
		text += fmt.Sprintf("; its 50th bad answer came %.2f s after it was rolled back", bad.fiftieth.Sub(rolledBackAt).Seconds())
	}
	return verdict{broken: bad.late > 0, text: text}, nil
}
