package emul

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
)

// Network is a network in memory, for tests in virtual time. The hosts on it can be silenced and killed.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*networkListener
	silent    map[netip.AddrPort]bool
	conns     map[netip.AddrPort][]*networkConn
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*networkListener{}, silent: map[netip.AddrPort]bool{}, conns: map[netip.AddrPort][]*networkConn{}}
}

// Listen returns the listener of a host.
func (n *Network) Listen(host netip.AddrPort) net.Listener {
	l := &networkListener{host: host, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

// Dial connects a host to the listener of another one.
func (n *Network) Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	listener, silent := n.listeners[to], n.silent[from] || n.silent[to]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
	refused := &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	if listener == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	local, remote := &networkConn{Conn: near, network: n, hosts: [2]netip.AddrPort{from, to}}, &networkConn{Conn: far, network: n, hosts: [2]netip.AddrPort{from, to}}
	local.remote, remote.remote = remote, local
	select {
	case listener.accepted <- remote:
	case <-listener.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[from], n.conns[to] = append(n.conns[from], local), append(n.conns[to], remote)
	return local, nil
}

// Silence makes a host unreachable until Restore: what it sends and what is sent to it is held back.
func (n *Network) Silence(host netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[host] = true
}

// Restore ends the silence of a host: connections deliver what they held back, as TCP does.
func (n *Network) Restore(host netip.AddrPort) {
	n.mu.Lock()
	delete(n.silent, host)
	conns := slices.Clone(n.conns[host])
	n.mu.Unlock()
	for _, c := range conns {
		go c.deliver()
		go c.remote.deliver()
	}
}

// Kill closes the listener and all connections of a host.
func (n *Network) Kill(host netip.AddrPort) {
	n.mu.Lock()
	listener, conns := n.listeners[host], n.conns[host]
	delete(n.listeners, host)
	delete(n.conns, host)
	n.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

func (n *Network) isSilent(hosts [2]netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[hosts[0]] || n.silent[hosts[1]]
}

// networkConn is one side of a connection between two hosts.
type networkConn struct {
	net.Conn

	network *Network
	hosts   [2]netip.AddrPort
	remote  *networkConn

	mu sync.Mutex
	// held is what was written and not delivered while a host was silent.
	held       []byte
	delivering bool
}

// Write implements net.Conn.
func (c *networkConn) Write(data []byte) (int, error) {
	if c.hold(data) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// hold keeps data back and reports whether it did: while a host is silent, or earlier data waits.
func (c *networkConn) hold(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) == 0 && !c.network.isSilent(c.hosts) {
		return false
	}
	c.held = append(c.held, data...)
	return true
}

// deliver writes what was held back, unless that is being done or a host is silent.
func (c *networkConn) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		return
	}
	c.delivering = true
	defer func() { c.delivering = false }()
	for len(c.held) > 0 && !c.network.isSilent(c.hosts) {
		data := slices.Clone(c.held)
		c.mu.Unlock()
		_, err := c.Conn.Write(data)
		c.mu.Lock()
		if err != nil {
			return
		}
		c.held = c.held[len(data):]
	}
}

type networkListener struct {
	host     netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *networkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.host) }
