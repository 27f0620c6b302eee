package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

type inputKey struct{}

// input is what is known of one connection: whether it sent anything, and whether a handler saw a request of it.
type input struct {
	sent    atomic.Bool
	handled atomic.Bool
}

// inputWatch counts connections whose input net/http refused before any handler saw a request.
type inputWatch struct {
	refused func()
	conns   sync.Map
}

// watchInput calls refused for each connection of a server that sent garbage.
func watchInput(server *http.Server, refused func()) {
	w := &inputWatch{refused: refused}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if seen, found := request.Context().Value(inputKey{}).(*input); found {
			seen.handled.Store(true)
		}
		next.ServeHTTP(writer, request)
	})
	server.ConnContext = w.connContext
	server.ConnState = w.connState
}

func (w *inputWatch) connContext(ctx context.Context, conn net.Conn) context.Context {
	seen := &input{}
	w.conns.Store(conn, seen)
	return context.WithValue(ctx, inputKey{}, seen)
}

func (w *inputWatch) connState(conn net.Conn, state http.ConnState) {
	value, found := w.conns.Load(conn)
	if !found {
		return
	}
	seen, _ := value.(*input)
	switch state {
	case http.StateActive:
		seen.sent.Store(true)
	case http.StateClosed, http.StateHijacked:
		w.conns.Delete(conn)
		if seen.sent.Load() && !seen.handled.Load() {
			w.refused()
		}
	}
}
