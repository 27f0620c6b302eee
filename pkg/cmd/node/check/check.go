package check

import (
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	File string
}

// NewCmdCheck returns the command that checks a settings file; runF replaces its run function in tests.
func NewCmdCheck(f *factory.Factory, runF func(opts *Options) error) *cobra.Command {
	return &cobra.Command{
		Use:     "check <file>",
		Short:   "Check the settings file of a node",
		Example: "  turmericdale node check examples/gnomon/node.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts := &Options{File: args[0]}
			if runF != nil {
				return runF(opts)
			}
			return checkRun(f, opts)
		},
	}
}

func checkRun(f *factory.Factory, opts *Options) error {
	settings, err := conf.Load(opts.File)
	if err != nil {
		return err
	}
	f.Infof("%s is a valid settings file of node %s", opts.File, settings.Name)
	return nil
}
