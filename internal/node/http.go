package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

type activityKey struct{}

// connActivity records whether a connection has sent data and whether one of its requests reached a handler.
type connActivity struct {
	sent    atomic.Bool
	handled atomic.Bool
}

// invalidRequestObserver detects connections whose data net/http rejected before any request reached a handler.
type invalidRequestObserver struct {
	onInvalidRequest func()
	conns            sync.Map
}

// observeInvalidRequests calls onInvalidRequest when a connection of the server ends that has sent data but no valid request.
func observeInvalidRequests(server *http.Server, onInvalidRequest func()) {
	o := &invalidRequestObserver{onInvalidRequest: onInvalidRequest}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if activity, found := request.Context().Value(activityKey{}).(*connActivity); found {
			activity.handled.Store(true)
		}
		next.ServeHTTP(writer, request)
	})
	server.ConnContext = o.connContext
	server.ConnState = o.connState
}

func (o *invalidRequestObserver) connContext(ctx context.Context, conn net.Conn) context.Context {
	activity := &connActivity{}
	o.conns.Store(conn, activity)
	return context.WithValue(ctx, activityKey{}, activity)
}

func (o *invalidRequestObserver) connState(conn net.Conn, state http.ConnState) {
	value, found := o.conns.Load(conn)
	if !found {
		return
	}
	activity, _ := value.(*connActivity)
	switch state {
	case http.StateActive:
		activity.sent.Store(true)
	case http.StateClosed, http.StateHijacked:
		o.conns.Delete(conn)
		if activity.sent.Load() && !activity.handled.Load() {
			o.onInvalidRequest()
		}
	}
}
