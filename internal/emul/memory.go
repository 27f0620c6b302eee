package emul

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// ServeInMemory serves the platform over connections in memory, which dial opens whatever the address, until stop is called.
func (p *Platform) ServeInMemory() (dial func(ctx context.Context, network, address string) (net.Conn, error), stop func()) {
	network, host := NewNetwork(), netip.AddrPort{}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	listener := network.Listen(host)
	go func() { _ = server.Serve(listener) }()
	dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return network.Dial(ctx, host, host) }
	return dial, func() { _ = server.Close() }
}
