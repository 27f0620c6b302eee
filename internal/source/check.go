package source

import (
	"maps"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// maxReportedFaults bounds the log lines about the entries of one configuration.
const maxReportedFaults = 32

// entryChecker finds the entries of successive configurations that cannot be in the tree. It decodes only entries that changed.
type entryChecker struct {
	config *platform.Config
	// known holds the entries of the newest configuration by path.
	known map[string]checkedEntry
	// outlines holds the entries that are valid by themselves, failures the reasons why others are not, by path.
	outlines []tree.Outline
	failures map[string]error
	// misfits holds the entries that do not fit into the state for which values was called last.
	misfits map[string]error
}

type checkedEntry struct {
	value   string
	outline tree.Outline
	failure error
}

// check takes over a configuration and checks each entry by itself.
func (c *entryChecker) check(config *platform.Config) {
	known := make(map[string]checkedEntry, len(config.Order))
	c.config, c.outlines, c.failures, c.misfits = config, make([]tree.Outline, 0, len(config.Order)), map[string]error{}, nil
	for _, path := range config.Order {
		entry, found := c.known[path]
		if !found || entry.value != config.Values[path] {
			entry = checkedEntry{value: config.Values[path]}
			entry.outline, entry.failure = tree.NewOutline(path, entry.value)
		}
		known[path] = entry
		if entry.failure != nil {
			c.failures[path] = entry.failure
			continue
		}
		c.outlines = append(c.outlines, entry.outline)
	}
	c.known = known
}

// values returns the values to set in a state, without the entries that would make the tree invalid and with the list of those left out.
func (c *entryChecker) values(state *tree.State) (map[string]string, error) {
	c.misfits = state.Misfits(platform.OperatorTeam, c.outlines)
	ignored := c.ignored()
	if len(ignored) == 0 {
		return c.config.Values, nil
	}
	values := maps.Clone(c.config.Values)
	for _, faults := range []map[string]error{c.failures, c.misfits} {
		for path, failure := range faults {
			var shared *tree.SharedKeyError
			if !errors.As(failure, &shared) {
				delete(values, path)
			}
		}
	}
	put, err := tree.IgnoredPut(ignored)
	if err != nil {
		return nil, err
	}
	values[put.GetPath()] = put.GetValue()
	return values, nil
}

// ignored returns the reasons why entries were left out, in the order of the configuration.
func (c *entryChecker) ignored() []string {
	var texts []string
	for _, failure := range c.config.Ignored {
		texts = append(texts, tree.PrintableText(failure.Error()))
	}
	if len(c.failures)+len(c.misfits) == 0 {
		return texts
	}
	for _, path := range c.config.Order {
		for _, faults := range []map[string]error{c.failures, c.misfits} {
			if failure, found := faults[path]; found {
				texts = append(texts, tree.PrintableText(failure.Error()))
			}
		}
	}
	return texts
}

// reportFaults counts and logs the faulty entries of a configuration, each once while configurations have it.
func (i *Importer) reportFaults(row *wirepb.Row) {
	reported, lines := map[string]bool{}, 0
	report := func(message, fault string) {
		known := i.reported[fault] || reported[fault]
		reported[fault] = true
		if known {
			return
		}
		i.cfg.OnInvalidRow()
		if lines++; lines <= maxReportedFaults {
			i.cfg.Logger.Warn(message, zap.Uint64("row_version", row.GetVersion()), zap.String("fault", fault))
		}
	}
	for _, fault := range i.checker.ignored() {
		report("entry of the configuration ignored", fault)
	}
	for _, unknown := range i.checker.config.UnknownKinds {
		report("unknown kind of route: its calls are not repeated", tree.PrintableText(unknown.Error()))
	}
	i.reported = reported
}
