package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/admin"
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
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// New builds a node from its settings and opens its listeners.
func New(settings *conf.Settings, logger *zap.Logger, sink *logs.Sink) (*Node, error) {
	container := dig.New()
	constructors := []any{
		func() *conf.Settings { return settings },
		func() *zap.Logger { return logger },
		func() *logs.Sink { return sink },
		func() clock { return time.Now },
		meter.New, move.NewVerdicts,
		newBudget, newStore, newLog, newMembers, newPool, newMonitor, newMoveController, newDepartures, newLocalRegistry, newHub,
		newPicker, newEgress, newClaims, newQuotaSource, newQuota, newImporter, newProxy, newStatusSource, newAdmin, newNode,
	}
	for _, c := range constructors {
		if err := container.Provide(c); err != nil {
			return nil, errors.Wrap(err, "provide node component")
		}
	}
	var n *Node
	err := container.Invoke(func(built *Node) { n = built })
	return n, errors.Wrap(err, "build node")
}

type clock func() time.Time

const (
	// slowOperationThreshold is the time from which an operation on the platform is logged.
	slowOperationThreshold = 250 * time.Millisecond
	// slowOperationsLogged is the number of slow operations that are logged per second.
	slowOperationsLogged = 5
)

func newStore(s *conf.Settings, logger *zap.Logger, metrics *meter.Metrics) *store.Client {
	limiter := rate.NewLimiter(slowOperationsLogged, slowOperationsLogged)
	return store.New(store.Config{Address: s.PlatformAddress, Logger: logger, Observe: func(operation string, took time.Duration, err error) {
		metrics.ObservePlatform(operation, took)
		if took >= slowOperationThreshold && limiter.Allow() {
			logger.Info("slow platform operation", zap.String("operation", operation), zap.Duration("took", took), zap.Error(err))
		}
	}})
}

func newLog(s *conf.Settings, client *store.Client, logger *zap.Logger, now clock, metrics *meter.Metrics, claims *claim.Registry,
	departures *depart.Ledger,
) *oplog.Log {
	cfg := oplog.Config{
		Store: client, Logger: logger, Now: now, OnApplied: metrics.ObserveChangeAge,
		WatchesEras: func() bool { return claims.HasRecent() || departures.HasRecent() },
	}
	if s.OperatorRows {
		cfg.ExportRows = source.StatusRows
	}
	return oplog.New(cfg)
}

func newImporter(logger *zap.Logger, now clock, client *store.Client, log *oplog.Log, hub *relay.Hub, metrics *meter.Metrics) *source.Importer {
	return source.New(source.Config{
		Logger: logger, Now: now, Store: client, Log: log, Rank: hub.RelayRank, OnInvalidRow: func() { metrics.CountInvalidInput("operator") },
	})
}

func newMembers(s *conf.Settings, now clock) *member.Table {
	return member.New(member.Config{Now: now, Self: &wirepb.MemberRecord{
		Node: s.Name, Life: uint64(now().UnixNano()), Sequence: 1, Region: s.Region,
		DataCentre: s.DataCentre, PeerAddress: s.PeerAddress.String(),
	}})
}

func newPool(s *conf.Settings, now clock, members *member.Table) *peer.Pool {
	return peer.NewPool(peer.PoolConfig{Now: now, IsWAN: func(address netip.AddrPort) bool {
		sameDataCentre := members.Select(func(r *wirepb.MemberRecord) bool {
			return r.GetDataCentre() == s.DataCentre && r.GetPeerAddress() == address.String()
		})
		return len(sameDataCentre) == 0
	}})
}

// controllerRef breaks the cyclic dependency between the monitor, which calls the move controller on an alarm, and the move
// controller, which reads the monitor.
type controllerRef struct {
	controller *move.Controller
}

func newMonitor(now clock, log *oplog.Log) (*move.Monitor, *controllerRef) {
	ref := &controllerRef{}
	return move.NewMonitor(move.MonitorConfig{
		Now: now, State: log.State,
		OnAlarm: func(service string) { ref.controller.ReportNow(service) },
	}), ref
}

func newMoveController(s *conf.Settings, logger *zap.Logger, now clock, log *oplog.Log, members *member.Table,
	verdicts *move.Verdicts, monitor *move.Monitor, pool *peer.Pool, metrics *meter.Metrics, ref *controllerRef,
) *move.Controller {
	ref.controller = move.New(move.Config{
		Node: s.Name, Policy: s.MovePolicy, Logger: logger, Now: now, Log: log,
		Members: members, Verdicts: verdicts, Monitor: monitor,
		SendReport: func(ctx context.Context, address netip.AddrPort, report *wirepb.EvidenceReport) (*wirepb.EvidenceReply, error) {
			metrics.CountEvidenceBytes(proto.Size(report))
			return sendEvidence(ctx, pool, address, report)
		},
	})
	return ref.controller
}

const maxEvidenceReplyBytes = 1 << 20

func sendEvidence(ctx context.Context, pool *peer.Pool, address netip.AddrPort, report *wirepb.EvidenceReport) (*wirepb.EvidenceReply, error) {
	reply := &wirepb.EvidenceReply{}
	return reply, exchange(ctx, pool, address, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Evidence{Evidence: report}}, reply, maxEvidenceReplyBytes)
}

// exchange sends a message other than a call to a node and reads the reply.
func exchange(ctx context.Context, pool *peer.Pool, address netip.AddrPort, message *wirepb.StreamHead, reply proto.Message, maxReplyBytes int64) error {
	stream, err := pool.OpenStream(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.Send(ctx, message); err != nil {
		return err
	}
	return frame.Read(stream.Reader, reply, maxReplyBytes)
}

// quotaSource returns the quotas in force by workspace. It is called for each call of a workspace, so that it must not build the map.
type quotaSource func() map[string]quota.Quota

func newQuotaSource(log *oplog.Log) quotaSource {
	type quotasOfState struct {
		state  *tree.State
		quotas map[string]quota.Quota
	}
	var newest atomic.Pointer[quotasOfState]
	return func() map[string]quota.Quota {
		state := log.State()
		if known := newest.Load(); known != nil && known.state == state {
			return known.quotas
		}
		quotas := make(map[string]quota.Quota, len(state.Workspaces))
		for name, w := range state.Workspaces {
			quotas[name] = quota.Quota{Rate: w.Rate, Burst: w.Burst}
		}
		newest.Store(&quotasOfState{state: state, quotas: quotas})
		return quotas
	}
}

// checkQuota decides on a call of a workspace by the tokens of its quota.
func checkQuota(limiter *quota.Limiter) func(ctx context.Context, w *tree.Workspace, wait time.Duration) route.QuotaDecision {
	return func(ctx context.Context, w *tree.Workspace, wait time.Duration) route.QuotaDecision {
		decision := limiter.Take(ctx, w.Name, wait)
		return route.QuotaDecision{
			Admitted: decision.Admitted, Unavailable: decision.Unavailable, RetryAfter: decision.RetryAfter, Release: decision.Release,
		}
	}
}

func newQuota(s *conf.Settings, logger *zap.Logger, now clock, members *member.Table, hub *relay.Hub, pool *peer.Pool, quotas quotaSource) *quota.Limiter {
	return quota.New(quota.Config{
		Node: s.Name, Life: members.Record(s.Name).GetLife(), Now: now, Logger: logger, Quotas: quotas, Joined: hub.Joined,
		Bounds:  quota.Bounds{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		Members: func(silent time.Duration) []quota.Member { return quotaMembers(s.Name, members, silent) },
		Send: func(ctx context.Context, node string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
			address, err := netip.ParseAddrPort(members.Record(node).GetPeerAddress())
			if err != nil {
				return nil, errors.Wrap(err, "address of quota owner")
			}
			return sendQuota(ctx, pool, address, request)
		},
	})
}

// quotaMembers returns the nodes that are live, have left, or went down less than a time ago, ordered by name. This node is live whatever
// others say.
func quotaMembers(self string, members *member.Table, silent time.Duration) []quota.Member {
	var list []quota.Member
	for _, r := range members.Records() {
		down := r.GetDown() && r.GetNode() != self
		if !down || r.GetLeft() || members.RecordAge(r.GetNode()) < silent {
			list = append(list, quota.Member{Name: r.GetNode(), Live: !down, Left: down && r.GetLeft(), Started: time.Unix(0, int64(r.GetLife()))})
		}
	}
	return list
}

const maxQuotaReplyBytes = 1 << 20

func sendQuota(ctx context.Context, pool *peer.Pool, address netip.AddrPort, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
	reply := &wirepb.QuotaReply{}
	return reply, exchange(ctx, pool, address, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Quota{Quota: request}}, reply, maxQuotaReplyBytes)
}

func newDepartures(s *conf.Settings, logger *zap.Logger, now clock, client *store.Client) *depart.Ledger {
	return depart.New(depart.Config{Node: s.Name, Logger: logger, Now: now, Store: client})
}

func newLocalRegistry(s *conf.Settings, logger *zap.Logger, now clock, log *oplog.Log, members *member.Table,
	verdicts *move.Verdicts, monitor *move.Monitor, departures *depart.Ledger, metrics *meter.Metrics,
) *local.Registry {
	return local.New(local.Config{
		Logger: logger, Now: now, QueueFactor: s.QueueFactor, MaxBodyBytes: s.MaxBodyBytes,
		Headers: s.Headers, AnnounceInterval: s.AnnounceInterval,
		AdmissionPolicy:    s.AdmissionPolicy,
		WorkspacesDeclared: func() bool { return len(log.State().Workspaces) > 0 },
		Observe:            monitor.Observe, OnMalformedResponse: func() { metrics.CountInvalidInput("upstream") },
		CheckExposure: func(exposure local.Exposure) wirepb.Refusal {
			if s.MovePolicy == move.PolicyClock {
				return wirepb.Refusal_REFUSAL_UNSPECIFIED
			}
			return move.CheckExposure(log.State().Services[exposure.Service], exposure, verdicts, monitor.Alarmed(exposure.Service))
		},
		Evacuated: func() bool { return log.State().Evacuated[s.DataCentre] },
		ColdLimit: func(service string) float64 {
			if declared, found := log.State().Services[service]; found {
				return declared.ColdRate * s.ColdOverage
			}
			return 0
		},
		RecordDeparture: departures.Record, LoadDepartures: departures.Load,
		OnUpstreamsChange: func(upstreams []*wirepb.MemberUpstream) {
			members.UpdateSelf(func(record *wirepb.MemberRecord) { record.Upstreams = upstreams })
		},
	})
}

// pollsPerRevocation is the number of polls of a relay within the time in which a removed key must be refused.
const pollsPerRevocation = 4

// pollInterval returns the interval at which a relay polls the platform.
func pollInterval(s *conf.Settings) time.Duration {
	if s.StrictRevocation {
		return min(s.PollInterval, s.Revoke/pollsPerRevocation)
	}
	return s.PollInterval
}

// revocationAge returns the age of the configuration from which requests that need a key are refused, or 0 if it does not matter. The age that
// a node knows leaves out the time for which its relay may not have read the platform.
func revocationAge(s *conf.Settings) time.Duration {
	if !s.StrictRevocation {
		return 0
	}
	return max(s.Revoke-relay.MaxUnread(pollInterval(s)), s.Revoke/3)
}

func newHub(s *conf.Settings, logger *zap.Logger, now clock, client *store.Client, log *oplog.Log,
	members *member.Table, verdicts *move.Verdicts, pool *peer.Pool,
) *relay.Hub {
	return relay.New(relay.Config{
		Node: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, Seeds: s.Seeds,
		MaxChildren: s.MaxChildren, PollInterval: pollInterval(s), Logger: logger, Now: now,
		Store: client, Log: log, Members: members, Verdicts: verdicts, Pool: pool,
	})
}

func newPicker(s *conf.Settings, now clock, log *oplog.Log, members *member.Table, pool *peer.Pool) *route.Picker {
	return route.NewPicker(route.PickerConfig{
		Node: s.Name, DataCentre: s.DataCentre, Region: s.Region, Policy: s.PickPolicy, SubsetSize: s.SubsetSize,
		Now: now, Upstreams: members.Upstreams, Preconnect: pool.Preconnect, IsSuspect: pool.IsSuspect,
		Evacuated: func() map[string]bool { return log.State().Evacuated },
	})
}

func newEgress(s *conf.Settings, now clock) *egress.Limiter {
	return egress.New(egress.Config{BitsPerSecond: s.LinkBitsPerSecond, Now: now})
}

func newClaims(client *store.Client, now clock, logger *zap.Logger) *claim.Registry {
	return claim.New(claim.Config{Store: client, Now: now, Logger: logger})
}

func newProxy(s *conf.Settings, logger *zap.Logger, now clock, log *oplog.Log, verdicts *move.Verdicts, picker *route.Picker, pool *peer.Pool,
	localRegistry *local.Registry, claims *claim.Registry, metrics *meter.Metrics, status *statusSource, members *member.Table, hub *relay.Hub, quotas *quota.Limiter,
) *route.Proxy {
	return route.New(route.Config{
		Revoke: revocationAge(s), WorkspaceName: platform.WorkspaceName,
		Logger: logger, Node: s.Name, Service: s.Service, Headers: s.Headers, MaxBodyBytes: s.MaxBodyBytes, Now: now, State: log.State, Verdicts: verdicts,
		RetryBudget: route.RetryBudgetConfig{
			Ratio: s.RetryRatio, Reserve: float64(s.RetryReserve), Slack: s.RetrySlack, CountNodes: members.LiveCount, Now: now,
		},
		Picker: picker, Pool: pool, Local: localRegistry, Claims: claims, Quota: checkQuota(quotas),
		Observe: metrics.ObserveCall, OnInvalidRequest: func() { metrics.CountInvalidInput("caller") }, OnRetry: metrics.CountRetry,
		ReceivedAt: front.ReceivedAt, ConfigurationAge: hub.Age, Stopping: func() bool { return status.node.stopping.Load() },
	})
}

func newAdmin(s *conf.Settings, now clock, log *oplog.Log, verdicts *move.Verdicts, controller *move.Controller, metrics *meter.Metrics, status *statusSource) *admin.Server {
	return admin.New(admin.Config{
		AdminTokenSHA256: s.AdminTokenSHA256, Now: now, Log: log, Verdicts: verdicts,
		TakeBack: controller.TakeBack, Status: status.status, IsReady: status.isReady,
		Metrics: metrics.Handler(), OnInvalidRequest: func() { metrics.CountInvalidInput("admin") },
	})
}

func newNode(deps dependencies) (*Node, error) {
	n := &Node{
		serving:  make(chan struct{}),
		settings: deps.Settings, logger: deps.Logger, now: deps.Now, store: deps.Store, log: deps.Log, members: deps.Members,
		verdicts: deps.Verdicts, pool: deps.Pool, moveController: deps.MoveController, localRegistry: deps.LocalRegistry, hub: deps.Hub, picker: deps.Picker, egress: deps.Egress,
		importer: deps.Importer, claims: deps.Claims, departures: deps.Departures, quota: deps.Quota, proxy: deps.Proxy, admin: deps.Admin, metrics: deps.Metrics, budget: deps.Budget,
	}
	deps.Status.node = n
	deps.Metrics.RegisterCounter("log_lines_dropped_total", "Log lines for which there was no room.", nil, func() float64 { return float64(deps.Sink.Dropped.Load()) })
	n.registerMetrics()
	return n, n.listen()
}

// listenTCP listens on an address; it returns *peer.ListenError.
func listenTCP(address netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &peer.ListenError{Address: address.String(), Cause: err}
	}
	return l, nil
}
