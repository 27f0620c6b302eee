package node

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/internal/relay"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const maxAnnouncementBytes = 16 << 10

// statusSource breaks the cyclic dependency between the node, which contains the admin API and the proxy, and these two, which
// read the node's state.
type statusSource struct {
	node *Node
}

func newStatusSource() *statusSource { return &statusSource{} }

func (s *statusSource) status() *wirepb.NodeStatus {
	n := s.node
	subtree := n.hub.SubtreeSummary()
	status := &wirepb.NodeStatus{
		Name: n.settings.Name, Region: n.settings.Region, DataCentre: n.settings.DataCentre,
		AppliedRevision: n.log.State().Revision, KnownRevision: n.log.KnownRevision(),
		Relay: n.hub.IsRelay(), Links: uint32(n.hub.LinkCount()), PlatformUp: n.store.IsReachable(),
		Upstreams: n.localRegistry.Status(), Members: uint32(n.members.LiveCount()),
		SubtreeNodes: subtree.Nodes, SubtreeOldestRevision: subtree.OldestRevision, SubtreeRefusals: subtree.Refusals,
		Evacuated: slices.Sorted(maps.Keys(n.log.State().Evacuated)),
		Life:      n.members.Record(n.settings.Name).GetLife(), StoreEra: n.store.Era(),
	}
	status.IgnoredEntries = n.log.State().IgnoredEntries
	if invalid := n.log.InvalidRevision(); invalid != nil {
		status.RefusedReason = invalid.Reason
	}
	return status
}

func (s *statusSource) isReady() bool {
	return !s.node.stopping.Load() && s.node.log.State().Revision > 0 && s.node.hub.Joined()
}

// announceHandler serves the endpoints where local upstreams announce and deregister themselves.
func (n *Node) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/announcement", func(w http.ResponseWriter, r *http.Request) {
		announcement := &wirepb.Announcement{}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err == nil {
			err = protojson.Unmarshal(body, announcement)
		}
		if err == nil {
			err = n.localRegistry.Announce(announcement)
		}
		if err != nil {
			n.metrics.CountInvalidInput("announce")
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		}
	})
	n.platformEndpoints().RegisterAnnouncements(mux)
	return mux
}

// readinessHandler serves the platform's check whether this node is ready for callers.
func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	n.platformEndpoints().RegisterReadiness(mux)
	return mux
}

// platformEndpoints returns the platform's endpoints for announcements and readiness checks, as served by this node.
func (n *Node) platformEndpoints() platform.NodeEndpoints {
	return platform.NodeEndpoints{
		Announce: n.localRegistry.Announce, Deregister: n.localRegistry.Deregister, IsReady: (&statusSource{node: n}).isReady,
		OnInvalidAnnouncement: func(err error) {
			n.metrics.CountInvalidInput("announce")
			n.logger.Warn("invalid announcement ignored", zap.Error(err))
		},
	}
}

// registerMetrics registers the metrics whose values the components hold.
func (n *Node) registerMetrics() {
	m := n.metrics
	m.RegisterGauge("applied_revision", "Revision of the configuration in force.", func() float64 { return float64(n.log.State().Revision) })
	m.RegisterGauge("configuration_age_seconds", "Bound of how old the configuration in force is.", func() float64 { return n.hub.Age().Seconds() })
	m.RegisterGauge("ignored_entries", "Entries of the operator's configuration that were left out, up to 32.", func() float64 { return float64(len(n.log.State().IgnoredEntries)) })
	m.RegisterGauge("workspaces", "Workspaces that the configuration declares.", func() float64 { return float64(len(n.log.State().Workspaces)) })
	const unauthenticatedHelp = "Requests refused for lack of a valid key, by result."
	for result, count := range map[string]*atomic.Int64{
		"denied": &n.proxy.Counters.Unauthenticated, "out_of_touch": &n.proxy.Counters.OutOfTouch, "revocable": &n.proxy.Counters.Revoked,
	} {
		m.RegisterCounter("unauthenticated_total", unauthenticatedHelp, map[string]string{"result": result}, func() float64 { return float64(count.Load()) })
	}
	m.RegisterGauge("known_revision", "Newest revision heard of.", func() float64 { return float64(n.log.KnownRevision()) })
	m.RegisterGauge("members", "Nodes that are not down.", func() float64 { return float64(n.members.LiveCount()) })
	m.RegisterGauge("links", "Links to other nodes.", func() float64 { return float64(n.hub.LinkCount()) })
	m.RegisterGauge("sessions", "Sessions to other nodes.", func() float64 { return float64(n.pool.SessionCount()) })
	m.RegisterGauge("link_backlog_seconds", "Time that the VM's link needs for the large responses of admitted calls.", func() float64 { return n.egress.Backlog().Seconds() })
	m.RegisterGauge("calls_running", "Callers' requests being served.", func() float64 { return float64(n.proxy.InFlight()) })
	m.RegisterGauge("platform_up", "Whether the newest operation reached the platform.", func() float64 {
		if n.store.IsReachable() {
			return 1
		}
		return 0
	})
	m.RegisterCounter("platform_reads_total", "Reads of the platform.", nil, func() float64 { return float64(n.store.Counters.Reads.Load()) })
	m.RegisterCounter("platform_writes_total", "Writes to the platform.", nil, func() float64 { return float64(n.store.Counters.Writes.Load()) })
	m.RegisterCounter("platform_failures_total", "Operations that did not reach the platform.", nil, func() float64 { return float64(n.store.Counters.Failures.Load()) })
	m.RegisterGauge("store_era", "Era of the platform's store, which increases when it comes back from an older copy.", func() float64 { return float64(n.store.Era()) })
	m.RegisterCounter("store_era_malformed_total", "Responses of the platform's store with a malformed era.", nil, func() float64 { return float64(n.store.Counters.MalformedEras.Load()) })
	m.RegisterCounter("store_era_older_total", "Responses of an older era of the platform's store, which were ignored.", nil, func() float64 { return float64(n.store.Counters.OlderEras.Load()) })
	m.RegisterCounter("changes_submitted_again_total", "Changes that a new era of the platform's store lacked and that were submitted again.", nil, func() float64 { return float64(n.log.Counters.SubmittedAgain.Load()) })
	m.RegisterCounter("changes_dropped_total", "Changes that a new era of the platform's store lacked and that were dropped.", nil, func() float64 { return float64(n.log.Counters.Dropped.Load()) })
	m.RegisterCounter("peer_refused_total", "Sessions and streams of nodes refused for their form.", nil, func() float64 { return float64(n.peerServer.Rejected.Load()) })
	m.RegisterGauge("cold_upstreams", "Local upstreams in a cold start that limits their calls.", func() float64 { return float64(n.localRegistry.ColdUpstreams()) })
	m.RegisterCounter("cold_refused_total", "Calls refused because of the limit of a cold upstream.", nil, func() float64 { return float64(n.localRegistry.ColdRefusals.Load()) })
	m.RegisterGauge("evacuated_data_centres", "Data centres that are evacuated.", func() float64 { return float64(len(n.log.State().Evacuated)) })
	m.RegisterCounter("evacuation_refused_total", "Calls to local upstreams refused because the data centre is evacuated.", nil, func() float64 { return float64(n.localRegistry.EvacuationRefusals.Load()) })
	n.registerQuotaMetrics()
	for kind, name := range relay.FrameKindNames {
		labels := map[string]string{"kind": name}
		m.RegisterCounter("control_sent_bytes_total", "Bytes of link messages sent, by kind.", labels, func() float64 { return float64(n.hub.Counters.SentBytes[kind].Load()) })
		m.RegisterCounter("control_sent_messages_total", "Link messages sent, by kind.", labels, func() float64 { return float64(n.hub.Counters.SentFrames[kind].Load()) })
		m.RegisterCounter("control_received_bytes_total", "Bytes of link messages received, by kind.", labels, func() float64 { return float64(n.hub.Counters.ReceivedBytes[kind].Load()) })
	}
}

// registerQuotaMetrics registers the metrics of the quotas of workspaces. They are not divided by workspace: there may be many.
func (n *Node) registerQuotaMetrics() {
	counters := &n.quota.Counters
	for decision, count := range map[string]*atomic.Uint64{
		"admitted": &counters.Admitted, "exceeded": &counters.Exceeded, "unavailable": &counters.Unavailable, "returned": &counters.Returned,
	} {
		n.metrics.RegisterCounter("quota_calls_total", "Calls of workspaces with a quota, by decision.", map[string]string{"decision": decision}, func() float64 { return float64(count.Load()) })
	}
	for kind, count := range map[string]*atomic.Uint64{"sent": &counters.Requests, "unanswered": &counters.Failures, "served": &counters.Served, "invalid": &counters.Invalid} {
		n.metrics.RegisterCounter("quota_requests_total", "Requests for quota tokens, by kind.", map[string]string{"kind": kind}, func() float64 { return float64(count.Load()) })
	}
	n.metrics.RegisterCounter("quota_granted_total", "Quota tokens granted to nodes, this one included.", nil, func() float64 { return float64(counters.Granted.Load()) })
}
