package tree

import (
	"maps"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const maxEntries = 100_000

// Service is a service as the nodes run it.
type Service struct {
	Name string
	Team string
	// ColdStart is how long an upstream may be slow after its first call, as declared, or negative.
	ColdStart time.Duration
	// Stable is the version that takes the calls that no move takes.
	Stable string
	// Record is the newest move of the service, or nil.
	Record *wirepb.MoveRecord
}

// Moving reports whether a move of the service runs or is being watched.
func (s *Service) Moving() bool {
	state := s.Record.GetState()
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
}

// State is the tree at one revision with what was compiled from it; it is immutable.
type State struct {
	Revision uint64
	Services map[string]*Service

	entries map[string]*entry
	routes  []*Route
	// prefixes holds the routes by their path prefix.
	prefixes map[string]*Route
	tokens   map[string][]string
}

type entry struct {
	stored *wirepb.Entry
	path   Path
	value  proto.Message
}

// Empty returns the state of revision 0.
func Empty() *State {
	return &State{Services: map[string]*Service{}, entries: map[string]*entry{}, tokens: map[string][]string{}}
}

// FromSnapshot compiles a whole snapshot; it returns *PathError, *ValueError or *MissingError.
func FromSnapshot(snapshot *wirepb.Snapshot) (*State, error) {
	s := Empty()
	s.Revision = snapshot.GetRevision()
	for _, stored := range snapshot.GetEntries() {
		if err := s.put(stored); err != nil {
			return nil, err
		}
	}
	return s, s.compile()
}

// Apply returns the state after consecutive changes; it returns *GapError, *PathError, *ValueError or *MissingError.
func (s *State) Apply(changes ...*wirepb.Change) (*State, error) {
	next := &State{Revision: s.Revision, entries: maps.Clone(s.entries)}
	for _, c := range changes {
		if c.GetRevision() != next.Revision+1 {
			return nil, &GapError{Have: next.Revision, Got: c.GetRevision()}
		}
		if err := next.applyPuts(c); err != nil {
			return nil, err
		}
		next.Revision = c.GetRevision()
	}
	return next, next.compile()
}

func (s *State) applyPuts(change *wirepb.Change) error {
	for _, p := range change.GetPuts() {
		if p.GetDelete() {
			delete(s.entries, p.GetPath())
			continue
		}
		stored := &wirepb.Entry{
			Path: p.GetPath(), Value: p.GetValue(), Revision: change.GetRevision(),
			Author: change.GetAuthor(), Time: change.GetTime(),
		}
		if err := s.put(stored); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) put(stored *wirepb.Entry) error {
	path, value, err := Decode(stored.GetPath(), stored.GetValue())
	if err != nil {
		return err
	}
	s.entries[stored.GetPath()] = &entry{stored: stored, path: path, value: value}
	if len(s.entries) > maxEntries {
		return &LimitError{What: "entries of the tree", Have: len(s.entries), Limit: maxEntries}
	}
	return nil
}

// Snapshot returns the whole tree, ordered by path.
func (s *State) Snapshot() *wirepb.Snapshot {
	return &wirepb.Snapshot{Revision: s.Revision, Entries: s.List("/")}
}

// Entry returns one path, or nil.
func (s *State) Entry(path string) *wirepb.Entry {
	if e, found := s.entries[path]; found {
		return e.stored
	}
	return nil
}

// List returns the entries whose paths have the prefix, ordered by path.
func (s *State) List(prefix string) []*wirepb.Entry {
	var list []*wirepb.Entry
	for path, e := range s.entries {
		if strings.HasPrefix(path, prefix) {
			list = append(list, e.stored)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetPath() < list[j].GetPath() })
	return list
}

// Match returns the route with the longest prefix of a path, or nil; its time grows with the path, not with the routes.
func (s *State) Match(path string) *Route {
	for i := len(path); i > 0; i-- {
		if i < len(path) && path[i] != '/' && path[i-1] != '/' {
			continue
		}
		if r, found := s.prefixes[path[:i]]; found {
			return r
		}
	}
	return nil
}

// TokensOf returns the hexadecimal SHA-256 hashes of a team's tokens.
func (s *State) TokensOf(team string) []string { return s.tokens[team] }

// Teams returns the names of the teams that have tokens.
func (s *State) Teams() []string {
	teams := make([]string, 0, len(s.tokens))
	for name := range s.tokens {
		teams = append(teams, name)
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
