package oplog

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// interleavingsVariable is the environment variable that makes the check cover every order, instead of one in sampledOrders.
	interleavingsVariable = "TURMERICDALE_ERA_ORDERS"
	sampledOrders         = 29
	// writeWait is how long a writer waits while the log is to be established. No node establishes it by itself in that time.
	writeWait  = time.Millisecond
	settleWait = 3 * time.Second
	// maxStarted exceeds the number of nodes that one order starts.
	maxStarted = 10
)

// interleaving is a run of three nodes on a store, whose steps are the product's own functions.
type interleaving struct {
	t        *testing.T
	platform *emul.Platform
	network  *emul.Network
	logs     []*Log
	copied   *emul.StoreCopy
	// loseNext makes the store come back from the copy between a write and its response, holdNext before the write, which takes effect when
	// it is released.
	loseNext bool
	holdNext bool
	held     [][]byte
	writes   int
	started  int
	// accepted holds the revisions of acknowledged changes by operation, unknown the operations without an answer; unrecoverable are
	// accepted changes that for a while neither the store nor a node had.
	accepted      map[string]uint64
	unknown       []string
	unrecoverable map[string]bool
	contents      map[uint64]string
}

type interleavingEvent struct {
	name string
	run  func(r *interleaving)
}

func write(node int) interleavingEvent {
	return interleavingEvent{"write at " + strconv.Itoa(node), func(r *interleaving) { r.write(node) }}
}

func writeLost(node int) interleavingEvent {
	return interleavingEvent{"write with lost answer and drill at " + strconv.Itoa(node), func(r *interleaving) {
		r.loseNext = true
		r.write(node)
		r.loseNext = false
	}}
}

func writeHeld(node int) interleavingEvent {
	return interleavingEvent{"write that is held beyond a drill at " + strconv.Itoa(node), func(r *interleaving) {
		r.holdNext = true
		r.write(node)
		r.holdNext = false
	}}
}

func restart(node int) interleavingEvent {
	return interleavingEvent{"restart of " + strconv.Itoa(node), func(r *interleaving) { r.logs[node] = r.newLog() }}
}

func establish(node int) interleavingEvent {
	return interleavingEvent{"establish at " + strconv.Itoa(node), func(r *interleaving) {
		_ = r.logs[node].Sync(r.t.Context())
		_ = r.logs[node].establish(r.t.Context())
	}}
}

func simpleEvents() (copied, drill, spread, release interleavingEvent) {
	return interleavingEvent{"copy", func(r *interleaving) { r.copied = r.platform.Copy() }},
		interleavingEvent{"drill", func(r *interleaving) { r.platform.Restore(r.copied) }},
		interleavingEvent{"links", func(r *interleaving) { gossip(r.logs...) }},
		interleavingEvent{"late write", func(r *interleaving) { r.release() }}
}

// ServeHTTP implements http.Handler.
func (r *interleaving) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost || !r.loseNext && !r.holdNext {
		r.platform.Handler().ServeHTTP(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.holdNext {
		r.held = append(r.held, body)
	} else {
		r.execute(body)
	}
	r.loseNext, r.holdNext = false, false
	r.platform.Restore(r.copied)
	panic(http.ErrAbortHandler)
}

func (r *interleaving) execute(body []byte) {
	request := httptest.NewRequest(http.MethodPost, "/turmericdale/rows-tx", bytes.NewReader(body))
	r.platform.Handler().ServeHTTP(httptest.NewRecorder(), request)
}

func (r *interleaving) release() {
	for _, body := range r.held {
		r.execute(body)
	}
	r.held = nil
}

func (r *interleaving) newLog() *Log {
	address := netip.AddrPort{}
	client := store.New(store.Config{Address: netip.MustParseAddrPort("192.0.2.1:1"), Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return r.network.Dial(ctx, address, address)
	}})
	r.t.Cleanup(client.Close)
	r.started++
	jitter := float64(r.started) / maxStarted
	return New(Config{Store: client, Logger: zap.NewNop(), Now: time.Now, Jitter: func() float64 { return jitter }})
}

// write commits a change as the committer does. Its caller waits only writeWait.
func (r *interleaving) write(node int) {
	r.writes++
	name := "w" + strconv.Itoa(r.writes)
	ctx, cancel := context.WithTimeout(r.t.Context(), writeWait)
	defer cancel()
	s := &submission{ctx: ctx, operationID: name, build: setNamed(name), reply: make(chan submissionResult, 1)}
	r.logs[node].commitBatch(r.t.Context(), []*submission{s})
	result := <-s.reply
	var unknown *UnknownOutcomeError
	var lost *store.UnknownOutcomeError
	switch {
	case result.err == nil:
		r.accepted[name] = result.revision
	case errors.As(result.err, &unknown), errors.As(result.err, &lost):
		r.unknown = append(r.unknown, name)
	}
}

// check requires that no revision has two contents, and finds the changes that nothing holds any more.
func (r *interleaving) check(after string) {
	r.checkContents(after)
	for name, revision := range r.accepted {
		if !r.isHeld(name, revision) {
			r.unrecoverable[name] = true
		}
	}
}

func (r *interleaving) checkContents(after string) {
	for _, l := range r.logs {
		state := l.State()
		var text strings.Builder
		for _, e := range state.Entries("/") {
			text.WriteString(e.GetPath() + "@" + strconv.FormatUint(e.GetRevision(), 10) + " ")
		}
		if known, found := r.contents[state.Revision]; found {
			require.Equal(r.t, known, text.String(), "two contents of revision %d after %s", state.Revision, after)
		}
		r.contents[state.Revision] = text.String()
	}
}

func (r *interleaving) isHeld(name string, revision uint64) bool {
	for _, l := range r.logs {
		if l.State().Entry(namedPath(name)) != nil {
			return true
		}
		for _, c := range append(append([]*wirepb.Change(nil), l.era.replaced...), l.era.lost...) {
			if c.GetOperationId() == name {
				return true
			}
		}
	}
	row := r.platform.SystemRow("", logKey(revision))
	change := &wirepb.Change{}
	return row != nil && proto.Unmarshal(row.GetValue(), change) == nil && change.GetOperationId() == name
}

// settle lets the nodes run by themselves and repeats the changes without an answer.
func (r *interleaving) settle() {
	r.release()
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan struct{}, len(r.logs))
	for _, l := range r.logs {
		go func() {
			l.RunCommitter(ctx)
			done <- struct{}{}
		}()
	}
	for range 3 {
		for _, l := range r.logs {
			_ = l.Sync(ctx)
		}
		time.Sleep(settleWait)
		gossip(r.logs...)
		r.checkContents("settling")
	}
	for _, name := range append(r.unknown, "final") {
		revision, err := r.logs[0].Submit(ctx, name, setNamed(name))
		require.NoError(r.t, err)
		r.accepted[name] = revision
	}
	time.Sleep(settleWait)
	gossip(r.logs...)
	time.Sleep(settleWait)
	cancel()
	for range r.logs {
		<-done
	}
	r.checkContents("the end")
}

func runInterleaving(t *testing.T, events []interleavingEvent) (unrecoverable int) {
	t.Helper()
	var names []string
	for _, e := range events {
		names = append(names, e.name)
	}
	defer func() {
		if t.Failed() {
			t.Log("order: " + strings.Join(names, ", "))
		}
	}()
	r := &interleaving{
		t: t, platform: emul.NewPlatform(emul.PlatformConfig{NamesEra: true}), network: emul.NewNetwork(),
		accepted: map[string]uint64{}, unrecoverable: map[string]bool{}, contents: map[uint64]string{},
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	listener := r.network.Listen(netip.AddrPort{})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for range 3 {
		r.logs = append(r.logs, r.newLog())
	}
	r.write(0)
	gossip(r.logs...)
	r.copied = r.platform.Copy()
	for _, e := range events {
		e.run(r)
		r.check(e.name)
	}
	r.settle()
	fresh := r.newLog()
	require.NoError(t, fresh.Sync(t.Context()))
	r.logs = append(r.logs, fresh)
	r.checkContents("a restart")
	for name := range r.accepted {
		for i, l := range r.logs {
			if !r.unrecoverable[name] {
				require.NotNil(t, l.State().Entry(namedPath(name)), "accepted change %s is lost on node %d", name, i)
			}
		}
	}
	r.requireOperationsOnce()
	return len(r.unrecoverable)
}

// requireOperationsOnce checks that no operation has two revisions in the log.
func (r *interleaving) requireOperationsOnce() {
	rows, err := r.logs[0].store.Range(r.t.Context(), logPrefix, "", maxPageRows)
	require.NoError(r.t, err)
	seen := map[string]string{}
	for _, row := range rows {
		change := &wirepb.Change{}
		require.NoError(r.t, proto.Unmarshal(row.GetValue(), change))
		require.Empty(r.t, seen[change.GetOperationId()], "operation %s was committed twice: %s", change.GetOperationId(), row.GetKey())
		seen[change.GetOperationId()] = row.GetKey()
	}
}

// orders calls run with every order of events; run returns false to stop.
func orders(events []interleavingEvent, first int, run func(order []interleavingEvent) bool) bool {
	if first == len(events) {
		return run(events)
	}
	for i := first; i < len(events); i++ {
		events[first], events[i] = events[i], events[first]
		if !orders(events, first+1, run) {
			return false
		}
		events[first], events[i] = events[i], events[first]
	}
	return true
}

// Guards against an order of drill, write, lost answer, late write, restart and establishment in which an accepted change is lost, an
// operation is committed twice or a revision gets two contents.
func TestInterleavingsOfDrills(t *testing.T) {
	copied, drill, spread, release := simpleEvents()
	tests := []struct {
		name   string
		events []interleavingEvent
	}{
		{"writes and a restart", []interleavingEvent{copied, write(0), write(1), drill, restart(0), spread, establish(2)}},
		{"lost answer", []interleavingEvent{copied, write(0), writeLost(1), restart(2), spread, establish(0)}},
		{"late write", []interleavingEvent{copied, write(0), writeHeld(1), release, establish(2), spread, write(2)}},
		{"two drills", []interleavingEvent{copied, write(0), drill, establish(1), write(1), drill, spread}},
		{"lost answer and two drills", []interleavingEvent{copied, write(0), writeLost(1), establish(2), drill, restart(1)}},
	}
	every := sampledOrders
	if os.Getenv(interleavingsVariable) == "all" {
		every = 1
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			count, run, unrecoverable := 0, 0, 0
			orders(tt.events, 0, func(order []interleavingEvent) bool {
				if count++; count%every == 0 {
					run++
					synctest.Test(t, func(t *testing.T) { unrecoverable += runInterleaving(t, order) })
				}
				return !t.Failed()
			})
			t.Logf("%d of %d orders, %d changes that nothing held any more", run, count, unrecoverable)
		})
	}
}
