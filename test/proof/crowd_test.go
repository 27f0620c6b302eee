package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

// The limits of the nodes in the tests of a crowd of callers. A body may take the same share of the memory that the process has besides
// what it needs at rest as on the smallest VMs in use (16 MiB of 184 MB).
const (
	crowdMemoryBytes = 96 << 20
	crowdBodyBytes   = 6 << 20
	crowdDescriptors = 256
	// crowdHeadBytes is the size of a large head, the limit for callers in use.
	crowdHeadBytes = 16 << 10
	// crowdWriteTimeout bounds how long a caller of the crowd waits for a node that takes no more bytes.
	crowdWriteTimeout = 5 * time.Second
)

// crowd is a group of callers that keep to no limits. Their connections stay open until the test has its answer.
type crowd struct {
	address string

	mu    sync.Mutex
	conns []net.Conn
}

// dial opens a connection of the crowd, or returns nil if the node accepts none.
func (c *crowd) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, crowdWriteTimeout)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// run lets callers send at the same time and waits until each has sent what it sends or cannot send it.
func (c *crowd) run(callers int, send func(conn net.Conn)) {
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			conn := c.dial()
			if conn == nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			send(conn)
		})
	}
	wait.Wait()
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// sendPieces sends data a piece at a time until the node takes no more.
func sendPieces(conn net.Conn, data []byte, piece int) {
	for len(data) > 0 {
		n, err := conn.Write(data[:min(piece, len(data))])
		if err != nil {
			return
		}
		data = data[n:]
	}
}

// headOf returns the head of a request with further lines, repeated until the head is as large as may be.
func headOf(method, line string) []byte {
	head := method + " /shop HTTP/1.1\r\nHost: a\r\n"
	for i := 0; len(head)+len(line)+8 < crowdHeadBytes; i++ {
		head += strings.ReplaceAll(line, "#", strconv.Itoa(i)) + "\r\n"
	}
	return []byte(head + "\r\n")
}

func sendHeads(line string) func(c *crowd) {
	return func(c *crowd) {
		head := headOf("GET", line)
		c.run(200, func(conn net.Conn) { sendPieces(conn, bytes.Repeat(head, 8), len(head)) })
	}
}

// sendBodies sends bodies with a length, all but the last bytes, a piece at a time.
func sendBodies(callers, missing, piece int) func(c *crowd) {
	return func(c *crowd) {
		body := make([]byte, crowdBodyBytes-missing)
		c.run(callers, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "POST /shop HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", crowdBodyBytes)
			sendPieces(conn, body, piece)
		})
	}
}

// chunked encodes a body of some bytes in chunks of a size with an extension.
func chunked(total, chunk int, extension string) []byte {
	var encoded bytes.Buffer
	data := bytes.Repeat([]byte("x"), chunk)
	for range total / chunk {
		_, _ = fmt.Fprintf(&encoded, "%x%s\r\n%s\r\n", chunk, extension, data)
	}
	return encoded.Bytes()
}

// sendChunked sends chunked bodies and then an end, which may be none or that of a chunk that is not complete.
func sendChunked(callers int, body []byte, end string) func(c *crowd) {
	return func(c *crowd) {
		c.run(callers, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /shop HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
			sendPieces(conn, body, 64<<10)
			_, _ = io.WriteString(conn, end)
		})
	}
}

// resetBodies opens bodies and resets their connections, several times.
func resetBodies(c *crowd) {
	body := make([]byte, crowdBodyBytes-1)
	for range 4 {
		c.run(40, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "POST /shop HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", crowdBodyBytes)
			sendPieces(conn, body, len(body))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
	}
}

// askWithoutReading sends requests at once over each of some connections and reads no response.
func askWithoutReading(callers, requests int) func(c *crowd) {
	return func(c *crowd) {
		c.run(callers, func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(conn, strings.Repeat("GET /shop HTTP/1.1\r\nHost: a\r\n\r\n", requests))
		})
	}
}

// sendTogether lets several groups of callers send at the same time.
func sendTogether(groups ...func(c *crowd)) func(c *crowd) {
	return func(c *crowd) {
		var wait sync.WaitGroup
		for _, send := range groups {
			wait.Go(func() { send(c) })
		}
		wait.Wait()
	}
}

// openSilent opens more connections than the process may have descriptors and sends nothing.
func openSilent(c *crowd) {
	for range 2 * crowdDescriptors {
		c.dial()
	}
}

// Guards against callers that keep to no limits ending a process or taking more memory or descriptors than it may have, and against
// ordinary callers of the node getting no answer while the crowd is there. One case runs at a time.
func TestCrowdDoesNotEndAProcess(t *testing.T) {
	const wholeBody = 0
	large := chunked(crowdBodyBytes, 64<<10, "")
	tests := []struct {
		name string
		// paddingBytes is the size of the responses; zero means small ones.
		paddingBytes int
		send         func(c *crowd)
	}{
		{"heads of short lines", 0, sendHeads("a#:")},
		{"heads of lines without a value and the same name", 0, sendHeads("a:")},
		{"heads of long names", 0, sendHeads(strings.Repeat("Name-", 40) + "#: v")},
		{"heads of folded lines", 0, sendHeads("a#: b\r\n c\r\n\td")},
		{"heads of cookies", 0, sendHeads("Cookie: " + strings.Repeat("k#=v; ", 1000))},
		{"whole bodies", 0, sendBodies(40, wholeBody, crowdBodyBytes)},
		{"bodies in pieces", 0, sendBodies(40, wholeBody, 16<<10)},
		{"bodies without their last byte", 0, sendBodies(40, 1, crowdBodyBytes)},
		{"bodies in pieces without their last byte", 0, sendBodies(40, 1, 16<<10)},
		{"whole chunked bodies", 0, sendChunked(40, large, "0\r\n\r\n")},
		{"chunked bodies without an end", 0, sendChunked(40, large, "10\r\nx")},
		{"small chunks without an end", 0, sendChunked(40, chunked(crowdBodyBytes, 16, ""), "")},
		{"chunks of one byte", 0, sendChunked(40, chunked(1<<20, 1, ""), "")},
		{"chunk extensions", 0, sendChunked(40, chunked(1<<18, 16, ";a="+strings.Repeat("e", 100)), "")},
		{"heads, bodies and chunks at once", 0, sendTogether(sendHeads("a#:"), sendBodies(20, 1, 16<<10), sendChunked(20, large, "10\r\nx"))},
		{"trailers", 0, sendChunked(100, chunked(1<<10, 1<<10, ""), "0\r\n"+strings.Repeat("a:\r\n", 1<<16))},
		{"bodies that are reset", 0, resetBodies},
		{"pipelined requests whose responses are not read", 1 << 20, askWithoutReading(24, 32)},
		{"large responses that are not read", 5 << 20, askWithoutReading(60, 1)},
		{"silent connections", 0, openSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(t)
			d.maxDescriptors = crowdDescriptors
			d.addSettings(fmt.Sprintf(`"memory_limit_bytes": %d, "max_body_bytes": %d, "max_descriptors": %d,`,
				crowdMemoryBytes, crowdBodyBytes, crowdDescriptors))
			d.serve(d.platformAddress, d.platform.Handler())
			d.startAll(func(emul.VM) emul.UpstreamConfig { return emul.UpstreamConfig{PaddingBytes: tt.paddingBytes} })
			atRest := d.peakMemory(d.vms[0])
			c := &crowd{address: d.vms[0].CallerAddress().String()}
			tt.send(c)
			descriptors := d.descriptors(d.vms[0])
			answered := d.isAnswered(d.vms[0], startTimeout)
			c.close()
			for _, v := range d.vms {
				t.Logf("%s: peak memory %d MiB of %d", v.Node, d.peakMemory(v)>>20, crowdMemoryBytes>>20)
			}
			t.Logf("%s: peak at rest %d MiB, %d descriptors beside the crowd", d.vms[0].Node, atRest>>20, descriptors)
			for _, v := range d.vms {
				d.requireWithin(v, crowdMemoryBytes)
			}
			require.True(t, answered, "an ordinary request is answered beside the crowd")
			require.Less(t, descriptors, crowdDescriptors, "descriptors are left for upstreams, nodes and the platform")
			require.True(t, d.isAnswered(d.vms[0], startTimeout), "an ordinary request is answered after the crowd")
		})
	}
}

// Guards against limits that refuse a single request inside them: a head of the largest size, of as many lines as fit.
func TestLargestHeadIsServed(t *testing.T) {
	d := newDeployment(t)
	d.addSettings(fmt.Sprintf(`"memory_limit_bytes": %d, "max_body_bytes": %d,`, crowdMemoryBytes, crowdBodyBytes))
	d.serve(d.platformAddress, d.platform.Handler())
	d.startAll(func(emul.VM) emul.UpstreamConfig { return emul.UpstreamConfig{} })
	for _, line := range []string{"a:", "a#:", "Cookie: k=v"} {
		t.Run(line, func(t *testing.T) {
			conn, err := net.DialTimeout("tcp", d.vms[0].CallerAddress().String(), startTimeout)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
			_, err = conn.Write(headOf("GET", line))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// Guards against limits that refuse callers inside them for good, and against uploads that take a process over its memory: eight of the largest
// size at once, of callers that repeat what was refused, on VMs of the smallest size in use.
func TestLargestBodiesAreServedWithinMemory(t *testing.T) {
	const memoryBytes, bodyBytes = 184_000_000, 16 << 20
	d := newDeployment(t)
	d.addSettings(fmt.Sprintf(`"memory_limit_bytes": %d, "max_body_bytes": %d,`, memoryBytes, bodyBytes))
	d.serve(d.platformAddress, d.platform.Handler())
	d.startAll(func(emul.VM) emul.UpstreamConfig { return emul.UpstreamConfig{} })
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			if !uploadUntilServed(d.vms[0], strconv.Itoa(i), body) {
				t.Errorf("upload %d was not served", i)
			}
		})
	}
	require.True(t, d.isAnswered(d.vms[0], startTimeout), "an ordinary request is answered beside the uploads")
	wait.Wait()
	for _, v := range d.vms {
		t.Logf("%s: peak memory %d MiB of %d", v.Node, d.peakMemory(v)>>20, memoryBytes>>20)
		d.requireWithin(v, memoryBytes)
	}
}

// uploadUntilServed repeats a request until it is served in full.
func uploadUntilServed(v emul.VM, id string, body []byte) bool {
	for end := time.Now().Add(2 * startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		request, err := http.NewRequest(http.MethodPost, "http://"+v.CallerAddress().String()+"/shop", bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set(emul.HeaderRequestID, id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		var served emul.ResponseBody
		err = json.NewDecoder(response.Body).Decode(&served)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return served.Digest == emul.Digest(id, body)
		}
	}
	return false
}

// requireWithin checks that the process of a node goes on, answers its operators and has taken no more memory than it may.
func (d *deployment) requireWithin(v emul.VM, memoryBytes int) {
	d.t.Helper()
	require.Positive(d.t, d.peakMemory(v), "the process of %s goes on", v.Node)
	d.await(startTimeout, "status of "+v.Node, func() bool { return d.status(v) != nil })
	require.LessOrEqual(d.t, d.peakMemory(v), memoryBytes, "peak memory of %s", v.Node)
}

// addSettings adds fields to the settings of all nodes.
func (d *deployment) addSettings(fields string) {
	d.t.Helper()
	for _, v := range d.vms {
		file := filepath.Join(d.directory, v.Node+".jsonc")
		text, err := os.ReadFile(file)
		require.NoError(d.t, err)
		require.NoError(d.t, os.WriteFile(file, bytes.Replace(text, []byte(`"name":`), []byte(fields+` "name":`), 1), 0o600))
	}
}

// isAnswered reports whether an ordinary request with a small body is served within a time; it may be refused before.
func (d *deployment) isAnswered(v emul.VM, timeout time.Duration) bool {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := client.Post("http://"+v.CallerAddress().String()+"/shop", "text/plain", strings.NewReader(strings.Repeat("x", 1<<10)))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// peakMemory returns the greatest resident memory that the process of a node has had, or 0 if it has ended.
func (d *deployment) peakMemory(v emul.VM) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.nodes[v.Node].Process.Pid))
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(d.t, err)
			return kilobytes << 10
		}
	}
	return 0
}

// descriptors returns the number of file descriptors that the process of a node has open.
func (d *deployment) descriptors(v emul.VM) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.nodes[v.Node].Process.Pid))
	return len(list)
}
