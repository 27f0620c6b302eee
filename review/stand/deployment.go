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
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	portInbound  = 8300
	portServer   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portStore    = 8309
	portAdmin    = 9464
)

// machine is one sidecar machine: a node process and the server beside it, on a loopback address of their own.
type machine struct {
	name, zone, service, ip string
	node                    *exec.Cmd
	ended                   chan struct{}
	server                  *server
	// control is where the server sends its heartbeats; it differs from the node's address if a proxy stands between.
	control string
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	directory string
	record    *record
	store     *store
	prefix    string
	storeIP   string
	machines  []*machine
	// bounds replaces placeholders of the settings template.
	bounds map[string]string
}

type machineSpec struct{ zone, service string }

// spareMachines is the number of machines that a case may add.
const spareMachines = 4

func newDeployment(r *record, specs []machineSpec) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{directory: directory, record: r, store: newStore(), bounds: map[string]string{
		"bounds.retry_budget_ratio|json": "0.2", "bounds.retry_budget_slack|json": "60", "limits.link_mbps|json": "1000.0",
		"heartbeat_interval": millis(heartbeatInterval), "region|json": `"leinster"`,
	}}
	prefix, err := freePrefix(len(specs) + spareMachines + 1)
	if err != nil {
		return nil, err
	}
	d.storeIP = prefix + ".1"
	d.prefix = prefix
	for _, s := range specs {
		d.addMachine(s)
	}
	return d, nil
}

// addMachine adds a machine without starting its processes.
func (d *deployment) addMachine(s machineSpec) *machine {
	number := len(d.machines) + 1
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", s.zone, number), zone: s.zone, service: s.service, ip: fmt.Sprintf("%s.%d", d.prefix, number+1)}
	m.control = m.address(portControl)
	d.machines = append(d.machines, m)
	return m
}

// freePrefix returns the first three numbers of loopback addresses on which the ports of a deployment are free.
func freePrefix(count int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range count {
			for _, port := range []int{portInbound, portServer, portReady, portOutbound, portControl, portStore, portAdmin} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// startStore serves the store.
func (d *deployment) startStore() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.storeIP, portStore))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, d.store.handler()) }()
	return nil
}

// The limits of a machine.
const (
	machineMemoryMB    = 284
	machineDescriptors = 4100
)

var emptySection = regexp.MustCompile(`(?m)^\s*\{\{#.*\{\{/.*\}\}\n`)

// settings renders the template of the deploy file for a machine.
func (d *deployment) settings(m *machine) (string, error) {
	template, err := os.ReadFile("deploy/node.jsonc")
	if err != nil {
		return "", err
	}
	text := string(template)
	fields := map[string]string{
		"node_name|json": quote(m.name), "zone|json": quote(m.zone), "service|json": quote(m.service),
		"listen_addresses.outbound|json": quote(m.address(portOutbound)), "listen_addresses.inbound|json": quote(m.address(portInbound)),
		"listen_addresses.control|json": quote(m.address(portControl)), "listen_addresses.ready|json": quote(m.address(portReady)),
		"limits.memory_mb|json": strconv.Itoa(machineMemoryMB), "limits.file_descriptors|json": strconv.Itoa(machineDescriptors),
		"ip_address": m.ip, "platform.address|json": quote(fmt.Sprintf("%s:%d", d.storeIP, portStore)),
	}
	for name, value := range d.bounds {
		fields[name] = value
	}
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	// The sections of the template hold bounds that this deployment does not have.
	text = emptySection.ReplaceAllString(text, "")
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("the template has an unknown placeholder: %.40s", text[i:])
	}
	return text, nil
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}

// startNode starts the node of a machine with the command of the deploy file.
func (d *deployment) startNode(m *machine) error {
	text, err := d.settings(m)
	if err != nil {
		return err
	}
	file := filepath.Join(d.directory, m.name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	node := exec.Command("target/turmericdale", "node", "run", "--settings", file)
	node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TURMERICDALE_BOOT=" + file}
	node.Stdout, node.Stderr = log, log
	if err := node.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.node, m.ended = node, ended
	d.record.add("start", "node", m.name, "address", m.ip, "service", m.service, "pid", node.Process.Pid)
	go func() {
		err := node.Wait()
		d.record.add("end", "node", m.name, "pid", node.Process.Pid, "result", fmt.Sprint(err))
		close(ended)
	}()
	return nil
}

// start starts the store, all nodes and a server beside each, puts a configuration and waits until all nodes serve it.
func (d *deployment) start(config map[string]any, prepare func(m *machine)) error {
	if err := d.startStore(); err != nil {
		return err
	}
	if err := d.store.put("op", "config", config); err != nil {
		return err
	}
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := d.startServer(m, prepare); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server beside the node of a machine.
func (d *deployment) startServer(m *machine, prepare func(m *machine)) error {
	m.server = &server{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: m.service, zone: m.zone, address: m.address(portServer),
		control: m.control, record: d.record,
	}
	if prepare != nil {
		prepare(m)
	}
	return m.server.start()
}

// await waits until a condition holds.
func await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("timed out waiting for " + what)
}

// awaitServed waits until each node serves some requests of a kind in a row.
func (d *deployment) awaitServed(r request) error {
	for _, m := range d.machines {
		c := &client{name: "probe", node: m.address(portOutbound), record: d.record}
		inRow := 0
		err := await(20*time.Second, m.name+" to serve", func() bool {
			if a := c.do(r); a.whole() && a.status == http.StatusOK {
				inRow++
			} else {
				inRow = 0
			}
			return isReady(m.address(portReady)) && inRow >= 5
		})
		c.closeConn()
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.server != nil && m.server.listener != nil {
			m.server.stop()
		}
		if m.node != nil {
			_ = m.node.Process.Signal(syscall.SIGCONT)
			_ = m.node.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("kept", d.directory)
	}
}

// route returns a route of a configuration.
func route(name, host, prefix, kind, service string, timeout, target time.Duration, priority, attempts int) map[string]any {
	return map[string]any{
		"resource_kind": "routes", "metadata": map[string]any{"name": name},
		"specification": map[string]any{
			"host": host, "prefix": prefix, "kind": kind, "timeout": millis(timeout), "target_latency": millis(target),
			"priority": priority, "service": service, "attempts": attempts,
		},
	}
}

// service returns a service of a configuration.
func service(name string) map[string]any {
	return map[string]any{
		"resource_kind": "services", "metadata": map[string]any{"name": name},
		"specification": map[string]any{"health_check_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false},
	}
}

// limits returns the limits of a configuration, as the users' examples have them.
func limits() map[string]any {
	return map[string]any{
		"resource_kind": "limits", "metadata": map[string]any{},
		"specification": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}
