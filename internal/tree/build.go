package tree

import (
	"maps"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// builder makes a state from an earlier one. It copies the subtrees that it changes and compiles only those.
type builder struct {
	next *State
	// owned holds the subtrees that are the builder's own copies.
	owned map[string]bool
	// touched holds the teams whose subtrees changed since the last compilation.
	touched map[string]bool
	// extended says that a team got a path prefix.
	extended bool
}

func newBuilder(s *State) *builder {
	return &builder{
		next: &State{
			Revision: s.Revision, OperatorConfigVersion: s.OperatorConfigVersion, Limits: s.Limits, count: s.count, Services: maps.Clone(s.Services),
			MoveOrderVersions: maps.Clone(s.MoveOrderVersions), teams: maps.Clone(s.teams), prefixes: maps.Clone(s.prefixes),
		},
		owned: map[string]bool{}, touched: map[string]bool{},
	}
}

// subtree returns a team's subtree to change.
func (b *builder) subtree(team string) *subtree {
	b.touched[team] = true
	if !b.owned[team] {
		b.owned[team] = true
		b.next.teams[team] = b.next.teams[team].clone()
	}
	return b.next.teams[team]
}

func (b *builder) apply(change *wirepb.Change) error {
	for _, p := range change.GetPuts() {
		if p.GetDelete() {
			if err := b.remove(p.GetPath()); err != nil {
				return err
			}
			continue
		}
		err := b.put(&wirepb.Entry{
			Path: p.GetPath(), Value: p.GetValue(), Revision: change.GetRevision(),
			Author: change.GetAuthor(), Time: change.GetTime(),
		})
		if err != nil {
			return err
		}
	}
	return b.compile()
}

func (b *builder) remove(text string) error {
	path, err := ParsePath(text)
	if err != nil {
		return err
	}
	if path.Kind == KindMoveRecord {
		b.removeRecord(path, text)
	} else {
		b.removeFrom(path.Team, text)
	}
	return nil
}

// removeRecord removes a move's record from where it is held, or from where the same change put it before.
func (b *builder) removeRecord(path Path, text string) {
	b.removeFrom(b.next.owner(path), text)
	for team := range b.touched {
		b.removeFrom(team, text)
	}
}

func (b *builder) removeFrom(team, text string) {
	if _, found := b.next.teams[team]; !found {
		return
	}
	t := b.subtree(team)
	if _, found := t.entries[text]; found {
		delete(t.entries, text)
		b.next.count--
	}
}

func (b *builder) put(stored *wirepb.Entry) error {
	path, value, err := Decode(stored.GetPath(), stored.GetValue())
	if err != nil {
		return err
	}
	team := path.Team
	if record, is := value.(*wirepb.MoveRecord); is {
		team = record.GetTeam()
		b.removeRecord(path, stored.GetPath())
	}
	t := b.subtree(team)
	if _, found := t.entries[stored.GetPath()]; !found {
		b.next.count++
	}
	t.entries[stored.GetPath()] = stored
	if b.next.count > maxEntries {
		return &LimitError{Quantity: "entries of the tree", Have: b.next.count, Limit: maxEntries}
	}
	return nil
}

// compile takes what the changed subtrees had out of the state and puts in what they have now.
func (b *builder) compile() error {
	known := map[string]string{}
	for team := range b.touched {
		b.retract(b.next.teams[team], known)
	}
	for team := range b.touched {
		if err := b.compileSubtree(team, known); err != nil {
			return err
		}
	}
	clear(b.touched)
	if !b.extended {
		return nil
	}
	b.extended = false
	return b.next.checkPrefixes()
}

// retract notes the prefixes that it takes out, with their team.
func (b *builder) retract(t *subtree, known map[string]string) {
	for _, service := range t.services {
		delete(b.next.Services, service.Name)
	}
	for _, r := range t.routes {
		delete(b.next.prefixes, r.place())
		known[r.place()] = r.Team
	}
}

func (b *builder) compileSubtree(team string, known map[string]string) error {
	t := b.next.teams[team]
	if team == systemTeam {
		return b.compileLimits(t)
	}
	if len(t.entries) == 0 {
		delete(b.next.teams, team)
		delete(b.owned, team)
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
		if other, found := b.next.prefixes[r.place()]; found {
			return prefixFailure(r, other)
		}
		b.next.prefixes[r.place()] = r
		b.extended = b.extended || known[r.place()] != team
	}
	return nil
}

func (b *builder) compileLimits(t *subtree) error {
	values, err := t.decode()
	if err != nil {
		return err
	}
	b.next.Limits = Limits{}
	for _, e := range values {
		if v, is := e.message.(*wirepb.LimitsSetting); is {
			b.next.Limits = Limits{
				MaxHeaderBytes: int(v.GetHeaderBytes()), MaxBodyBytes: int64(v.GetBodyBytes()),
				HeaderTimeout: v.GetHeaderTimeout().AsDuration(), IdleTimeout: v.GetIdleTimeout().AsDuration(),
			}
		}
	}
	return nil
}

// checkPrefixes refuses prefixes under those of another team.
func (s *State) checkPrefixes() error {
	for _, r := range s.prefixes {
		for i := len(r.PathPrefix) - 1; i > 0; i-- {
			other, found := s.prefixes[r.Host+r.PathPrefix[:i]]
			if found && other.Team != r.Team && below(other.PathPrefix, r.PathPrefix) {
				return prefixFailure(r, other)
			}
		}
	}
	return nil
}

func prefixFailure(route, other *Route) error {
	return &ValueError{
		Path: "/teams/" + route.Team + "/routes/" + route.Name, Field: "path_prefix", Value: route.PathPrefix,
		Allowed: "a prefix outside " + other.PathPrefix + " of /teams/" + other.Team + "/routes/" + other.Name,
	}
}
