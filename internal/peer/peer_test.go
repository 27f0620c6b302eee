package peer

import (
	"bufio"
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const maxHeadBytes = 1 << 16

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newServer returns a running server that replies to each call with its ID.
func newServer(t *testing.T) (*Server, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(ServerConfig{
		Listener: listener, MaxHeadBytes: maxHeadBytes,
		ServeCall: func(_ context.Context, conn net.Conn, head *wirepb.CallHead) {
			if head.GetCallId() == "panic" {
				panic("a fault of the handler")
			}
			_ = frame.Write(conn, &wirepb.AnswerHead{CallId: head.GetCallId()})
		},
		ServeLink:      func(context.Context, net.Conn, *bufio.Reader, *wirepb.LinkHello) {},
		HandleEvidence: func(net.Conn, *wirepb.EvidenceReport) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return s, netip.MustParseAddrPort(listener.Addr().String())
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(PoolConfig{Now: time.Now})
	t.Cleanup(p.Close)
	return p
}

func requireAnswer(t *testing.T, p *Pool, address netip.AddrPort) {
	t.Helper()
	stream, err := p.OpenStream(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	require.NoError(t, frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: &wirepb.CallHead{CallId: "7"}}}))
	answer := &wirepb.AnswerHead{}
	require.NoError(t, frame.Read(bufio.NewReader(stream), answer, maxHeadBytes))
	require.Equal(t, "7", answer.GetCallId())
}

// requireRejected checks that a server counts an input as rejected.
func requireRejected(t *testing.T, s *Server, conn net.Conn, input []byte) {
	t.Helper()
	before := s.Rejected.Load()
	_, err := conn.Write(input)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Rejected.Load() > before }, time.Second, time.Millisecond)
}

func TestInvalidInputIsCountedAndDoesNotAffectCalls(t *testing.T) {
	s, address := newServer(t)
	p := newPool(t)
	random := make([]byte, 4096)
	_, err := rand.Read(random)
	require.NoError(t, err)
	inputs := map[string][]byte{
		"random bytes": random, "HTTP": []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	}
	for name, input := range inputs {
		t.Run("session with "+name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address.String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			requireRejected(t, s, conn, input)
			requireAnswer(t, p, address)
		})
	}
	streams := map[string][]byte{
		"unknown kind": {0}, "size beyond the limit": {0xff, 0xff, 0xff, 0xff, 0x0f}, "undecodable message": {3, 0xff, 0xff, 0xff},
	}
	for name, input := range streams {
		t.Run("stream with "+name, func(t *testing.T) {
			stream, err := p.OpenStream(t.Context(), address)
			require.NoError(t, err)
			defer func() { _ = stream.Close() }()
			requireRejected(t, s, stream, input)
			requireAnswer(t, p, address)
		})
	}
}

// Guards against requests for quota tokens that reach no handler.
func TestQuotaRequestIsServed(t *testing.T) {
	s, address := newServer(t)
	s.cfg.HandleQuota = func(conn net.Conn, request *wirepb.QuotaRequest) {
		_ = frame.Write(conn, &wirepb.QuotaReply{Grants: []*wirepb.QuotaGrant{{Workspace: request.GetNode()}}})
	}
	stream, err := newPool(t).OpenStream(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	require.NoError(t, frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Quota{Quota: &wirepb.QuotaRequest{Node: "a"}}}))
	reply := &wirepb.QuotaReply{}
	require.NoError(t, frame.Read(stream.Reader, reply, maxHeadBytes))
	require.Equal(t, "a", reply.GetGrants()[0].GetWorkspace())
}

// A panic costs the stream that it happens in, not the process, the session or other streams.
// Guards against memory that grows with each address that a relay has ever had.
// Guards against reports of evidence, links and quota requests that get no answer because they are sent on a stream that has carried calls:
// the server accepts only calls there.
func TestOtherMessagesAfterCalls(t *testing.T) {
	s, address := newServer(t)
	s.cfg.HandleEvidence = func(conn net.Conn, _ *wirepb.EvidenceReport) { _ = frame.Write(conn, &wirepb.EvidenceReply{}) }
	p := newPool(t)
	call, err := p.OpenCallStream(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, call.Send(t.Context(), &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: &wirepb.CallHead{CallId: "7"}}}))
	require.NoError(t, frame.Read(call.Reader, &wirepb.AnswerHead{}, maxHeadBytes))
	call.Release()
	report, err := p.OpenStream(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = report.Close() }()
	require.NoError(t, report.Send(t.Context(), &wirepb.StreamHead{Kind: &wirepb.StreamHead_Evidence{Evidence: &wirepb.EvidenceReport{}}}))
	require.NoError(t, frame.Read(report.Reader, &wirepb.EvidenceReply{}, maxHeadBytes))
}

func TestAddressesOfEarlierRelaysAreForgotten(t *testing.T) {
	earlier, relay, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	p := NewPool(PoolConfig{Now: time.Now, IsWAN: func(address netip.AddrPort) bool { return address == other }})
	t.Cleanup(p.Close)
	p.SetWAN(map[netip.AddrPort]bool{earlier: true, other: false})
	require.Equal(t, []bool{true, false, false}, []bool{p.crossesWAN(earlier), p.crossesWAN(relay), p.crossesWAN(other)})
	p.SetWAN(map[netip.AddrPort]bool{relay: true})
	require.Equal(t, []bool{false, true, true}, []bool{p.crossesWAN(earlier), p.crossesWAN(relay), p.crossesWAN(other)})
	require.Len(t, p.wan, 1)
}

func TestPanicEndsOneStream(t *testing.T) {
	s, address := newServer(t)
	p := newPool(t)
	requireAnswer(t, p, address)
	stream, err := p.OpenStream(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	require.NoError(t, frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: &wirepb.CallHead{CallId: "panic"}}}))
	require.Error(t, frame.Read(stream.Reader, &wirepb.AnswerHead{}, maxHeadBytes))
	requireAnswer(t, p, address)
	require.Equal(t, uint64(1), s.Rejected.Load())
	require.Equal(t, 1, s.SessionCount())
}

func TestUnreachableNodeFailsAtOnceAndBacksOff(t *testing.T) {
	p := newPool(t)
	_, err := p.OpenStream(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"))
	var dial *DialError
	require.ErrorAs(t, err, &dial)
	_, err = p.OpenStream(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"))
	var backoff *BackoffError
	require.ErrorAs(t, err, &backoff)
}

// requireReadEnds checks that a read of a stream fails within the limit; the test does not hang if the read does.
func requireReadEnds(t *testing.T, stream *Stream, limit time.Duration) {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		ended <- err
	}()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(limit):
		require.Fail(t, "the read did not end within the limit")
	}
}

// The kernel accepts connections for a frozen node, but no ping is answered: the failed ping must end the streams.
func TestFrozenNodeEndsItsStreams(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p := newPool(t)
	stream, err := p.OpenStream(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	requireReadEnds(t, stream, 2*time.Second)
}

// An exchange with a frozen node must end at the call's deadline, long before a ping fails.
func TestCloseEndsAReadOfAFrozenNode(t *testing.T) {
	const deadline = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p := newPool(t)
	stream, err := p.OpenStream(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	requireReadEnds(t, stream, 4*deadline)
}

// A stream that is open only after its call was given up serves a later call; it must not stay open without a use.
func TestStreamOpenedTooLateIsReused(t *testing.T) {
	_, address := newServer(t)
	p := newPool(t)
	requireAnswer(t, p, address)
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	given := 0
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		stream, err := p.OpenCallStream(ctx, address)
		if err != nil {
			given++
			continue
		}
		stream.Release()
	}
	require.Eventually(t, func() bool { return s.activeStreams.Load() == 0 && s.mux.NumStreams() <= len(s.idleStreams)+1 }, 2*time.Second, time.Millisecond,
		"%d calls given up, %d streams open, %d idle", given, s.mux.NumStreams(), len(s.idleStreams))
}
