package emul

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	wireBuffer = 16 << 10
	// wirePoll is how often a silenced direction looks whether it may go on.
	wirePoll = 5 * time.Millisecond
)

// ConnectionFaults describes how connections misbehave on their way.
type ConnectionFaults struct {
	// Delay is added to each piece of data.
	Delay time.Duration
	// HoldToTarget and CutBack hold back the data of one direction; what is held back arrives when the cut ends.
	HoldToTarget   bool
	HoldFromTarget bool
	// StallProbability is the share of the open connections, 0 to 1, that deliver nothing further for good, while new ones work.
	StallProbability float64
}

// FaultProxy passes TCP connections on to a target and misbehaves as it is told.
type FaultProxy struct {
	target netip.AddrPort

	mu     sync.Mutex
	faults ConnectionFaults
	conns  map[*wireConn]bool
}

// wireConn is one connection on its way.
type wireConn struct {
	there, back net.Conn
	silent      bool
}

// NewFaultProxy returns a wire to a target that carries nothing yet.
func NewFaultProxy(target netip.AddrPort) *FaultProxy {
	return &FaultProxy{target: target, conns: map[*wireConn]bool{}}
}

// Serve passes on the connections of a listener until the context ends.
func (w *FaultProxy) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer w.ResetConnections(1)
	for {
		accepted, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		wait.Go(func() { w.carry(ctx, accepted) })
	}
}

// SetFaults replaces the faults in force.
func (w *FaultProxy) SetFaults(faults ConnectionFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
	for c := range w.conns {
		c.silent = c.silent || rand.Float64() < faults.StallProbability
	}
}

// ResetConnections resets a share of the open connections, 0 to 1.
func (w *FaultProxy) ResetConnections(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if rand.Float64() < share {
			c.reset()
		}
	}
}

func (c *wireConn) reset() {
	for _, conn := range []net.Conn{c.there, c.back} {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (w *FaultProxy) carry(ctx context.Context, accepted net.Conn) {
	dialled, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.target.String())
	if err != nil {
		_ = accepted.Close()
		return
	}
	c := &wireConn{there: dialled, back: accepted}
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { w.copy(ctx, c, c.there, c.back, func(f ConnectionFaults) bool { return f.HoldToTarget }) })
	w.copy(ctx, c, c.back, c.there, func(f ConnectionFaults) bool { return f.HoldFromTarget })
	wait.Wait()
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
}

// copy passes on one direction until it ends, and ends the other side then.
func (w *FaultProxy) copy(ctx context.Context, c *wireConn, to io.Writer, from io.Reader, cut func(faults ConnectionFaults) bool) {
	defer func() {
		_ = c.there.Close()
		_ = c.back.Close()
	}()
	buffer := make([]byte, wireBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		rest(ctx, w.state().Delay)
		for (w.isSilent(c) || cut(w.state())) && ctx.Err() == nil {
			rest(ctx, wirePoll)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *FaultProxy) state() ConnectionFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *FaultProxy) isSilent(c *wireConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent && w.conns[c]
}
