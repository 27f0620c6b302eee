package tree

import (
	"regexp"
	"strings"
)

const (
	maxPathBytes = 200
	allowedPaths = "/system/limits, /system/ignored, /system/evacuations/DATA_CENTRE, /teams/TEAM/access, /teams/TEAM/services/NAME, /teams/TEAM/routes/NAME, /teams/TEAM/workspaces/NAME or /teams/TEAM/moves/SERVICE, with names of 1 to 160 characters of a-z, 0-9 and -, those of teams of up to 40"
)

// systemTeam stands for the team of paths that belong to no team; ParsePath accepts no services, routes or moves under it.
const systemTeam = "system"

// LimitsPath is the path of the limits on callers' requests.
const LimitsPath = "/system/limits"

// evacuationPrefix is the prefix of the paths of evacuations.
const evacuationPrefix = "/system/evacuations/"

// IgnoredPath is the path of the list of the entries of the operator's configuration that were left out.
const IgnoredPath = "/system/ignored"

// Kind is the kind of value at a path.
type Kind int

// The kinds of values.
const (
	KindAccess Kind = iota + 1
	KindService
	KindRoute
	// KindMove is a move: the gradual rollout of a service to a new version. Taking it back is a rollback.
	KindMove
	// KindMoveRecord is the progress of a move, which nodes write.
	KindMoveRecord
	KindLimits
	// KindEvacuation is the evacuation of a data centre.
	KindEvacuation
	// KindIgnored is the list of the entries of the operator's configuration that were left out, which nodes write.
	KindIgnored
	KindWorkspace
)

var (
	teamPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)
	// dataCentrePattern allows all names of data centres that the settings of a node allow.
	dataCentrePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// namePattern has room for a hex-encoded name of 78 bytes: names of the platform may hold characters that a path cannot.
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,159}$`)
)

// Path is a parsed path of the tree.
type Path struct {
	Kind Kind
	Team string
	Name string
}

// ParsePath parses a path; it returns *PathError.
func ParsePath(text string) (Path, error) {
	failure := &PathError{Path: text[:min(len(text), maxPathBytes)], Allowed: allowedPaths}
	if len(text) > maxPathBytes || !strings.HasPrefix(text, "/") {
		return Path{}, failure
	}
	parts := strings.Split(text[1:], "/")
	path, found := matchPath(parts)
	if !found || !path.hasValidNames() {
		return Path{}, failure
	}
	return path, nil
}

func matchPath(parts []string) (Path, bool) {
	switch {
	case len(parts) == 2 && parts[0] == "system" && parts[1] == "limits":
		return Path{Kind: KindLimits, Team: systemTeam}, true
	case len(parts) == 2 && parts[0] == "system" && parts[1] == "ignored":
		return Path{Kind: KindIgnored, Team: systemTeam}, true
	case len(parts) == 3 && parts[0] == "system" && parts[1] == "moves":
		return Path{Kind: KindMoveRecord, Name: parts[2]}, true
	case len(parts) == 3 && parts[0] == "system" && parts[1] == "evacuations":
		return Path{Kind: KindEvacuation, Team: systemTeam, Name: parts[2]}, true
	case len(parts) == 3 && parts[0] == "teams" && parts[2] == "access":
		return Path{Kind: KindAccess, Team: parts[1]}, true
	case len(parts) != 4 || parts[0] != "teams", parts[1] == systemTeam:
		return Path{}, false
	}
	kinds := map[string]Kind{"services": KindService, "routes": KindRoute, "moves": KindMove, "workspaces": KindWorkspace}
	kind, found := kinds[parts[2]]
	return Path{Kind: kind, Team: parts[1], Name: parts[3]}, found
}

func (p Path) hasValidNames() bool {
	if p.Kind == KindEvacuation {
		return dataCentrePattern.MatchString(p.Name)
	}
	team := p.Kind == KindMoveRecord || teamPattern.MatchString(p.Team)
	name := p.Kind == KindAccess || p.Kind == KindLimits || p.Kind == KindIgnored || namePattern.MatchString(p.Name)
	return team && name
}

// EvacuationPath returns the path of a data centre's evacuation; ParsePath rejects it if the name is not one of a data centre.
func EvacuationPath(dataCentre string) string { return evacuationPrefix + dataCentre }

// MoveRecordPath returns the path of a service's move record.
func MoveRecordPath(service string) string { return "/system/moves/" + service }
