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
	services []*Service
	routes   []*Route
	tokens   []string
}

type decodedEntry struct {
	pathText string
	path     Path
	message  proto.Message
}

func (t *subtree) clone() *subtree {
	if t == nil {
		return &subtree{entries: map[string]*wirepb.Entry{}}
	}
	return &subtree{entries: maps.Clone(t.entries), services: t.services, routes: t.routes, tokens: t.tokens}
}

// compile builds services and routes from the entries and checks that all references lead to services of the same team.
func (t *subtree) compile(team string) error {
	values, err := t.decodeEntries()
	if err != nil {
		return err
	}
	t.tokens = nil
	services := t.compileServices(values)
	return t.compileRoutes(team, values, services)
}

// decodeEntries decodes all entries. Decoded messages are not kept, since their memory costs more than decoding them again.
func (t *subtree) decodeEntries() ([]decodedEntry, error) {
	values := make([]decodedEntry, 0, len(t.entries))
	for pathText, entry := range t.entries {
		path, message, err := Decode(pathText, entry.GetValue())
		if err != nil {
			return nil, err
		}
		values = append(values, decodedEntry{pathText: pathText, path: path, message: message})
	}
	return values, nil
}

func (t *subtree) compileServices(values []decodedEntry) map[string]*Service {
	services := map[string]*Service{}
	t.services = nil
	for _, e := range values {
		switch v := e.message.(type) {
		case *wirepb.AccessSetting:
			t.tokens = v.GetTokenSha256()
		case *wirepb.ServiceSetting:
			service := &Service{
				Name: e.path.Name, Team: e.path.Team, StableVersion: v.GetVersion(), AnyVersion: v.GetVersion() == "",
				ColdStart: durationOr(v.GetColdStart(), undeclaredColdStart),
			}
			services[service.Name] = service
			t.services = append(t.services, service)
		}
	}
	for _, e := range values {
		record, ok := e.message.(*wirepb.MoveRecord)
		if service, found := services[e.path.Name]; ok && found {
			service.MoveRecord, service.StableVersion = record, StableVersion(record)
		}
	}
	return services
}

// StableVersion returns the version that takes the calls outside a move's share.
func StableVersion(record *wirepb.MoveRecord) string {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return record.GetTo()
	}
	return record.GetFrom()
}

func (t *subtree) compileRoutes(team string, values []decodedEntry, services map[string]*Service) error {
	t.routes = nil
	for _, e := range values {
		names := []string{e.path.Name}
		switch v := e.message.(type) {
		case *wirepb.RouteSetting:
			names = serviceNames(v)
			t.routes = append(t.routes, newRoute(e.path, v, services))
		case *wirepb.MoveSetting, *wirepb.MoveRecord:
		default:
			continue
		}
		for _, name := range names {
			if services[name] == nil {
				return &ValueError{
					Path: e.pathText, Field: "service", Value: name,
					Allowed: "a service of team " + team + "; set /teams/" + team + "/services/" + name + " first or in the same change",
				}
			}
		}
	}
	return nil
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
		Priority: priorityOf(setting), Service: services[serviceNames(setting)[0]],
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
		return max(wirepb.Class_CLASS_CRITICAL-wirepb.Class(min(setting.GetPriority(), lowestClassPriority)), wirepb.Class_CLASS_BROWSE)
	}
}

// priorityOf returns the declared priority, or the one that corresponds to the class.
func priorityOf(setting *wirepb.RouteSetting) uint32 {
	if setting.Priority != nil {
		return setting.GetPriority()
	}
	return uint32(wirepb.Class_CLASS_CRITICAL - classOf(setting))
}
