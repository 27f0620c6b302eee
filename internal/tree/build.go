package tree

import (
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// compile builds services and routes from the entries and checks that all references are met.
func (s *State) compile() error {
	s.Services = map[string]*Service{}
	s.tokens = map[string][]string{}
	s.routes = nil
	if err := s.compileServices(); err != nil {
		return err
	}
	if err := s.compileRoutes(); err != nil {
		return err
	}
	return s.checkPrefixes()
}

func (s *State) compileServices() error {
	for path, e := range s.entries {
		switch v := e.value.(type) {
		case *wirepb.AccessSetting:
			s.tokens[e.path.Team] = v.GetTokenSha256()
		case *wirepb.ServiceSetting:
			if other, found := s.Services[e.path.Name]; found {
				return &ValueError{Path: path, Field: "name", Value: e.path.Name, Allowed: "a name that team " + other.Team + " does not use"}
			}
			s.Services[e.path.Name] = s.newService(e.path, v)
		}
	}
	return nil
}

func (s *State) newService(path Path, setting *wirepb.ServiceSetting) *Service {
	service := &Service{
		Name: path.Name, Team: path.Team, Stable: setting.GetVersion(),
		ColdStart: durationOr(setting.GetColdStart(), undeclaredColdStart),
	}
	if e, found := s.entries[RecordPath(path.Name)]; found {
		service.Record, _ = e.value.(*wirepb.MoveRecord)
		service.Stable = StableVersion(service.Record)
	}
	return service
}

// StableVersion returns the version that takes the calls outside the move's share.
func StableVersion(record *wirepb.MoveRecord) string {
	if record.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return record.GetTo()
	}
	return record.GetFrom()
}

func (s *State) compileRoutes() error {
	for path, e := range s.entries {
		var err error
		switch v := e.value.(type) {
		case *wirepb.RouteSetting:
			err = s.addRoute(path, e.path, v)
		case *wirepb.MoveSetting:
			err = s.checkOwner(path, "service", e.path.Name, e.path.Team)
		case *wirepb.MoveRecord:
			err = s.checkOwner(path, "service", e.path.Name, v.GetTeam())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *State) addRoute(text string, path Path, setting *wirepb.RouteSetting) error {
	if err := s.checkOwner(text, "service", setting.GetService(), path.Team); err != nil {
		return err
	}
	class := setting.GetClass()
	if class == wirepb.Class_CLASS_UNSPECIFIED {
		class = wirepb.Class_CLASS_NORMAL
	}
	s.routes = append(s.routes, &Route{
		Name: path.Name, Team: path.Team, PathPrefix: setting.GetPathPrefix(),
		Service: s.Services[setting.GetService()], Class: class,
		Idempotent: setting.GetIdempotent(), AtMostOnce: setting.GetAtMostOnce(),
		Timeout:     durationOr(setting.GetTimeout(), defaultTimeout),
		ClaimPolicy: setting.GetClaimPolicy(),
	})
	return nil
}

func (s *State) checkOwner(path, field, service, team string) error {
	known, found := s.Services[service]
	switch {
	case !found:
		return &ValueError{Path: path, Field: field, Value: service, Allowed: "a service that exists: set /teams/" + team + "/services/" + service + " first or in the same change"}
	case known.Team != team:
		return &ValueError{Path: path, Field: field, Value: service, Allowed: "a service of team " + team}
	default:
		return nil
	}
}

// checkPrefixes refuses equal prefixes and prefixes under those of another team.
func (s *State) checkPrefixes() error {
	s.prefixes = make(map[string]*Route, len(s.routes))
	for _, r := range s.routes {
		if other, found := s.prefixes[r.PathPrefix]; found {
			return prefixFailure(r, other)
		}
		s.prefixes[r.PathPrefix] = r
	}
	for _, r := range s.routes {
		for i := len(r.PathPrefix) - 1; i > 0; i-- {
			other, found := s.prefixes[r.PathPrefix[:i]]
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
