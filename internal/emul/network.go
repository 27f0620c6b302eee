package emul

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Network is a network in memory, for tests in virtual time. The hosts on it can be silenced and killed.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*networkListener
	silent    map[netip.AddrPort]bool
	conns     map[netip.AddrPort][]net.Conn
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*networkListener{}, silent: map[netip.AddrPort]bool{}, conns: map[netip.AddrPort][]net.Conn{}}
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

// Silence makes a host unreachable: what it sends and what is sent to it is lost.
func (n *Network) Silence(host netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[host] = true
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
}

// Write implements net.Conn.
func (c *networkConn) Write(data []byte) (int, error) {
	if c.network.isSilent(c.hosts) {
		return len(data), nil
	}
	return c.Conn.Write(data)
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
