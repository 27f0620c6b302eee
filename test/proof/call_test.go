package proof

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/pkg/client"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// stopNoticeTimeout is the required limit on how long a stopping upstream may still receive new calls.
const stopNoticeTimeout = 3 * time.Second

var orderAndShopLoads = []emul.Load{
	{Path: "/orders", Rate: 40, UseIdempotencyKey: true, BodyBytes: 300},
	{Path: "/shop", Rate: 150},
}

// freeze stops a node's process by SIGSTOP and lets it continue after a time.
func (d *deployment) freeze(name string, duration time.Duration) {
	d.signal(name, syscall.SIGSTOP)
	time.Sleep(duration)
	d.signal(name, syscall.SIGCONT)
}

// injectFaults kills and freezes nodes in turn while the platform loses responses, is down for a time, and is slow.
func (d *deployment) injectFaults() {
	d.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3})
	d.kill("orders-0")
	d.startNode(d.vms[3])
	d.freeze("shop-1", 1500*time.Millisecond)
	d.platform.SetFaults(emul.PlatformFaults{Down: true})
	d.freeze("orders-1", 1500*time.Millisecond)
	d.platform.SetFaults(emul.PlatformFaults{Delay: 100 * time.Millisecond, ResponseLossRate: 0.3})
	d.kill("orders-2")
	d.startNode(d.vms[5])
	time.Sleep(time.Second)
	d.platform.SetFaults(emul.PlatformFaults{})
}

func TestAtMostOnceCallsUnderFaults(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	wait := d.sendLoad(9*time.Second, orderAndShopLoads...)
	d.injectFaults()
	records := wait()
	report := emul.NewReport(records)
	t.Logf("callers: %+v", report)
	d.requireConsistentHistory(records)
	require.NotZero(t, report.NotRun, "no call was refused: the faults had no effect")
	require.Zero(t, report.Corrupt)
}

func TestGracefulStopsCutNoRequest(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	wait := d.sendLoad(12*time.Second, orderAndShopLoads...)
	for _, v := range d.vms {
		cmd := d.nodes[v.Node]
		d.signal(v.Node, syscall.SIGTERM)
		require.NoError(t, cmd.Wait(), "%s did not stop gracefully", v.Node)
		d.startNode(v)
		d.await(startTimeout, "restart of "+v.Node, func() bool { return d.status(v).GetAppliedRevision() > 0 })
	}
	records := wait()
	d.requireConsistentHistory(records)
	for _, r := range records {
		require.True(t, r.Error == "" || r.NotConnected, "request cut off: %+v", r)
	}
	t.Logf("callers: %+v", emul.NewReport(records))
}

// A node that is stopped before its first configuration arrives answers the requests that wait for the configuration instead
// of resetting their connections. The soak test showed this fault with seed 35.
func TestStopBeforeFirstConfiguration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	v := d.vms[0]
	d.startNode(v)
	cmd := d.nodes[v.Node]
	var conn net.Conn
	d.await(startTimeout, "a caller connection", func() bool {
		var err error
		conn, err = net.Dial("tcp", v.CallerAddress().String())
		return err == nil
	})
	defer func() { _ = conn.Close() }()
	_, err := io.WriteString(conn, "GET /shop HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not_run", response.Header.Get("Turmericdale-Outcome"))
}

func TestStoppingUpstreamGetsNoNewCalls(t *testing.T) {
	tests := []struct {
		name               string
		skipDeregistration bool
	}{
		{name: "deregistered"},
		{name: "not deregistered", skipDeregistration: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			stopping := d.upstreams[d.vms[0].UpstreamAddress(0)]
			stopping.stop()
			<-stopping.done
			stopping = d.startUpstream(d.vms[0], emul.UpstreamConfig{SkipDeregistration: tt.skipDeregistration})
			d.awaitRoutes()
			wait := d.sendLoad(8*time.Second, emul.Load{Path: "/shop", Rate: 300})
			d.await(startTimeout, "calls to the upstream", func() bool { return stopping.ExecutionCounts().Calls > 20 })
			started := time.Now()
			stopping.stop()
			records := wait()
			last := time.UnixMilli(stopping.ExecutionCounts().LastCallMillis)
			t.Logf("last call %s after the stop, callers: %+v", last.Sub(started), emul.NewReport(records))
			require.LessOrEqual(t, last.Sub(started), stopNoticeTimeout)
			d.requireConsistentHistory(records)
			requireAllOK(t, records)
		})
	}
}

func TestKilledOrFrozenNodeFailsNoRequest(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
	}{
		{name: "killed", signal: syscall.SIGKILL},
		{name: "frozen", signal: syscall.SIGSTOP},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			var otherNodes []netip.AddrPort
			for _, v := range d.vms[1:] {
				otherNodes = append(otherNodes, v.CallerAddress())
			}
			wait := d.sendLoadTo(6*time.Second, otherNodes, emul.Load{Path: "/shop", Rate: 200})
			d.await(startTimeout, "calls to the upstream", func() bool { return d.upstreams[d.vms[0].UpstreamAddress(0)].ExecutionCounts().Calls > 20 })
			d.signal("shop-0", tt.signal)
			records := wait()
			d.requireConsistentHistory(records)
			requireAllOK(t, records)
		})
	}
}

func TestOneConcurrentConditionalChangeSucceeds(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3})
	const path = "/teams/shop/routes/counter"
	revision := d.change(path, `{"path_prefix": "/counter", "service": "shop"}`)
	results := make(chan error, len(d.vms))
	for _, v := range d.vms {
		go func() {
			_, err := d.adminClient(v).Change(context.Background(), &wirepb.ChangeRequest{Edits: []*wirepb.Edit{{
				Path: path, Value: `{"path_prefix": "/counter", "service": "orders"}`, Compare: true, IfRevision: revision,
			}}})
			results <- err
		}()
	}
	succeeded := 0
	for range d.vms {
		err := <-results
		if err == nil {
			succeeded++
			continue
		}
		var apiErr *client.APIError
		require.ErrorAs(t, err, &apiErr)
		require.Equal(t, "conflict", apiErr.Failure.GetKind())
	}
	require.Equal(t, 1, succeeded)
}

// A reload by SIGHUP cuts off no request, even if the settings file cannot be parsed.
func TestReloadCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	wait := d.sendLoad(3*time.Second, orderAndShopLoads...)
	for range 3 {
		for _, v := range d.vms {
			d.signal(v.Node, syscall.SIGHUP)
		}
		<-time.After(500 * time.Millisecond)
	}
	file := filepath.Join(d.directory, d.vms[0].Node+".jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	d.signal(d.vms[0].Node, syscall.SIGHUP)
	records := wait()
	d.requireConsistentHistory(records)
	requireAllOK(t, records)
	for _, v := range d.vms {
		require.NotZero(t, d.status(v).GetAppliedRevision(), "a node exited on SIGHUP")
	}
}
