package tree

import (
	"strconv"
	"strings"
	"unicode"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/structpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Outline is what of an entry determines whether it fits into a tree with other entries.
type Outline struct {
	pathText string
	path     Path
	// route holds name, team, host and prefix of a route, matchKey its key, services the services that it refers to.
	route    *Route
	matchKey string
	services []string
	// keys holds the keys of a workspace.
	keys []KeyHash
}

// Path returns the path of the entry.
func (o *Outline) Path() string { return o.pathText }

// NewOutline decodes and checks the value of a path; it returns *PathError or *ValueError.
func NewOutline(pathText, value string) (*Outline, error) {
	path, message, err := Decode(pathText, value)
	if err != nil {
		return nil, err
	}
	o := &Outline{pathText: pathText, path: path}
	switch v := message.(type) {
	case *wirepb.RouteSetting:
		o.route = &Route{Name: path.Name, Team: path.Team, Host: v.GetHost(), PathPrefix: v.GetPathPrefix()}
		o.matchKey, o.services = o.route.matchKey(), serviceNames(v)
	case *wirepb.WorkspaceSetting:
		o.keys = keyHashes(v)
	}
	return o, nil
}

// Misfits returns the reasons, by path, why entries of a team's new declaration cannot be in one tree with those before them in the list
// and with the entries of other teams. Without them, the tree is valid. A *SharedKeyError does not make it invalid.
func (s *State) Misfits(team string, outlines []*Outline) map[string]error {
	misfits, services := map[string]error{}, map[string]bool{}
	holders := map[KeyHash]string{}
	for _, o := range outlines {
		switch o.path.Kind {
		case KindService:
			if other, found := s.Services[o.path.Name]; found && other.Team != team {
				misfits[o.pathText] = nameConflict(o.pathText, o.path.Name, other.Team)
				continue
			}
			services[o.path.Name] = true
		case KindWorkspace:
			if err := o.checkWorkspace(s.Workspaces[o.path.Name], holders); err != nil {
				misfits[o.pathText] = err
			}
		}
	}
	foreign, byMatchKey := s.routesOfOtherTeams(team), make(map[string]*Route, len(outlines))
	for _, o := range outlines {
		if o.route == nil {
			continue
		}
		if err := o.checkRoute(services, byMatchKey, foreign); err != nil {
			misfits[o.pathText] = err
			continue
		}
		byMatchKey[o.matchKey] = o.route
	}
	return misfits
}

// checkWorkspace checks a workspace against one of the same name in the state and against those before it, whose paths are in holders.
func (o *Outline) checkWorkspace(current *Workspace, holders map[KeyHash]string) error {
	if current != nil && current.Team != o.path.Team {
		return nameConflict(o.pathText, o.path.Name, current.Team)
	}
	var err error
	for _, key := range o.keys {
		if other, found := holders[key]; found && other != o.pathText {
			err = &SharedKeyError{Path: o.pathText, Other: other}
		}
		holders[key] = o.pathText
	}
	return err
}

func (o *Outline) checkRoute(services map[string]bool, byMatchKey map[string]*Route, foreign []*Route) error {
	for _, name := range o.services {
		if !services[name] {
			return unknownServiceError(o.path.Team, o.pathText, name)
		}
	}
	if other, found := byMatchKey[o.matchKey]; found {
		return prefixConflict(o.route, other)
	}
	for _, other := range foreign {
		if other.Host == o.route.Host && (underPrefix(other.PathPrefix, o.route.PathPrefix) || underPrefix(o.route.PathPrefix, other.PathPrefix)) {
			return prefixConflict(o.route, other)
		}
	}
	return nil
}

func (s *State) routesOfOtherTeams(team string) []*Route {
	var routes []*Route
	for name, t := range s.subtrees {
		if name == team {
			continue
		}
		for _, r := range t.routes {
			routes = append(routes, r)
		}
	}
	return routes
}

// IgnoredPut returns the put that lists ignored entries, each text shortened and the list cut to 32; it returns *ValueError.
func IgnoredPut(texts []string) (*wirepb.Put, error) {
	list := &structpb.ListValue{}
	for i, text := range texts {
		if i == maxIgnored-1 && len(texts) > maxIgnored {
			text = "and " + strconv.Itoa(len(texts)-i) + " more"
		}
		list.Values = append(list.Values, structpb.NewStringValue(PrintableText(text)))
		if len(list.Values) == maxIgnored {
			break
		}
	}
	value, err := protojson.Marshal(list)
	if err != nil {
		return nil, &ValueError{Path: IgnoredPath, Field: "value", Value: strconv.Itoa(len(texts)) + " texts", Allowed: err.Error()}
	}
	return &wirepb.Put{Path: IgnoredPath, Value: string(value)}, nil
}

// PrintableText returns a text of at most 200 bytes without characters that cannot be printed, for texts that may hold any input.
func PrintableText(text string) string {
	if len(text) > maxIgnoredBytes {
		text = text[:maxIgnoredBytes]
	}
	return strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}

func ignoredEntries(list *structpb.ListValue) []string {
	texts := make([]string, 0, len(list.GetValues()))
	for _, v := range list.GetValues() {
		texts = append(texts, v.GetStringValue())
	}
	return texts
}
