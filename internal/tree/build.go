package tree

import (
	"maps"

	"google.golang.org/protobuf/types/known/structpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// builder builds a state from another one. It copies the subtrees that it changes and compiles only the entries that changed, and those
// that refer to them.
type builder struct {
	next *State
	// copied holds the teams whose subtrees the builder has copied.
	copied map[string]bool
	// changed holds the entries that changed since the last compilation, by team and path; those that were removed have no message.
	changed map[string]map[string]decodedEntry
	// prefixAdded says that a team got a path prefix that it did not have.
	prefixAdded bool
	// workspacesChanged says that workspaces were put or removed.
	workspacesChanged bool
}

func newBuilder(s *State) *builder {
	return &builder{
		next: &State{
			Revision: s.Revision, OperatorConfigVersion: s.OperatorConfigVersion, Limits: s.Limits, Evacuated: s.Evacuated, entryCount: s.entryCount, Services: maps.Clone(s.Services),
			Workspaces: s.Workspaces, workspacesByKey: s.workspacesByKey,
			IgnoredEntries: s.IgnoredEntries, MoveOrderVersions: maps.Clone(s.MoveOrderVersions), subtrees: maps.Clone(s.subtrees), routesByMatchKey: maps.Clone(s.routesByMatchKey),
			OperatorConfigNumber: s.OperatorConfigNumber,
		},
		copied: map[string]bool{}, changed: map[string]map[string]decodedEntry{},
	}
}

// changeEntry returns a copy of a team's subtree in which an entry is to be changed, and records the entry as it will be.
func (b *builder) changeEntry(team string, entry decodedEntry) *subtree {
	if b.changed[team] == nil {
		b.changed[team] = map[string]decodedEntry{}
	}
	b.changed[team][entry.pathText] = entry
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
		b.removeEntry(path.Team, path, pathText)
	}
	return nil
}

// removeMoveRecord removes a move's record from its service's team and from the teams where the same change may have put it.
func (b *builder) removeMoveRecord(path Path, pathText string) {
	b.removeEntry(b.next.owningTeam(path), path, pathText)
	for team := range b.changed {
		b.removeEntry(team, path, pathText)
	}
}

func (b *builder) removeEntry(team string, path Path, pathText string) {
	t, found := b.next.subtrees[team]
	if !found || t.entries[pathText] == nil {
		return
	}
	delete(b.changeEntry(team, decodedEntry{pathText: pathText, path: path}).entries, pathText)
	b.next.entryCount--
}

func (b *builder) putEntry(entry *wirepb.Entry) error {
	path, message, err := Decode(entry.GetPath(), entry.GetValue())
	if err != nil {
		return err
	}
	team := path.Team
	if record, ok := message.(*wirepb.MoveRecord); ok {
		team = record.GetTeam()
		b.removeMoveRecord(path, entry.GetPath())
	}
	t := b.changeEntry(team, decodedEntry{pathText: entry.GetPath(), path: path, message: message})
	if _, found := t.entries[entry.GetPath()]; !found {
		b.next.entryCount++
	}
	t.entries[entry.GetPath()] = entry
	if b.next.entryCount > maxEntries {
		return &LimitError{Quantity: "entries of the tree", Have: b.next.entryCount, Limit: maxEntries}
	}
	return nil
}

// compile replaces what was compiled from the changed entries in the state.
func (b *builder) compile() error {
	previousTeams := map[string]string{}
	for team, entries := range b.changed {
		b.removeCompiled(b.next.subtrees[team], entries, previousTeams)
	}
	for team, entries := range b.changed {
		if err := b.compileTeam(team, entries, previousTeams); err != nil {
			return err
		}
	}
	clear(b.changed)
	if b.workspacesChanged {
		b.workspacesChanged = false
		if err := b.next.indexWorkspaces(); err != nil {
			return err
		}
	}
	if !b.prefixAdded {
		return nil
	}
	b.prefixAdded = false
	return b.next.checkPrefixConflicts()
}

// removeCompiled removes from the state what compileTeam will replace, and records the team of each removed route in previousTeams.
func (b *builder) removeCompiled(t *subtree, entries map[string]decodedEntry, previousTeams map[string]string) {
	if changesServices(entries) {
		for name := range t.services {
			delete(b.next.Services, name)
		}
		for _, r := range t.routes {
			b.removeRoute(r, previousTeams)
		}
	}
	for pathText := range entries {
		if r, found := t.routes[pathText]; found {
			b.removeRoute(r, previousTeams)
			delete(t.routes, pathText)
		}
		if _, found := t.workspaces[pathText]; found {
			delete(t.workspaces, pathText)
			b.workspacesChanged = true
		}
	}
}

func (b *builder) removeRoute(r *Route, previousTeams map[string]string) {
	delete(b.next.routesByMatchKey, r.matchKey())
	previousTeams[r.matchKey()] = r.Team
}

func (b *builder) compileTeam(team string, entries map[string]decodedEntry, previousTeams map[string]string) error {
	t := b.next.subtrees[team]
	if team == systemTeam {
		return b.compileSystem(t)
	}
	if len(t.entries) == 0 {
		delete(b.next.subtrees, team)
		delete(b.copied, team)
		return nil
	}
	added, err := t.compile(team, entries)
	if err != nil {
		return err
	}
	for _, e := range entries {
		b.workspacesChanged = b.workspacesChanged || e.path.Kind == KindWorkspace
	}
	if changesServices(entries) {
		if err := b.addServices(team, t.services); err != nil {
			return err
		}
	}
	for _, r := range added {
		if other, found := b.next.routesByMatchKey[r.matchKey()]; found {
			return prefixConflict(r, other)
		}
		b.next.routesByMatchKey[r.matchKey()] = r
		b.prefixAdded = b.prefixAdded || previousTeams[r.matchKey()] != team
	}
	return nil
}

func (b *builder) addServices(team string, services map[string]*Service) error {
	for name, service := range services {
		if other, found := b.next.Services[name]; found {
			return nameConflict("/teams/"+team+"/services/"+name, name, other.Team)
		}
		b.next.Services[name] = service
	}
	return nil
}

// compileSystem compiles the limits, the evacuations and the list of ignored entries.
func (b *builder) compileSystem(t *subtree) error {
	values, err := t.decodeExceptRoutes(nil)
	if err != nil {
		return err
	}
	b.next.Limits, b.next.Evacuated, b.next.IgnoredEntries = Limits{}, map[string]bool{}, nil
	for _, e := range values {
		switch v := e.message.(type) {
		case *wirepb.EvacuationSetting:
			b.next.Evacuated[e.path.Name] = true
		case *structpb.ListValue:
			b.next.IgnoredEntries = ignoredEntries(v)
		case *wirepb.LimitsSetting:
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
	if s.teamsWithRoutes() < 2 {
		return nil
	}
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

func (s *State) teamsWithRoutes() int {
	count := 0
	for _, t := range s.subtrees {
		if len(t.routes) > 0 {
			count++
		}
	}
	return count
}

func nameConflict(pathText, name, otherTeam string) error {
	return &ValueError{Path: pathText, Field: "name", Value: name, Allowed: "a name that team " + otherTeam + " does not use"}
}

func prefixConflict(route, other *Route) error {
	return &ValueError{
		Path: "/teams/" + route.Team + "/routes/" + route.Name, Field: "path_prefix", Value: route.PathPrefix,
		Allowed: "a prefix outside " + other.PathPrefix + " of /teams/" + other.Team + "/routes/" + other.Name,
	}
}
