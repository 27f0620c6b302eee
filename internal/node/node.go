package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/turmericdale/turmericdale/internal/admin"
	"github.com/turmericdale/turmericdale/internal/claim"
	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/front"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/logs"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/meter"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/relay"
	"github.com/turmericdale/turmericdale/internal/route"
	"github.com/turmericdale/turmericdale/internal/source"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeaders    = 32 << 10
	headReserve   = 256 << 10
	trimInterval  = time.Hour
	trimPause     = time.Second
	// firstWait bounds how long callers of a node without configuration are kept waiting.
	firstWait = 2 * time.Second
)

// parts are what a node is wired from.
type parts struct {
	dig.In

	Settings *conf.Settings
	Logger   *zap.Logger
	Sink     *logs.Sink
	Now      clock
	Store    *store.Client
	Log      *oplog.Log
	Members  *member.Table
	Verdicts *move.Verdicts
	Pool     *peer.Pool
	Mover    *move.Controller
	Registry *local.Registry
	Hub      *relay.Hub
	Picker   *route.Picker
	Claims   *claim.Registry
	Importer *source.Importer
	Proxy    *route.Proxy
	Admin    *admin.Server
	Metrics  *meter.Metrics
	Status   *statusSource
}

// Node is one node process.
type Node struct {
	settings *conf.Settings
	logger   *zap.Logger
	now      clock
	store    *store.Client
	log      *oplog.Log
	members  *member.Table
	verdicts *move.Verdicts
	pool     *peer.Pool
	mover    *move.Controller
	registry *local.Registry
	hub      *relay.Hub
	picker   *route.Picker
	claims   *claim.Registry
	importer *source.Importer
	proxy    *route.Proxy
	admin    *admin.Server
	metrics  *meter.Metrics

	stopping atomic.Bool
	// serving is closed when callers begin to be served.
	serving chan struct{}
	peers   *peer.Server
	callers net.Listener
	admins  net.Listener
	locals  net.Listener
	// readies is nil when only the admin API tells whether the node takes callers.
	readies net.Listener
	front   *front.Server
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = listener(n.settings.CallerAddress); err != nil {
		return err
	}
	if n.admins, err = listener(n.settings.AdminAddress); err != nil {
		return err
	}
	if n.locals, err = listener(n.settings.AnnounceAddress); err != nil {
		return err
	}
	if n.settings.ReadyAddress.IsValid() {
		if n.readies, err = listener(n.settings.ReadyAddress); err != nil {
			return err
		}
	}
	peers, err := listener(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	n.peers = peer.NewServer(peer.ServerConfig{
		Listener: peers, MaxHeadBytes: n.settings.MaxBodyBytes + headReserve,
		ServeCall: n.takeCall, ServeLink: n.hub.ServeLink, HandleEvidence: n.takeEvidence, HandleInvitation: n.hub.HandleInvitation,
	})
	return nil
}

// takeCall serves a call that another node hands over.
func (n *Node) takeCall(ctx context.Context, conn net.Conn, head *wirepb.CallHead) {
	answer := n.registry.Call(ctx, head)
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_WITHDRAWN {
		answer.Verdicts = n.verdicts.List(head.GetService())
	}
	_ = conn.SetWriteDeadline(time.Now().Add(headerTimeout))
	_ = frame.Write(conn, answer)
}

func (n *Node) takeEvidence(conn net.Conn, report *wirepb.EvidenceReport) {
	_ = conn.SetWriteDeadline(time.Now().Add(headerTimeout))
	_ = frame.Write(conn, n.mover.HandleReport(report))
}

// Run serves until the context ends, then stops gracefully; it reports a stop that had to cut calls as *CutError.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info("node starts", zap.String("node", n.settings.Name), zap.String("data_centre", n.settings.DataCentre))
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	servers := n.start(group, background)
	var stopped error
	group.Go(func() error {
		select {
		case <-ctx.Done():
			stopped = n.drain()
		case <-background.Done():
		}
		n.shutdown(servers)
		stopBackground()
		return nil
	})
	err := group.Wait()
	n.pool.Close()
	n.store.Close()
	n.logger.Info("node stopped", zap.Error(stopped))
	if err != nil {
		return errors.Wrap(err, "run node")
	}
	return stopped
}

// start runs all tasks of the node and returns its HTTP servers.
func (n *Node) start(group *errgroup.Group, ctx context.Context) []*http.Server {
	run := func(task func(ctx context.Context)) {
		group.Go(func() error {
			task(ctx)
			return nil
		})
	}
	run(n.log.RunCommitter)
	run(n.hub.Run)
	run(n.mover.Run)
	run(n.registry.RunExpiry)
	run(n.trimClaims)
	if n.settings.OperatorRows {
		run(n.importer.Run)
	}
	run(func(ctx context.Context) { n.picker.Run(ctx, n.members.Feed.Changed) })
	group.Go(func() error { return n.peers.Serve(ctx) })
	n.serveCallers(group, ctx)
	servers := []*http.Server{
		n.serve(group, n.admins, n.closing(n.admin.Handler()), "admin"),
		n.serve(group, n.locals, n.announcements(), "announce"),
	}
	if n.readies != nil {
		servers = append(servers, n.serve(group, n.readies, n.readiness(), "ready"))
	}
	return servers
}

// serveCallers takes callers as soon as there is a configuration, or after a short wait without one.
func (n *Node) serveCallers(group *errgroup.Group, ctx context.Context) {
	n.front = front.New(front.Config{
		Handler: n.proxy, RefusalHandler: http.HandlerFunc(n.proxy.RefuseWhileStopping), Limits: n.limits,
		OnInvalidRequest: func() { n.metrics.CountInvalidInput("caller") },
	})
	group.Go(func() error {
		n.awaitConfiguration(ctx)
		close(n.serving)
		return errors.Wrap(n.front.Serve(ctx, n.callers), "serve callers")
	})
}

// limits returns what callers may send: what the operator says, within the node's settings.
func (n *Node) limits() front.Limits {
	limits := front.Limits{MaxHeaderBytes: maxHeaders, MaxBodyBytes: n.settings.MaxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	declared := n.log.State().Limits
	if declared.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = int64(declared.MaxHeaderBytes)
	}
	if declared.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = min(declared.MaxBodyBytes, limits.MaxBodyBytes)
	}
	if declared.HeaderTimeout > 0 {
		limits.HeaderTimeout = declared.HeaderTimeout
	}
	if declared.IdleTimeout > 0 {
		limits.IdleTimeout = declared.IdleTimeout
	}
	return limits
}

// awaitConfiguration lets callers of a node that just started wait a little rather than be refused, unless it stops.
func (n *Node) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstWait)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !n.stopping.Load() && (n.log.State().Revision == 0 || !n.hub.Joined()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) serve(group *errgroup.Group, l net.Listener, handler http.Handler, face string) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaders,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	watchInput(server, func() { n.metrics.CountInvalidInput(face) })
	group.Go(func() error {
		if err := server.Serve(l); !n.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+l.Addr().String())
		}
		return nil
	})
	return server
}

// closing ends a connection after its answer while the node stops, so that the caller sends nothing into a closed one.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// trimClaims removes keys of past days as long as this node is a relay.
func (n *Node) trimClaims(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for more := n.hub.IsRelay(); more && ctx.Err() == nil; {
			var err error
			if more, err = n.claims.DeleteExpired(ctx); err != nil {
				break
			}
			time.Sleep(trimPause)
		}
	}
}
