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
	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/claim"
	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/depart"
	"github.com/turmericdale/turmericdale/internal/egress"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/front"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/logs"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/meter"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/quota"
	"github.com/turmericdale/turmericdale/internal/relay"
	"github.com/turmericdale/turmericdale/internal/route"
	"github.com/turmericdale/turmericdale/internal/source"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// headReserveBytes is the room for the headers and other fields of a call's first message besides the body.
	headReserveBytes = 256 << 10
	expiryInterval   = time.Hour
	claimBatchDelay  = time.Second
	// firstConfigurationTimeout bounds how long callers of a new node wait until it has a configuration and has joined.
	firstConfigurationTimeout = 2 * time.Second
	// firstUpstreamsTimeout bounds how long callers of a node that has joined wait until it knows upstreams of each service
	// in use; a service may have none.
	firstUpstreamsTimeout = 400 * time.Millisecond
)

// dependencies are the components that the container passes to newNode.
type dependencies struct {
	dig.In

	Settings       *conf.Settings
	Logger         *zap.Logger
	Sink           *logs.Sink
	Now            clock
	Store          *store.Client
	Log            *oplog.Log
	Members        *member.Table
	Verdicts       *move.Verdicts
	Pool           *peer.Pool
	MoveController *move.Controller
	LocalRegistry  *local.Registry
	Hub            *relay.Hub
	Picker         *route.Picker
	Egress         *egress.Limiter
	Claims         *claim.Registry
	Departures     *depart.Ledger
	Quota          *quota.Limiter
	Importer       *source.Importer
	Proxy          *route.Proxy
	Admin          *admin.Server
	Metrics        *meter.Metrics
	Budget         *budget.Budget
	Status         *statusSource
}

// Node runs the components of one node process.
type Node struct {
	settings       *conf.Settings
	logger         *zap.Logger
	now            clock
	store          *store.Client
	log            *oplog.Log
	members        *member.Table
	verdicts       *move.Verdicts
	pool           *peer.Pool
	moveController *move.Controller
	localRegistry  *local.Registry
	hub            *relay.Hub
	picker         *route.Picker
	egress         *egress.Limiter
	claims         *claim.Registry
	departures     *depart.Ledger
	quota          *quota.Limiter
	importer       *source.Importer
	proxy          *route.Proxy
	admin          *admin.Server
	metrics        *meter.Metrics
	budget         *budget.Budget

	stopping atomic.Bool
	// serving is closed when the node starts to accept callers.
	serving          chan struct{}
	peerServer       *peer.Server
	callerListener   net.Listener
	adminListener    net.Listener
	announceListener net.Listener
	// readyListener is nil when readiness is served by the admin API alone.
	readyListener net.Listener
	callerServer  *front.Server
}

func (n *Node) listen() error {
	var err error
	if n.callerListener, err = listenTCP(n.settings.CallerAddress); err != nil {
		return err
	}
	if n.adminListener, err = listenTCP(n.settings.AdminAddress); err != nil {
		return err
	}
	if n.announceListener, err = listenTCP(n.settings.AnnounceAddress); err != nil {
		return err
	}
	if n.settings.ReadyAddress.IsValid() {
		if n.readyListener, err = listenTCP(n.settings.ReadyAddress); err != nil {
			return err
		}
	}
	peerListener, err := peer.Listen(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	n.peerServer = peer.NewServer(peer.ServerConfig{
		Listener: peerListener, MaxHeadBytes: n.settings.MaxBodyBytes + headReserveBytes, Budget: n.budget,
		OnPanic: n.logPanic, ServeCall: n.serveCall, ServeLink: n.hub.ServeLink, HandleEvidence: n.handleEvidence, HandleQuota: n.handleQuota, HandleInvitation: n.hub.HandleInvitation,
	})
	return nil
}

// serveCall runs a call from another node on a local upstream. A refusal because the version was taken back carries the
// verdicts on the service. A call whose response the VM's link cannot send in time is refused before it runs.
func (n *Node) serveCall(ctx context.Context, conn net.Conn, head *wirepb.CallHead) {
	late := head.GetObjectiveLeft() != nil && head.GetObjectiveLeft().AsDuration() <= 0
	reservation, admitted := n.egress.Reserve(egress.Request{
		Route: head.GetRoute(), RespondBy: local.RespondBy(head, n.now()), Secondary: head.GetForeign() || late,
	})
	if !admitted {
		n.logger.Info("call refused: network link is busy", zap.String("id", head.GetCallId()), zap.String("route", head.GetRoute()),
			zap.Bool("foreign", head.GetForeign()), zap.Bool("late", late), zap.Duration("backlog", n.egress.Backlog()))
		n.writeAnswer(conn, &wirepb.AnswerHead{
			CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED,
		})
		return
	}
	answer := n.localRegistry.Call(ctx, head)
	if answer.GetOutcome() != wirepb.Outcome_OUTCOME_ANSWERED {
		reservation.Cancel()
	} else if reservation.Send(ctx, len(answer.GetBody())) != nil {
		// The caller is gone.
		return
	}
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_WITHDRAWN {
		answer.Verdicts = n.verdicts.List(head.GetService())
	}
	n.writeAnswer(conn, answer)
}

// writeAnswer sends an answer. In place of one that cannot be encoded it sends what is certain of the outcome, since the caller's node waits.
func (n *Node) writeAnswer(conn net.Conn, answer *wirepb.AnswerHead) {
	_ = conn.SetWriteDeadline(time.Now().Add(headerTimeout))
	err := frame.Write(conn, answer)
	var encode *frame.EncodeError
	if !errors.As(err, &encode) {
		return
	}
	n.logger.Warn("could not encode an answer", zap.String("id", answer.GetCallId()), zap.Error(err))
	replacement := &wirepb.AnswerHead{CallId: answer.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Detail: "the answer of the upstream cannot be encoded", Arrived: true}
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		replacement.Outcome, replacement.Refusal, replacement.Detail = answer.GetOutcome(), answer.GetRefusal(), ""
	}
	_ = frame.Write(conn, replacement)
}

func (n *Node) handleEvidence(conn net.Conn, report *wirepb.EvidenceReport) {
	_ = conn.SetWriteDeadline(time.Now().Add(headerTimeout))
	_ = frame.Write(conn, n.moveController.HandleReport(report))
}

func (n *Node) handleQuota(conn net.Conn, request *wirepb.QuotaRequest) {
	_ = conn.SetWriteDeadline(time.Now().Add(headerTimeout))
	_ = frame.Write(conn, n.quota.HandleRequest(request))
}

// Run serves until the context ends, then stops gracefully; it returns *StopTimeoutError if calls were still running at the
// stop timeout.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info("node starting", zap.String("node", n.settings.Name), zap.String("data_centre", n.settings.DataCentre))
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	servers := n.start(group, background)
	var drainError error
	group.Go(func() error {
		select {
		case <-ctx.Done():
			drainError = n.drain()
		case <-background.Done():
		}
		n.shutdown(servers)
		stopBackground()
		return nil
	})
	err := group.Wait()
	n.pool.Close()
	n.store.Close()
	n.logger.Info("node stopped", zap.Error(drainError))
	if err != nil {
		return errors.Wrap(err, "run node")
	}
	return drainError
}

// start starts all tasks of the node and returns its HTTP servers, except the one for callers.
func (n *Node) start(group *errgroup.Group, ctx context.Context) []*http.Server {
	run := func(task func(ctx context.Context)) {
		group.Go(func() error {
			task(ctx)
			return nil
		})
	}
	run(n.log.RunCommitter)
	run(n.hub.Run)
	run(n.moveController.Run)
	run(n.localRegistry.RunExpiry)
	run(n.runExpiry)
	run(n.quota.Run)
	run(n.watchStalls)
	run(n.watchEvacuations)
	if n.settings.OperatorRows {
		run(n.importer.Run)
	}
	run(func(ctx context.Context) { n.picker.Run(ctx, n.members.Feed.Changed) })
	group.Go(func() error { return n.peerServer.Serve(ctx) })
	n.startCallerServer(group, ctx)
	servers := []*http.Server{
		n.startServer(group, n.adminListener, n.closeWhileStopping(n.admin.Handler()), "admin"),
		n.startServer(group, n.announceListener, n.announceHandler(), "announce"),
	}
	if n.readyListener != nil {
		servers = append(servers, n.startServer(group, n.readyListener, n.readinessHandler(), "ready"))
	}
	return servers
}

// startCallerServer accepts callers once the node has a configuration, or after firstConfigurationTimeout without one.
func (n *Node) startCallerServer(group *errgroup.Group, ctx context.Context) {
	n.callerServer = front.New(front.Config{
		Handler: n.proxy, RefusalHandler: http.HandlerFunc(n.proxy.RefuseWhileStopping), Limits: n.callerLimits,
		OnAcceptFailure: n.newAcceptFailureLog(), OverloadHandler: http.HandlerFunc(n.proxy.RefuseForMemory), Budget: n.budget, MaxConnections: maxCallerConnections(n.settings.MaxDescriptors),
		OnInvalidRequest: func() { n.metrics.CountInvalidInput("caller") }, OnPanic: n.logPanic,
	})
	n.registerCallerMetrics()
	group.Go(func() error {
		n.awaitConfiguration(ctx)
		close(n.serving)
		return errors.Wrap(n.callerServer.Serve(ctx, n.callerListener), "serve callers")
	})
}

func (n *Node) logPanic(value any, stack []byte) {
	n.logger.Error("panic while serving a request", zap.Any("value", value), zap.ByteString("stack", stack))
}

// callerLimits returns the limits for callers: those of the settings tree where set, else the defaults. The body limit of the
// node's settings is never exceeded.
func (n *Node) callerLimits() front.Limits {
	limits := front.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: n.settings.MaxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	operatorLimits := n.log.State().Limits
	if operatorLimits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = int64(operatorLimits.MaxHeaderBytes)
	}
	if operatorLimits.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = min(operatorLimits.MaxBodyBytes, limits.MaxBodyBytes)
	}
	if operatorLimits.HeaderTimeout > 0 {
		limits.HeaderTimeout = operatorLimits.HeaderTimeout
	}
	if operatorLimits.IdleTimeout > 0 {
		limits.IdleTimeout = operatorLimits.IdleTimeout
	}
	return limits
}

// awaitConfiguration waits until the node has a configuration, has joined and knows the upstreams, so that callers of a node that
// just started wait briefly instead of being refused. It returns early when the node stops.
func (n *Node) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstConfigurationTimeout)
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var joinedAt time.Time
	for !n.stopping.Load() {
		if n.log.State().Revision > 0 && n.hub.Joined() {
			if joinedAt.IsZero() {
				joinedAt = n.now()
			}
			if n.knowsUpstreams() || n.now().Sub(joinedAt) >= firstUpstreamsTimeout {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// knowsUpstreams reports whether the node knows an upstream of each service.
func (n *Node) knowsUpstreams() bool {
	for name := range n.log.State().Services {
		if len(n.members.Upstreams(name)) == 0 {
			return false
		}
	}
	return true
}

func (n *Node) startServer(group *errgroup.Group, listener net.Listener, handler http.Handler, endpoint string) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	observeInvalidRequests(server, func() { n.metrics.CountInvalidInput(endpoint) })
	group.Go(func() error {
		if err := server.Serve(listener); !n.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+listener.Addr().String())
		}
		return nil
	})
	return server
}

// closeWhileStopping closes connections after their response while the node stops, so that no client sends another request on
// a connection that is being closed.
func (n *Node) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// runExpiry deletes the expired rows of the platform's table at every expiryInterval while this node is a relay.
func (n *Node) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.deleteExpiredClaims(ctx)
		if n.hub.RelayRank() != 0 {
			continue
		}
		if err := n.departures.DeleteExpired(ctx); err != nil {
			n.logger.Info("could not delete expired departures", zap.Error(err))
		}
	}
}

// deleteExpiredClaims deletes expired claims of idempotency keys in batches while this node is a relay.
func (n *Node) deleteExpiredClaims(ctx context.Context) {
	for more := n.hub.IsRelay(); more && ctx.Err() == nil; {
		var err error
		if more, err = n.claims.DeleteExpired(ctx); err != nil {
			return
		}
		time.Sleep(claimBatchDelay)
	}
}
