package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout, target                   string
	attempts                          int
}

// node is one machine: a process of the system and the application server next to it.
type node struct {
	name, zone, service                      string
	outbound, inbound, ready, control, admin string
	server                                   *appServer
	process                                  *exec.Cmd
	logFile                                  *os.File
	settings                                 string
	ended                                    chan struct{}
	// stopped means that the platform sends no more clients to the node.
	stopped atomic.Bool
}

// takesClients reports whether clients may send new work to the node.
func (n *node) takesClients() bool { return !n.stopped.Load() }

// deployment is a small deployment on loopback.
type deployment struct {
	directory string
	binary    string
	store     *store
	nodes     []*node
}

// The ports of listeners lie below those that the kernel gives to outgoing connections, so that none of these takes one meanwhile.
const (
	firstPort = 15000
	lastPort  = 31000
)

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newDeployment prepares a deployment with one node for each service named, all in their zones.
func newDeployment(services []string, slots int) (*deployment, error) {
	directory, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	binary := os.Getenv("NODE_PROGRAM")
	if binary == "" {
		binary = "target/turmericdale"
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return nil, err
	}
	d := &deployment{directory: directory, binary: binary}
	if d.store, err = startStore(); err != nil {
		return nil, err
	}
	zones := []string{"leinster-a", "leinster-b", "leinster-c"}
	for i, service := range services {
		n := &node{name: fmt.Sprintf("sidecar-%d", i+1), zone: zones[i%len(zones)], service: service}
		for _, address := range []*string{&n.outbound, &n.inbound, &n.ready, &n.control, &n.admin} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		n.server = &appServer{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: service, zone: n.zone, version: "v1", slots: slots, control: n.control}
		d.nodes = append(d.nodes, n)
	}
	return d, nil
}

// start starts all nodes and servers, writes the configuration and waits until all nodes are ready and answer.
func (d *deployment) start(config []byte) error {
	d.store.writeAsOperator("config", config)
	for _, n := range d.nodes {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		n.server.start(listener)
	}
	for _, n := range d.nodes {
		if err := n.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// startNode starts the process of a node with the command of the deploy file.
func (d *deployment) startNode(n *node) error {
	n.settings = filepath.Join(d.directory, n.name+".jsonc")
	if err := os.WriteFile(n.settings, d.settingsOf(n), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(d.directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.logFile = logFile
	n.process = exec.Command(d.binary, "node", "run", "--settings", n.settings, "--grace-period=6s")
	n.process.Stdout, n.process.Stderr = logFile, logFile
	n.process.Env = append(os.Environ(), "TURMERICDALE_BOOT="+n.settings)
	// The process ends with this one, whatever happens.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), n.process
	n.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// settingsOf returns what the template deploy/node.jsonc gives for a machine of a small deployment.
func (d *deployment) settingsOf(n *node) []byte {
	text, _ := json.MarshalIndent(map[string]any{
		"name": n.name, "region": "leinster", "data_centre": n.zone, "service": n.service,
		"caller_address": n.outbound, "peer_address": n.inbound, "announce_address": n.control, "ready_address": n.ready,
		"admin_address": n.admin, "platform_address": d.store.address, "announce_interval": "1500ms", "operator_rows": true,
		"poll_interval": "2s", "processors": 1, "link_mbps": 1000.0, "max_body_bytes": 16777216, "stop_timeout": "600s", "leave_time": "2.3s",
		"retry_ratio": 0.2, "retry_slack": 60, "retry_reserve": 3, "memory_limit_bytes": 284000000, "max_descriptors": 4100,
		"headers": map[string]string{
			"request_id": "X-Request-Id", "time_left": "X-Deadline-Milliseconds", "expected_upstream": "X-Expected-Instance",
			"not_run": "X-Not-Executed", "caller_service": "X-Caller-Service", "stamp": "X-Response-Stamp", "limit": "Server-Limit",
			"leaving": "Server-Leaving", "workspace": "X-Tenant", "load": "X-Server-Load",
		},
	}, "", "  ")
	return text
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/turmericdale/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) waitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// stop ends all processes and servers that the deployment started, and removes its files unless KEEP is set.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.ended
		}
		if n.server.server != nil {
			n.server.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("files kept in", d.directory)
	}
}

// configOf returns an operator's configuration with routes and limits.
func configOf(version int, routes []route, services []string) []byte {
	type entry struct {
		Kind string         `json:"resource_kind"`
		Meta map[string]any `json:"metadata"`
		Spec map[string]any `json:"specification"`
	}
	var list []entry
	for _, r := range routes {
		list = append(list, entry{"routes", map[string]any{"name": r.name}, map[string]any{
			"host": r.host, "prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "target_latency": r.target, "priority": 1,
			"service": r.service, "attempts": r.attempts,
		}})
	}
	for _, s := range services {
		list = append(list, entry{"services", map[string]any{"name": s}, map[string]any{"health_check_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false}})
	}
	list = append(list, entry{"limits", map[string]any{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}})
	text, _ := json.Marshal(map[string]any{"version": version, "resources": list})
	return text
}

// waitServed sends requests to a node until one is answered with 200.
func waitServed(address, host, path string, timeout time.Duration) error {
	last := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		request, _ := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		request.Host = host
		request.Header.Set("X-Request-Id", "warm-"+fmt.Sprint(time.Now().UnixNano()))
		request.Header.Set("X-Deadline-Milliseconds", "1500")
		response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if last = response.Status; response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s serves nothing: %s", address, strings.TrimSpace(last))
}
