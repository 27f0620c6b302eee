package tree

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// subtree is what one team declared, with the records of its moves; it is immutable once compiled.
type subtree struct {
	entries  map[string]*wirepb.Entry
	services []*Service
	routes   []*Route
	tokens   []string
}

// value is a decoded entry.
type value struct {
	text    string
	path    Path
	message proto.Message
}

func (t *subtree) clone() *subtree {
	if t == nil {
		return &subtree{entries: map[string]*wirepb.Entry{}}
	}
	return &subtree{entries: maps.Clone(t.entries), services: t.services, routes: t.routes, tokens: t.tokens}
}

// compile builds services and routes from the entries and checks that all references are met inside the subtree.
func (t *subtree) compile(team string) error {
	values, err := t.decode()
	if err != nil {
		return err
	}
	t.tokens = nil
	services := t.compileServices(values)
	return t.compileRoutes(team, values, services)
}

// decode decodes all entries: decoded values are not kept, since they take more memory than time.
func (t *subtree) decode() ([]value, error) {
	values := make([]value, 0, len(t.entries))
	for text, stored := range t.entries {
		path, message, err := Decode(text, stored.GetValue())
		if err != nil {
			return nil, err
		}
		values = append(values, value{text: text, path: path, message: message})
	}
	return values, nil
}

func (t *subtree) compileServices(values []value) map[string]*Service {
	services := map[string]*Service{}
	t.services = nil
	for _, e := range values {
		switch v := e.message.(type) {
		case *wirepb.AccessSetting:
			t.tokens = v.GetTokenSha256()
		case *wirepb.ServiceSetting:
			service := &Service{
				Name: e.path.Name, Team: e.path.Team, Stable: v.GetVersion(),
				ColdStart: durationOr(v.GetColdStart(), undeclaredColdStart),
			}
			services[service.Name] = service
			t.services = append(t.services, service)
		}
	}
	for _, e := range values {
		record, is := e.message.(*wirepb.MoveRecord)
		if service, found := services[e.path.Name]; is && found {
			service.Record, service.Stable = record, StableVersion(record)
		}
	}
	return services
}

// StableVersion returns the version that takes the calls outside the move's share.
func StableVersion(record *wirepb.MoveRecord) string {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return record.GetTo()
	}
	return record.GetFrom()
}

func (t *subtree) compileRoutes(team string, values []value, services map[string]*Service) error {
	t.routes = nil
	for _, e := range values {
		name := e.path.Name
		switch v := e.message.(type) {
		case *wirepb.RouteSetting:
			name = v.GetService()
			t.routes = append(t.routes, newRoute(e.path, v, services[name]))
		case *wirepb.MoveSetting, *wirepb.MoveRecord:
		default:
			continue
		}
		if services[name] == nil {
			return &ValueError{
				Path: e.text, Field: "service", Value: name,
				Allowed: "a service of team " + team + ": set /teams/" + team + "/services/" + name + " first or in the same change",
			}
		}
	}
	return nil
}

func newRoute(path Path, setting *wirepb.RouteSetting, service *Service) *Route {
	class := setting.GetClass()
	if class == wirepb.Class_CLASS_UNSPECIFIED {
		class = wirepb.Class_CLASS_NORMAL
	}
	return &Route{
		Name: path.Name, Team: path.Team, PathPrefix: setting.GetPathPrefix(), Service: service, Class: class,
		Idempotent: setting.GetIdempotent(), AtMostOnce: setting.GetAtMostOnce(),
		Timeout:     durationOr(setting.GetTimeout(), defaultTimeout),
		ClaimPolicy: setting.GetClaimPolicy(),
	}
}
