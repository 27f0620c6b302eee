package diff

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/source"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	Before string
	After  string
	JSON   bool
}

// NewCmdDiff returns the command that compares two operator's configurations; runF replaces its run function in tests.
func NewCmdDiff(f *factory.Factory, runF func(opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "diff <before> <after>",
		Short:   "Show the entries in which two operator's configurations differ",
		Long:    "Show the entries in which two operator's configurations differ. Keys of workspaces are shown as hashes.",
		Example: "  turmericdale configuration diff in-force.json config.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Before, opts.After = args[0], args[1]
			if runF != nil {
				return runF(opts)
			}
			return diffRun(f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print the differences as JSON")
	return cmd
}

func diffRun(f *factory.Factory, opts *Options) error {
	before, err := os.ReadFile(opts.Before)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	after, err := os.ReadFile(opts.After)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	differences, err := source.DiffConfigs(before, after)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintValue(differences)
	}
	rows := make([][]string, 0, len(differences))
	for _, d := range differences {
		rows = append(rows, []string{d.Path, d.Before, d.After})
	}
	return f.PrintTable([]string{"PATH", "BEFORE", "AFTER"}, rows)
}
