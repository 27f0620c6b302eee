package node

import (
	"bufio"
	"context"
	"net"
	"net/netip"
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
	"github.com/turmericdale/turmericdale/internal/relay"
	"github.com/turmericdale/turmericdale/internal/route"
	"github.com/turmericdale/turmericdale/internal/source"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
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
		newStore, newLog, newMembers, newPool, newMonitor, newMoveController, newDepartures, newLocalRegistry, newHub,
		newPicker, newEgress, newClaims, newImporter, newProxy, newStatusSource, newAdmin, newNode,
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
	stream, err := pool.OpenStream(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Evidence{Evidence: report}}); err != nil {
		return nil, err
	}
	reply := &wirepb.EvidenceReply{}
	return reply, frame.Read(bufio.NewReader(stream), reply, maxEvidenceReplyBytes)
}

func newDepartures(s *conf.Settings, logger *zap.Logger, now clock, client *store.Client) *depart.Ledger {
	return depart.New(depart.Config{Node: s.Name, Logger: logger, Now: now, Store: client})
}

func newLocalRegistry(s *conf.Settings, logger *zap.Logger, now clock, log *oplog.Log, members *member.Table,
	verdicts *move.Verdicts, monitor *move.Monitor, departures *depart.Ledger,
) *local.Registry {
	return local.New(local.Config{
		Logger: logger, Now: now, QueueFactor: s.QueueFactor, MaxBodyBytes: s.MaxBodyBytes,
		Headers: s.Headers, AnnounceInterval: s.AnnounceInterval,
		Observe: monitor.Observe,
		CheckExposure: func(exposure local.Exposure) wirepb.Refusal {
			if s.MovePolicy == move.PolicyClock {
				return wirepb.Refusal_REFUSAL_UNSPECIFIED
			}
			return move.CheckExposure(log.State().Services[exposure.Service], exposure, verdicts, monitor.Alarmed(exposure.Service))
		},
		RecordDeparture: departures.Record, LoadDepartures: departures.Load,
		OnUpstreamsChange: func(upstreams []*wirepb.MemberUpstream) {
			members.UpdateSelf(func(record *wirepb.MemberRecord) { record.Upstreams = upstreams })
		},
	})
}

func newHub(s *conf.Settings, logger *zap.Logger, now clock, client *store.Client, log *oplog.Log,
	members *member.Table, verdicts *move.Verdicts, pool *peer.Pool,
) *relay.Hub {
	return relay.New(relay.Config{
		Node: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, Seeds: s.Seeds,
		MaxChildren: s.MaxChildren, PollInterval: s.PollInterval, Logger: logger, Now: now,
		Store: client, Log: log, Members: members, Verdicts: verdicts, Pool: pool,
	})
}

func newPicker(s *conf.Settings, now clock, members *member.Table, pool *peer.Pool) *route.Picker {
	return route.NewPicker(route.PickerConfig{
		Node: s.Name, DataCentre: s.DataCentre, Region: s.Region, Policy: s.PickPolicy, SubsetSize: s.SubsetSize,
		Now: now, Upstreams: members.Upstreams, Preconnect: pool.Preconnect, IsSuspect: pool.IsSuspect,
	})
}

func newEgress(s *conf.Settings, now clock) *egress.Limiter {
	return egress.New(egress.Config{BitsPerSecond: s.LinkBitsPerSecond, Now: now})
}

func newClaims(client *store.Client, now clock, logger *zap.Logger) *claim.Registry {
	return claim.New(claim.Config{Store: client, Now: now, Logger: logger})
}

func newProxy(s *conf.Settings, logger *zap.Logger, now clock, log *oplog.Log, verdicts *move.Verdicts, picker *route.Picker, pool *peer.Pool,
	localRegistry *local.Registry, claims *claim.Registry, metrics *meter.Metrics, status *statusSource, members *member.Table, hub *relay.Hub,
) *route.Proxy {
	return route.New(route.Config{
		Logger: logger, Node: s.Name, Service: s.Service, Headers: s.Headers, MaxBodyBytes: s.MaxBodyBytes, Now: now, State: log.State, Verdicts: verdicts,
		RetryBudget: route.RetryBudgetConfig{
			Ratio: s.RetryRatio, Reserve: float64(s.RetryReserve), Slack: float64(s.RetrySlack), CountNodes: members.LiveCount, Now: now,
		},
		Picker: picker, Pool: pool, Local: localRegistry, Claims: claims,
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
		importer: deps.Importer, claims: deps.Claims, departures: deps.Departures, proxy: deps.Proxy, admin: deps.Admin, metrics: deps.Metrics,
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
