package tree

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	defaultAttempts = 4
	// lowestClassPriority is the priority of CLASS_BROWSE, the class that is shed first.
	lowestClassPriority = uint32(wirepb.Class_CLASS_CRITICAL - wirepb.Class_CLASS_BROWSE)
)

// subtree holds the entries that one team declared and the records of its moves; it is immutable once compiled.
type subtree struct {
	entries  map[string]*wirepb.Entry
	services map[string]*Service
	// routes holds the routes by the paths of their entries.
	routes map[string]*Route
	// workspaces holds the workspaces by the paths of their entries.
	workspaces map[string]*Workspace
	tokens     []string
}

// decodedEntry is an entry with its decoded value; the message is nil if the entry was removed.
type decodedEntry struct {
	pathText string
	path     Path
	message  proto.Message
}

// changesServices reports whether any of the entries is neither a route nor a workspace: those determine the services to which all routes
// refer.
func changesServices(entries map[string]decodedEntry) bool {
	for _, e := range entries {
		if e.path.Kind != KindRoute && e.path.Kind != KindWorkspace {
			return true
		}
	}
	return false
}

func (t *subtree) clone() *subtree {
	if t == nil {
		return &subtree{entries: map[string]*wirepb.Entry{}, routes: map[string]*Route{}, workspaces: map[string]*Workspace{}}
	}
	return &subtree{
		entries: maps.Clone(t.entries), services: t.services, routes: maps.Clone(t.routes), workspaces: maps.Clone(t.workspaces), tokens: t.tokens,
	}
}

// compile builds what the changed entries determine, checks that all references lead to services of the same team, and returns the
// routes that were built.
func (t *subtree) compile(team string, changed map[string]decodedEntry) ([]*Route, error) {
	var added []*Route
	if changesServices(changed) {
		values, err := t.decodeExceptRoutes(changed)
		if err != nil {
			return nil, err
		}
		if err := t.compileServices(team, values); err != nil {
			return nil, err
		}
		if added, err = t.relinkRoutes(team); err != nil {
			return nil, err
		}
	}
	for pathText, e := range changed {
		if setting, isWorkspace := e.message.(*wirepb.WorkspaceSetting); isWorkspace {
			t.workspaces[pathText] = newWorkspace(e.path, setting)
		}
		setting, isRoute := e.message.(*wirepb.RouteSetting)
		if !isRoute {
			continue
		}
		for _, name := range serviceNames(setting) {
			if t.services[name] == nil {
				return nil, unknownServiceError(team, pathText, name)
			}
		}
		r := newRoute(e.path, setting, t.services)
		t.routes[pathText] = r
		added = append(added, r)
	}
	return added, nil
}

// decodeExceptRoutes decodes all entries but the routes and workspaces, unless they are among those that have been decoded. Messages are not kept,
// since their memory costs more than decoding them again.
func (t *subtree) decodeExceptRoutes(decoded map[string]decodedEntry) ([]decodedEntry, error) {
	var values []decodedEntry
	for pathText, entry := range t.entries {
		if e, found := decoded[pathText]; found {
			values = append(values, e)
			continue
		}
		if t.routes[pathText] != nil || t.workspaces[pathText] != nil {
			continue
		}
		path, message, err := Decode(pathText, entry.GetValue())
		if err != nil {
			return nil, err
		}
		values = append(values, decodedEntry{pathText: pathText, path: path, message: message})
	}
	return values, nil
}

func (t *subtree) compileServices(team string, values []decodedEntry) error {
	t.services, t.tokens = map[string]*Service{}, nil
	for _, e := range values {
		switch v := e.message.(type) {
		case *wirepb.AccessSetting:
			t.tokens = v.GetTokenSha256()
		case *wirepb.ServiceSetting:
			t.services[e.path.Name] = &Service{
				Name: e.path.Name, Team: e.path.Team, StableVersion: v.GetVersion(), AnyVersion: v.GetVersion() == "",
				ColdStart: durationOr(v.GetColdStart(), undeclaredColdStart), ColdRate: v.GetColdRate(),
			}
		}
	}
	for _, e := range values {
		service := t.services[e.path.Name]
		switch v := e.message.(type) {
		case *wirepb.MoveSetting:
			if service == nil {
				return unknownServiceError(team, e.pathText, e.path.Name)
			}
		case *wirepb.MoveRecord:
			if service == nil {
				return unknownServiceError(team, e.pathText, e.path.Name)
			}
			service.MoveRecord, service.StableVersion = v, StableVersion(v)
		}
	}
	return nil
}

// relinkRoutes replaces the routes by copies that refer to the services as they are now, and returns them.
func (t *subtree) relinkRoutes(team string) ([]*Route, error) {
	relinked := make([]*Route, 0, len(t.routes))
	for pathText, r := range t.routes {
		next := *r
		next.Service = t.services[r.Service.Name]
		if next.Service == nil {
			return nil, unknownServiceError(team, pathText, r.Service.Name)
		}
		next.Split = nil
		for _, p := range r.Split {
			service := t.services[p.Service.Name]
			if service == nil {
				return nil, unknownServiceError(team, pathText, p.Service.Name)
			}
			next.Split = append(next.Split, WeightedService{Service: service, Weight: p.Weight})
		}
		t.routes[pathText] = &next
		relinked = append(relinked, &next)
	}
	return relinked, nil
}

func unknownServiceError(team, pathText, name string) *ValueError {
	return &ValueError{
		Path: pathText, Field: "service", Value: name,
		Allowed: "a service of team " + team + "; set /teams/" + team + "/services/" + name + " first or in the same change",
	}
}

// StableVersion returns the version that takes the calls outside a move's share.
func StableVersion(record *wirepb.MoveRecord) string {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return record.GetTo()
	}
	return record.GetFrom()
}

func serviceNames(setting *wirepb.RouteSetting) []string {
	if len(setting.GetSplit()) == 0 {
		return []string{setting.GetService()}
	}
	names := make([]string, 0, len(setting.GetSplit()))
	for _, p := range setting.GetSplit() {
		names = append(names, p.GetService())
	}
	return names
}

func newRoute(path Path, setting *wirepb.RouteSetting, services map[string]*Service) *Route {
	timeout := durationOr(setting.GetTimeout(), defaultTimeout)
	r := &Route{
		Name: path.Name, Team: path.Team, PathPrefix: setting.GetPathPrefix(), Class: classOf(setting),
		Idempotent: setting.GetIdempotent(), AtMostOnce: setting.GetAtMostOnce(),
		Timeout: timeout, ClaimPolicy: setting.GetClaimPolicy(), Host: setting.GetHost(),
		LatencyObjective: durationOr(setting.GetObjective(), timeout), Attempts: int(setting.GetAttempts()),
		Priority: priorityOf(setting), Public: setting.GetPublic(), Service: services[serviceNames(setting)[0]],
	}
	if r.Attempts == 0 {
		r.Attempts = defaultAttempts
	}
	for _, p := range setting.GetSplit() {
		r.Split = append(r.Split, WeightedService{Service: services[p.GetService()], Weight: p.GetWeight()})
	}
	return r
}

// classOf returns the declared class, or the one that corresponds to the declared priority.
func classOf(setting *wirepb.RouteSetting) wirepb.Class {
	switch {
	case setting.GetClass() != wirepb.Class_CLASS_UNSPECIFIED:
		return setting.GetClass()
	case setting.Priority == nil:
		return wirepb.Class_CLASS_NORMAL
	default:
		return classOfPriority(setting.GetPriority())
	}
}

func classOfPriority(priority uint32) wirepb.Class {
	return max(wirepb.Class_CLASS_CRITICAL-wirepb.Class(min(priority, lowestClassPriority)), wirepb.Class_CLASS_BROWSE)
}

// priorityOf returns the declared priority, or the one that corresponds to the class.
func priorityOf(setting *wirepb.RouteSetting) uint32 {
	if setting.Priority != nil {
		return setting.GetPriority()
	}
	return uint32(wirepb.Class_CLASS_CRITICAL - classOf(setting))
}
