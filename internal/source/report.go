package source

import (
	"cmp"
	"slices"
	"strings"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// The severities of findings.
const (
	// SeverityError is that of an entry that nodes leave out or apply only in part.
	SeverityError = "error"
	// SeverityWarning is that of an entry that nodes apply although it cannot do what it seems to be for.
	SeverityWarning = "warning"
)

// Finding is what a check found about one entry of an operator's configuration.
type Finding struct {
	Severity string `json:"severity"`
	// Path is the path of the entry in the tree, or empty if it cannot be decoded.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Difference is an entry in which two configurations differ; the value of the one that lacks it is empty.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// CheckConfig checks the text of an operator's configuration as nodes do; it returns *platform.FormatError if it cannot be read at all.
func CheckConfig(text []byte) ([]Finding, error) {
	decoded, err := (&platform.ConfigDecoder{}).Decode(&wirepb.Row{Value: text})
	if err != nil {
		return nil, err
	}
	var findings []Finding
	for _, failure := range slices.Concat(decoded.Ignored, decoded.UnknownKinds) {
		findings = append(findings, Finding{Severity: SeverityError, Message: tree.PrintableText(failure.Error())})
	}
	checked := (&entryChecker{}).check(decoded)
	misfits := tree.EmptyState().Misfits(platform.OperatorTeam, checked.outlines)
	used := usedServices(decoded.Values)
	for _, path := range decoded.Order {
		for _, failure := range []error{checked.failures[path], misfits[path]} {
			if failure != nil {
				findings = append(findings, Finding{Severity: SeverityError, Path: path, Message: tree.PrintableText(failure.Error())})
			}
		}
		if checked.failures[path] != nil {
			continue
		}
		for _, message := range contradictions(path, decoded.Values[path], used) {
			findings = append(findings, Finding{Severity: SeverityWarning, Path: path, Message: message})
		}
	}
	return findings, nil
}

// usedServices returns the names of the services that a route sends calls to.
func usedServices(values map[string]string) map[string]bool {
	used := map[string]bool{}
	for path, value := range values {
		_, message, err := tree.Decode(path, value)
		route, isRoute := message.(*wirepb.RouteSetting)
		if err != nil || !isRoute {
			continue
		}
		used[route.GetService()] = true
		for _, p := range route.GetSplit() {
			used[p.GetService()] = used[p.GetService()] || p.GetWeight() > 0
		}
	}
	return used
}

// contradictions returns what a valid entry cannot do although it seems to be for it.
func contradictions(path, value string, used map[string]bool) []string {
	parsed, message, err := tree.Decode(path, value)
	if err != nil {
		return nil
	}
	var found []string
	add := func(applies bool, text string) {
		if applies {
			found = append(found, text)
		}
	}
	switch m := message.(type) {
	case *wirepb.RouteSetting:
		add(m.GetTimeout() != nil && m.GetObjective().AsDuration() > m.GetTimeout().AsDuration(), "the objective is longer than the timeout")
		add(!strings.HasSuffix(m.GetPathPrefix(), "/"), "the path prefix does not end with a slash")
		for _, p := range m.GetSplit() {
			add(p.GetWeight() == 0, "service "+p.GetService()+" of the split has weight 0 and gets no calls")
		}
	case *wirepb.ServiceSetting:
		add(!used[parsed.Name], "no route sends calls to the service")
	case *wirepb.WorkspaceSetting:
		add(len(m.GetKeySha256()) == 0, "no caller belongs to the workspace, since it has no keys")
		add(m.GetRate() > 0 && m.GetRate() < 1 && m.GetBurst() == 0, "the quota allows less than one call a second and no burst")
		add(m.GetRate() == 0 && m.GetBurst() > 0, "the burst has no effect without a rate")
	case *wirepb.LimitsSetting:
		add(m.GetIdleTimeout() != nil && m.GetHeaderTimeout().AsDuration() > m.GetIdleTimeout().AsDuration(), "the header timeout is longer than the idle timeout")
	}
	return found
}

// DiffConfigs returns the entries in which two operator's configurations differ, ordered by path; it returns *platform.FormatError. Keys of
// workspaces are shown as hashes.
func DiffConfigs(before, after []byte) ([]Difference, error) {
	var values [2]map[string]string
	for i, text := range [][]byte{before, after} {
		decoded, err := (&platform.ConfigDecoder{}).Decode(&wirepb.Row{Value: text})
		if err != nil {
			return nil, err
		}
		values[i] = decoded.Values
	}
	var differences []Difference
	for path, value := range values[0] {
		if values[1][path] != value {
			differences = append(differences, Difference{Path: path, Before: value, After: values[1][path]})
		}
	}
	for path, value := range values[1] {
		if _, found := values[0][path]; !found {
			differences = append(differences, Difference{Path: path, After: value})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
	return differences, nil
}
