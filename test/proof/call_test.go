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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/pkg/client"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// leaveTime is the users' bound on new work for a leaving upstream.
const leaveTime = 3 * time.Second

var orderLoads = []emul.Load{
	{Path: "/orders", Rate: 40, UseIdempotencyKey: true, BodyBytes: 300},
	{Path: "/shop", Rate: 150},
}

// pause freezes a node for a time and lets it go on.
func (d *deployment) freeze(name string, length time.Duration) {
	d.signal(name, syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(name, syscall.SIGCONT)
}

// disturb kills and freezes nodes in turn while the platform loses answers and goes down for a time.
func (d *deployment) disturb() {
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

func TestCommissionsRunAtMostOnceAndRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	d := start(t)
	wait := d.call(9*time.Second, orderLoads...)
	d.disturb()
	events := wait()
	report := emul.NewReport(events)
	t.Logf("callers: %+v", report)
	d.requireHistory(events)
	require.NotZero(t, report.NotRun, "the disturbances were not felt")
	require.Zero(t, report.Corrupt)
}

func TestPlannedStopsCutNoRequest(t *testing.T) {
	t.Parallel()
	d := start(t)
	wait := d.call(12*time.Second, orderLoads...)
	for _, v := range d.vms {
		cmd := d.nodes[v.Node]
		d.signal(v.Node, syscall.SIGTERM)
		require.NoError(t, cmd.Wait(), "%s did not stop cleanly", v.Node)
		d.startNode(v)
		d.await(startTime, "return of "+v.Node, func() bool { return d.status(v).GetAppliedRevision() > 0 })
	}
	events := wait()
	d.requireHistory(events)
	for _, e := range events {
		refused := e.Error != "" && isRefusedConnection(e.Error)
		require.True(t, e.Error == "" || refused, "request cut: %+v", e)
	}
	t.Logf("callers: %+v", emul.NewReport(events))
}

// A node that stops before it had a configuration answers the callers that wait for it. Found by the soak, seed 35.
func TestStopBeforeTheFirstConfigurationAnswers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	v := d.vms[0]
	d.startNode(v)
	cmd := d.nodes[v.Node]
	var conn net.Conn
	d.await(startTime, "a connection", func() bool {
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

// isRefusedConnection says that the caller asked a node that was not there: nothing was sent to it.
func isRefusedConnection(text string) bool { return strings.HasSuffix(text, "connection refused") }

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
	}{
		{name: "announced"},
		{name: "with the announcement lost", silent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := start(t)
			leaving := d.upstreams[d.vms[0].UpstreamAddress(0)]
			leaving.stop()
			<-leaving.done
			leaving = d.startUpstreamOf(d.vms[0], emul.UpstreamConfig{SkipDeregistration: tt.silent})
			d.awaitRoutes()
			wait := d.call(8*time.Second, emul.Load{Path: "/shop", Rate: 300})
			d.await(startTime, "work", func() bool { return leaving.ExecutionCounts().Calls > 20 })
			started := time.Now()
			leaving.stop()
			events := wait()
			last := time.UnixMilli(leaving.ExecutionCounts().LastCallMillis)
			t.Logf("last call %s after the leave, callers: %+v", last.Sub(started), emul.NewReport(events))
			require.LessOrEqual(t, last.Sub(started), leaveTime)
			d.requireHistory(events)
			requireNoFailures(t, events)
		})
	}
}

func TestDeadAndFrozenNodesAreLeftByCalls(t *testing.T) {
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
			d := start(t)
			var others []netip.AddrPort
			for _, v := range d.vms[1:] {
				others = append(others, v.CallerAddress())
			}
			wait := d.callAt(6*time.Second, others, emul.Load{Path: "/shop", Rate: 200})
			d.await(startTime, "work", func() bool { return d.upstreams[d.vms[0].UpstreamAddress(0)].ExecutionCounts().Calls > 20 })
			d.signal("shop-0", tt.signal)
			events := wait()
			d.requireHistory(events)
			requireNoFailures(t, events)
		})
	}
}

func TestRacingOperatorsLoseNoChange(t *testing.T) {
	t.Parallel()
	d := start(t)
	d.platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.3})
	const path = "/teams/shop/routes/counter"
	revision := d.change(path, `{"path_prefix": "/counter", "service": "shop"}`)
	won := make(chan error, len(d.vms))
	for _, v := range d.vms {
		go func() {
			_, err := d.api(v).Change(context.Background(), &wirepb.ChangeRequest{Edits: []*wirepb.Edit{{
				Path: path, Value: `{"path_prefix": "/counter", "service": "orders"}`, Compare: true, IfRevision: revision,
			}}})
			won <- err
		}()
	}
	winners := 0
	for range d.vms {
		err := <-won
		if err == nil {
			winners++
			continue
		}
		var conflict *client.APIError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "conflict", conflict.Failure.GetKind())
	}
	require.Equal(t, 1, winners)
}

// A reload by SIGHUP cuts no request, whether the settings file changed or cannot be read.
func TestReloadCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := start(t)
	wait := d.call(3*time.Second, orderLoads...)
	for range 3 {
		for _, v := range d.vms {
			d.signal(v.Node, syscall.SIGHUP)
		}
		<-time.After(500 * time.Millisecond)
	}
	file := filepath.Join(d.directory, d.vms[0].Node+".jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	d.signal(d.vms[0].Node, syscall.SIGHUP)
	events := wait()
	d.requireHistory(events)
	requireNoFailures(t, events)
	for _, v := range d.vms {
		require.NotZero(t, d.status(v).GetAppliedRevision(), "a node ended at SIGHUP")
	}
}
