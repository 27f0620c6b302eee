package source

import (
	"maps"
	"sync/atomic"

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
	// known holds the entries of the newest configuration by path.
	known map[string]*checkedEntry
}

type checkedEntry struct {
	value   string
	outline *tree.Outline
	failure error
}

// checkedConfig is a configuration whose entries have been checked each by itself. All but ignored is immutable: a build may still run when
// the importer has given up waiting for it.
type checkedConfig struct {
	*platform.Config
	// outlines holds the entries that are valid by themselves, failures the reasons why others are not, by path.
	outlines []*tree.Outline
	failures map[string]error
	// ignored holds the reasons for which the last call of values left out entries.
	ignored atomic.Pointer[[]string]
}

// check checks each entry of a configuration by itself.
func (c *entryChecker) check(config *platform.Config) *checkedConfig {
	known := make(map[string]*checkedEntry, len(config.Order))
	checked := &checkedConfig{Config: config, outlines: make([]*tree.Outline, 0, len(config.Order)), failures: map[string]error{}}
	for _, path := range config.Order {
		value := config.Values[path]
		entry, found := c.known[path]
		if !found || entry.value != value {
			entry = &checkedEntry{value: value}
			entry.outline, entry.failure = tree.NewOutline(path, entry.value)
		}
		known[path] = entry
		if entry.failure != nil {
			checked.failures[path] = entry.failure
			continue
		}
		checked.outlines = append(checked.outlines, entry.outline)
	}
	c.known = known
	return checked
}

// values returns the values to set in a state, without the entries that would make the tree invalid and with the list of those left out.
func (c *checkedConfig) values(state *tree.State) (map[string]string, error) {
	misfits := state.Misfits(platform.OperatorTeam, c.outlines)
	ignored := c.reasons(misfits)
	c.ignored.Store(&ignored)
	if len(ignored) == 0 {
		return c.Values, nil
	}
	values := maps.Clone(c.Values)
	for _, faults := range []map[string]error{c.failures, misfits} {
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

// reasons returns why entries are left out, in the order of the configuration.
func (c *checkedConfig) reasons(misfits map[string]error) []string {
	var texts []string
	for _, failure := range c.Ignored {
		texts = append(texts, tree.PrintableText(failure.Error()))
	}
	if len(c.failures)+len(misfits) == 0 {
		return texts
	}
	for _, path := range c.Order {
		for _, faults := range []map[string]error{c.failures, misfits} {
			if failure, found := faults[path]; found {
				texts = append(texts, tree.PrintableText(failure.Error()))
			}
		}
	}
	return texts
}

// reportFaults counts and logs the faulty entries of a configuration, each once while configurations have it.
func (i *Importer) reportFaults(row *wirepb.Row, config *checkedConfig) {
	ignored := config.ignored.Load()
	if ignored == nil {
		return
	}
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
	for _, fault := range *ignored {
		report("entry of the configuration ignored", fault)
	}
	for _, unknown := range config.UnknownKinds {
		report("unknown kind of route: its calls are not repeated", tree.PrintableText(unknown.Error()))
	}
	i.reported = reported
}
