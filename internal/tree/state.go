package tree

import (
	"sort"
	"strings"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const maxEntries = 100_000

// Service is a service as the nodes run it.
type Service struct {
	Name string
	Team string
	// ColdStart is how long an upstream may be slow after its first call, as declared, or negative.
	ColdStart time.Duration
	// StableVersion is the version that takes the calls that no move takes.
	StableVersion string
	// AnyVersion says that no version is declared: every version that upstreams announce takes calls, unless a move says otherwise.
	AnyVersion bool
	// MoveRecord is the newest move of the service, or nil.
	MoveRecord *wirepb.MoveRecord
}

// MoveActive reports whether a move of the service runs or is being watched.
func (s *Service) MoveActive() bool {
	state := s.MoveRecord.GetState()
	return state == wirepb.MoveState_MOVE_STATE_RUNNING || state == wirepb.MoveState_MOVE_STATE_WATCHING
}

// Route is a route as the nodes run it.
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
	// Host is empty for a route of all hosts.
	Host string
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Attempts is the number of upstreams that one call may be sent to.
	Attempts int
	Priority uint32
	// Split share the calls of a split route; Service is the first of them.
	Split []WeightedService
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service *Service
	Weight  uint32
}

// place is what a call is matched by; no host contains a slash.
func (r *Route) place() string { return r.Host + r.PathPrefix }

// Limits bound what callers may send; a zero stands for what the node's settings say.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// State is the tree at one revision with what was compiled from it; it is immutable. States share the subtrees in which
// they do not differ.
type State struct {
	Revision uint64
	Services map[string]*Service
	// OperatorConfigVersion is the version of the operator's configuration that the state holds, or 0.
	OperatorConfigVersion uint64
	Limits                Limits
	// MoveOrderVersions holds the version of the newest order that the state holds, by its row.
	MoveOrderVersions map[string]uint64

	teams map[string]*subtree
	// prefixes holds the routes by their path prefix.
	prefixes map[string]*Route
	// count is the number of entries.
	count int
}

// EmptyState returns the state of revision 0.
func EmptyState() *State {
	return &State{Services: map[string]*Service{}, teams: map[string]*subtree{}, prefixes: map[string]*Route{}, MoveOrderVersions: map[string]uint64{}}
}

// FromSnapshot compiles a whole snapshot; it returns *PathError, *ValueError or *LimitError.
func FromSnapshot(snapshot *wirepb.Snapshot) (*State, error) {
	b := newBuilder(EmptyState())
	for _, stored := range snapshot.GetEntries() {
		if err := b.put(stored); err != nil {
			return nil, err
		}
	}
	b.next.Revision, b.next.OperatorConfigVersion = snapshot.GetRevision(), snapshot.GetSourceVersion()
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
		b.next.OperatorConfigVersion = max(b.next.OperatorConfigVersion, c.GetSourceVersion())
		if o := c.GetOrder(); o != nil {
			b.next.MoveOrderVersions[o.GetRow()] = max(b.next.MoveOrderVersions[o.GetRow()], o.GetVersion())
		}
	}
	return b.next, nil
}

// Snapshot returns the whole tree, ordered by path.
func (s *State) Snapshot() *wirepb.Snapshot {
	snapshot := &wirepb.Snapshot{Revision: s.Revision, SourceVersion: s.OperatorConfigVersion, Entries: s.Entries("/")}
	for row, version := range s.MoveOrderVersions {
		snapshot.Orders = append(snapshot.Orders, &wirepb.OrderMark{Row: row, Version: version})
	}
	return snapshot
}

// Entry returns one path, or nil.
func (s *State) Entry(text string) *wirepb.Entry {
	path, err := ParsePath(text)
	if err != nil {
		return nil
	}
	if t, found := s.teams[s.owner(path)]; found {
		return t.entries[text]
	}
	return nil
}

// owner returns the team whose subtree holds a path; the record of a move is held with its service.
func (s *State) owner(path Path) string {
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
	for _, t := range s.teams {
		for path, stored := range t.entries {
			if strings.HasPrefix(path, prefix) {
				list = append(list, stored)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetPath() < list[j].GetPath() })
	return list
}

// MatchRoute returns the route of a host with the longest prefix of a path, then that of all hosts, or nil; its time grows
// with the path, not with the routes.
func (s *State) MatchRoute(host, path string) *Route {
	if r := s.match(host, path); r != nil || host == "" {
		return r
	}
	return s.match("", path)
}

func (s *State) match(host, path string) *Route {
	for i := len(path); i > 0; i-- {
		if i < len(path) && path[i] != '/' && path[i-1] != '/' {
			continue
		}
		if r, found := s.prefixes[host+path[:i]]; found {
			return r
		}
	}
	return nil
}

// TokenHashes returns the hexadecimal SHA-256 hashes of a team's tokens.
func (s *State) TokenHashes(team string) []string {
	if t, found := s.teams[team]; found {
		return t.tokens
	}
	return nil
}

// TeamsWithTokens returns the names of the teams that have tokens.
func (s *State) TeamsWithTokens() []string {
	var teams []string
	for name, t := range s.teams {
		if len(t.tokens) > 0 {
			teams = append(teams, name)
		}
	}
	sort.Strings(teams)
	return teams
}

// below reports whether a path is the prefix or lies under it.
func below(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
