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
	bufferBytes = 16 << 10
	// holdPollInterval is how often a direction that is held back or stalled checks whether it may continue.
	holdPollInterval = 5 * time.Millisecond
)

// ConnectionFaults describes the faults that a FaultProxy injects.
type ConnectionFaults struct {
	// Delay is added to each chunk of data.
	Delay time.Duration
	// HoldToTarget and HoldFromTarget hold back the data of one direction; it is forwarded when the fault ends.
	HoldToTarget   bool
	HoldFromTarget bool
	// StallProbability is the chance, 0 to 1, that an open connection stops forwarding for good; new connections are not affected.
	StallProbability float64
}

// FaultProxy forwards TCP connections to a target and injects faults.
type FaultProxy struct {
	target netip.AddrPort

	mu     sync.Mutex
	faults ConnectionFaults
	conns  map[*proxiedConn]bool
}

// proxiedConn is a client's connection and the connection to the target that its data is forwarded on.
type proxiedConn struct {
	target, client net.Conn
	stalled        bool
}

// NewFaultProxy returns a FaultProxy for a target.
func NewFaultProxy(target netip.AddrPort) *FaultProxy {
	return &FaultProxy{target: target, conns: map[*proxiedConn]bool{}}
}

// Serve forwards the connections of a listener until the context ends.
func (p *FaultProxy) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer p.ResetConnections(1)
	for {
		accepted, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		wait.Go(func() { p.serveConn(ctx, accepted) })
	}
}

// SetFaults replaces the faults in force and draws which of the open connections stall.
func (p *FaultProxy) SetFaults(faults ConnectionFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	for c := range p.conns {
		c.stalled = c.stalled || rand.Float64() < faults.StallProbability
	}
}

// ResetConnections resets each open connection with the given probability, 0 to 1.
func (p *FaultProxy) ResetConnections(probability float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if rand.Float64() < probability {
			c.reset()
		}
	}
}

func (c *proxiedConn) reset() {
	for _, conn := range []net.Conn{c.target, c.client} {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *FaultProxy) serveConn(ctx context.Context, accepted net.Conn) {
	dialled, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target.String())
	if err != nil {
		_ = accepted.Close()
		return
	}
	c := &proxiedConn{target: dialled, client: accepted}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.forward(ctx, c, c.target, c.client, func(f ConnectionFaults) bool { return f.HoldToTarget }) })
	p.forward(ctx, c, c.client, c.target, func(f ConnectionFaults) bool { return f.HoldFromTarget })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies one direction until it ends, then closes both connections.
func (p *FaultProxy) forward(ctx context.Context, c *proxiedConn, to io.Writer, from io.Reader, isHeld func(faults ConnectionFaults) bool) {
	defer func() {
		_ = c.target.Close()
		_ = c.client.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		sleep(ctx, p.currentFaults().Delay)
		for (p.isStalled(c) || isHeld(p.currentFaults())) && ctx.Err() == nil {
			sleep(ctx, holdPollInterval)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *FaultProxy) currentFaults() ConnectionFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *FaultProxy) isStalled(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.stalled && p.conns[c]
}
