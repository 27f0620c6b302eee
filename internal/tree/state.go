package tree

import (
	"sort"
	"strings"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const maxEntries = 100_000

// Service is a service compiled from its setting and the record of its newest move.
type Service struct {
	Name string
	Team string
	// ColdStart is how long an upstream may be slow after its first call; it is negative if not declared.
	ColdStart time.Duration
	// ColdRate is the number of calls per second that one upstream takes in its cold start, or 0 if they are not limited.
	ColdRate float64
	// StableVersion is the version that takes the calls outside the share of a move.
	StableVersion string
	// AnyVersion says that no version is declared: every version that upstreams announce takes calls, except as a move directs.
	AnyVersion bool
	// MoveRecord is the record of the newest move of the service, or nil.
	MoveRecord *wirepb.MoveRecord
}

// MoveActive reports whether a move of the service runs or is being watched.
func (s *Service) MoveActive() bool {
	state := s.MoveRecord.GetState()
	return state == wirepb.MoveState_MOVE_STATE_RUNNING || state == wirepb.MoveState_MOVE_STATE_WATCHING
}

// Route is a route compiled from its setting.
type Route struct {
	Name        string
	Team        string
	PathPrefix  string
	Service     *Service
	Class       wirepb.Class
	Idempotent  bool
	AtMostOnce  bool
	Timeout     time.Duration
	ClaimPolicy wirepb.ClaimPolicy
	// Host is empty for a route that applies to all hosts.
	Host string
	// LatencyObjective is the time within which a response is worth most to the caller.
	LatencyObjective time.Duration
	// Attempts is the greatest number of upstreams to which one call may be sent.
	Attempts int
	// Priority ranks calls while upstreams are overloaded; 0 is the highest.
	Priority uint32
	// Public says that callers need no key, although workspaces are declared.
	Public bool
	// Split lists the services that share the calls of a split route; Service is the first of them.
	Split []WeightedService
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service *Service
	Weight  uint32
}

// matchKey returns the key by which MatchRoute finds the route; a host contains no slash, so keys of different hosts differ.
func (r *Route) matchKey() string { return r.Host + r.PathPrefix }

// Limits are the limits on callers' requests; zero means the node's default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// State is the immutable tree at one revision, with the services and routes compiled from it. States share the subtrees in
// which they do not differ.
type State struct {
	Revision uint64
	Services map[string]*Service
	// OperatorConfigVersion is the version of the operator row whose configuration the state contains, or 0.
	OperatorConfigVersion uint64
	Limits                Limits
	// Evacuated holds the data centres whose upstreams get no calls; it must not be changed.
	Evacuated map[string]bool
	// IgnoredEntries names the entries of the operator's configuration that were left out, each with the reason.
	IgnoredEntries []string
	// Workspaces holds the workspaces by name. If there are any, calls of routes that are not public need a key of one of them.
	Workspaces map[string]*Workspace
	// MoveOrderVersions holds, by row key, the newest version of each operator row whose order, for a move or an evacuation or for its
	// end, the state contains.
	MoveOrderVersions map[string]uint64
	// OperatorConfigNumber is the number that the operator gave that configuration, which increases with each one, or 0 if it is not known.
	OperatorConfigNumber uint64

	// subtrees holds the subtrees by team.
	subtrees         map[string]*subtree
	routesByMatchKey map[string]*Route
	// workspacesByKey holds nil for a key that several workspaces have.
	workspacesByKey map[KeyHash]*Workspace
	entryCount      int
}

// EmptyState returns the state of revision 0.
func EmptyState() *State {
	return &State{Services: map[string]*Service{}, subtrees: map[string]*subtree{}, routesByMatchKey: map[string]*Route{}, MoveOrderVersions: map[string]uint64{}, Workspaces: map[string]*Workspace{}, workspacesByKey: map[KeyHash]*Workspace{}}
}

// FromSnapshot compiles a whole snapshot; it returns *PathError, *ValueError or *LimitError.
func FromSnapshot(snapshot *wirepb.Snapshot) (*State, error) {
	b := newBuilder(EmptyState())
	for _, entry := range snapshot.GetEntries() {
		if err := b.putEntry(entry); err != nil {
			return nil, err
		}
	}
	b.next.Revision, b.next.OperatorConfigVersion = snapshot.GetRevision(), snapshot.GetSourceVersion()
	b.next.OperatorConfigNumber = snapshot.GetConfigVersion()
	for _, o := range snapshot.GetOrders() {
		b.next.MoveOrderVersions[o.GetRow()] = o.GetVersion()
	}
	return b.next, b.compile()
}

// Apply returns the state after consecutive changes; it returns *OutOfOrderError, *PathError, *ValueError or *LimitError.
func (s *State) Apply(changes ...*wirepb.Change) (*State, error) {
	b := newBuilder(s)
	for _, c := range changes {
		if c.GetRevision() != b.next.Revision+1 {
			return nil, &OutOfOrderError{Have: b.next.Revision, Got: c.GetRevision()}
		}
		if err := b.apply(c); err != nil {
			return nil, err
		}
		b.next.Revision = c.GetRevision()
		if c.GetSourceVersion() > b.next.OperatorConfigVersion {
			b.next.OperatorConfigVersion, b.next.OperatorConfigNumber = c.GetSourceVersion(), c.GetConfigVersion()
		}
		if o := c.GetOrder(); o != nil {
			b.next.MoveOrderVersions[o.GetRow()] = max(b.next.MoveOrderVersions[o.GetRow()], o.GetVersion())
		}
	}
	return b.next, nil
}

// Snapshot returns all entries of the tree, ordered by path.
func (s *State) Snapshot() *wirepb.Snapshot {
	snapshot := &wirepb.Snapshot{Revision: s.Revision, SourceVersion: s.OperatorConfigVersion, ConfigVersion: s.OperatorConfigNumber, Entries: s.Entries("/")}
	for row, version := range s.MoveOrderVersions {
		snapshot.Orders = append(snapshot.Orders, &wirepb.OrderMark{Row: row, Version: version})
	}
	return snapshot
}

// Entry returns the entry at a path, or nil.
func (s *State) Entry(pathText string) *wirepb.Entry {
	path, err := ParsePath(pathText)
	if err != nil {
		return nil
	}
	if t, found := s.subtrees[s.owningTeam(path)]; found {
		return t.entries[pathText]
	}
	return nil
}

// owningTeam returns the team whose subtree holds a path; a move record is in the subtree of its service's team.
func (s *State) owningTeam(path Path) string {
	if path.Kind != KindMoveRecord {
		return path.Team
	}
	if service, found := s.Services[path.Name]; found {
		return service.Team
	}
	return ""
}

// Entries returns the entries whose paths have the prefix, ordered by path.
func (s *State) Entries(prefix string) []*wirepb.Entry {
	var list []*wirepb.Entry
	for _, t := range s.subtrees {
		for path, entry := range t.entries {
			if strings.HasPrefix(path, prefix) {
				list = append(list, entry)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetPath() < list[j].GetPath() })
	return list
}

// MatchRoute returns the route whose prefix is the longest that matches a path, or nil: it prefers the host's routes to those for
// all hosts, and its time grows with the length of the path, not with the number of routes.
func (s *State) MatchRoute(host, path string) *Route {
	if r := s.matchHost(host, path); r != nil || host == "" {
		return r
	}
	return s.matchHost("", path)
}

func (s *State) matchHost(host, path string) *Route {
	for i := len(path); i > 0; i-- {
		if i < len(path) && path[i] != '/' && path[i-1] != '/' {
			continue
		}
		if r, found := s.routesByMatchKey[host+path[:i]]; found {
			return r
		}
	}
	return nil
}

// TokenHashes returns the hexadecimal SHA-256 hashes of a team's tokens.
func (s *State) TokenHashes(team string) []string {
	if t, found := s.subtrees[team]; found {
		return t.tokens
	}
	return nil
}

// TeamsWithTokens returns the names of the teams that have tokens.
func (s *State) TeamsWithTokens() []string {
	var teams []string
	for name, t := range s.subtrees {
		if len(t.tokens) > 0 {
			teams = append(teams, name)
		}
	}
	sort.Strings(teams)
	return teams
}

// underPrefix reports whether a path equals a prefix or lies under it.
func underPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
