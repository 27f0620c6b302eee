package tree

import (
	"maps"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// builder builds a state from another one. It copies the subtrees that it changes and compiles only those.
type builder struct {
	next *State
	// copied holds the teams whose subtrees the builder has copied.
	copied map[string]bool
	// changedTeams holds the teams whose subtrees changed since the last compilation.
	changedTeams map[string]bool
	// prefixAdded says that a team got a path prefix that it did not have.
	prefixAdded bool
}

func newBuilder(s *State) *builder {
	return &builder{
		next: &State{
			Revision: s.Revision, OperatorConfigVersion: s.OperatorConfigVersion, Limits: s.Limits, entryCount: s.entryCount, Services: maps.Clone(s.Services),
			MoveOrderVersions: maps.Clone(s.MoveOrderVersions), subtrees: maps.Clone(s.subtrees), routesByMatchKey: maps.Clone(s.routesByMatchKey),
		},
		copied: map[string]bool{}, changedTeams: map[string]bool{},
	}
}

// mutableSubtree returns a copy of a team's subtree to change.
func (b *builder) mutableSubtree(team string) *subtree {
	b.changedTeams[team] = true
	if !b.copied[team] {
		b.copied[team] = true
		b.next.subtrees[team] = b.next.subtrees[team].clone()
	}
	return b.next.subtrees[team]
}

func (b *builder) apply(change *wirepb.Change) error {
	for _, p := range change.GetPuts() {
		if p.GetDelete() {
			if err := b.applyDelete(p.GetPath()); err != nil {
				return err
			}
			continue
		}
		err := b.putEntry(&wirepb.Entry{
			Path: p.GetPath(), Value: p.GetValue(), Revision: change.GetRevision(),
			Author: change.GetAuthor(), Time: change.GetTime(),
		})
		if err != nil {
			return err
		}
	}
	return b.compile()
}

func (b *builder) applyDelete(pathText string) error {
	path, err := ParsePath(pathText)
	if err != nil {
		return err
	}
	if path.Kind == KindMoveRecord {
		b.removeMoveRecord(path, pathText)
	} else {
		b.removeEntry(path.Team, pathText)
	}
	return nil
}

// removeMoveRecord removes a move's record from its service's team and from the teams where the same change may have put it.
func (b *builder) removeMoveRecord(path Path, pathText string) {
	b.removeEntry(b.next.owningTeam(path), pathText)
	for team := range b.changedTeams {
		b.removeEntry(team, pathText)
	}
}

func (b *builder) removeEntry(team, pathText string) {
	if _, found := b.next.subtrees[team]; !found {
		return
	}
	t := b.mutableSubtree(team)
	if _, found := t.entries[pathText]; found {
		delete(t.entries, pathText)
		b.next.entryCount--
	}
}

func (b *builder) putEntry(entry *wirepb.Entry) error {
	path, value, err := Decode(entry.GetPath(), entry.GetValue())
	if err != nil {
		return err
	}
	team := path.Team
	if record, ok := value.(*wirepb.MoveRecord); ok {
		team = record.GetTeam()
		b.removeMoveRecord(path, entry.GetPath())
	}
	t := b.mutableSubtree(team)
	if _, found := t.entries[entry.GetPath()]; !found {
		b.next.entryCount++
	}
	t.entries[entry.GetPath()] = entry
	if b.next.entryCount > maxEntries {
		return &LimitError{Quantity: "entries of the tree", Have: b.next.entryCount, Limit: maxEntries}
	}
	return nil
}

// compile replaces the services, routes and limits of the changed subtrees in the state.
func (b *builder) compile() error {
	previousTeams := map[string]string{}
	for team := range b.changedTeams {
		b.removeCompiled(b.next.subtrees[team], previousTeams)
	}
	for team := range b.changedTeams {
		if err := b.compileTeam(team, previousTeams); err != nil {
			return err
		}
	}
	clear(b.changedTeams)
	if !b.prefixAdded {
		return nil
	}
	b.prefixAdded = false
	return b.next.checkPrefixConflicts()
}

// removeCompiled removes a subtree's services and routes from the state and records the team of each route in previousTeams.
func (b *builder) removeCompiled(t *subtree, previousTeams map[string]string) {
	for _, service := range t.services {
		delete(b.next.Services, service.Name)
	}
	for _, r := range t.routes {
		delete(b.next.routesByMatchKey, r.matchKey())
		previousTeams[r.matchKey()] = r.Team
	}
}

func (b *builder) compileTeam(team string, previousTeams map[string]string) error {
	t := b.next.subtrees[team]
	if team == systemTeam {
		return b.compileLimits(t)
	}
	if len(t.entries) == 0 {
		delete(b.next.subtrees, team)
		delete(b.copied, team)
		return nil
	}
	if err := t.compile(team); err != nil {
		return err
	}
	for _, service := range t.services {
		if other, found := b.next.Services[service.Name]; found {
			return &ValueError{
				Path: "/teams/" + team + "/services/" + service.Name, Field: "name", Value: service.Name,
				Allowed: "a name that team " + other.Team + " does not use",
			}
		}
		b.next.Services[service.Name] = service
	}
	for _, r := range t.routes {
		if other, found := b.next.routesByMatchKey[r.matchKey()]; found {
			return prefixConflict(r, other)
		}
		b.next.routesByMatchKey[r.matchKey()] = r
		b.prefixAdded = b.prefixAdded || previousTeams[r.matchKey()] != team
	}
	return nil
}

func (b *builder) compileLimits(t *subtree) error {
	values, err := t.decodeEntries()
	if err != nil {
		return err
	}
	b.next.Limits = Limits{}
	for _, e := range values {
		if v, ok := e.message.(*wirepb.LimitsSetting); ok {
			b.next.Limits = Limits{
				MaxHeaderBytes: int(v.GetHeaderBytes()), MaxBodyBytes: int64(v.GetBodyBytes()),
				HeaderTimeout: v.GetHeaderTimeout().AsDuration(), IdleTimeout: v.GetIdleTimeout().AsDuration(),
			}
		}
	}
	return nil
}

// checkPrefixConflicts returns an error for a path prefix under one of another team on the same host.
func (s *State) checkPrefixConflicts() error {
	for _, r := range s.routesByMatchKey {
		for i := len(r.PathPrefix) - 1; i > 0; i-- {
			other, found := s.routesByMatchKey[r.Host+r.PathPrefix[:i]]
			if found && other.Team != r.Team && underPrefix(other.PathPrefix, r.PathPrefix) {
				return prefixConflict(r, other)
			}
		}
	}
	return nil
}

func prefixConflict(route, other *Route) error {
	return &ValueError{
		Path: "/teams/" + route.Team + "/routes/" + route.Name, Field: "path_prefix", Value: route.PathPrefix,
		Allowed: "a prefix outside " + other.PathPrefix + " of /teams/" + other.Team + "/routes/" + other.Name,
	}
}
