package check

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/set"
)

// NewCmdCheck returns the command that checks a change; runF replaces its run function in tests.
func NewCmdCheck(f *factory.Factory, runF func(ctx context.Context, opts *set.Options) error) *cobra.Command {
	return &cobra.Command{
		Use:     "check <path> <value> | check <file>",
		Short:   "Check a change without applying it",
		Example: `  turmericdale setting check /teams/orders/services/orders '{"version": "v1"}'`,
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts := &set.Options{DryRun: true, IfRevision: -1}
			if len(args) == 1 {
				opts.File = args[0]
			} else {
				opts.Path, opts.Value = args[0], args[1]
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return set.Run(cmd.Context(), f, opts)
		},
	}
}
